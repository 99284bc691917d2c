import { RouteClass } from '../fleet/JaymillFleetConfig.js'
import { ROUTE_CLASSES, routePriority } from '../fleet/JaymillRoutePriority.js'
import { MAX_QUEUED_PER_CLASS, MIN_RETRY_AFTER_MS, PASSED_OVER_LIMIT, START_INTERVAL_WEIGHT } from './JaymillAdmissionConstants.js'
import { FairItem, FairQueue } from './JaymillFairQueue.js'

/** A request that waits for a reservation. */
export interface AdmissionItem extends FairItem {
  readonly class: RouteClass
  /** Monotonic time after which a start can no longer meet the latency target, in milliseconds. */
  readonly latestStartMs: number
}

/** Why a request is refused before it runs. */
export enum AdmissionRefusal {
  QueueFull = 'queue-full',
  /** The expected wait is longer than its latency target allows. */
  CannotMeetTarget = 'cannot-meet-target',
  /** It waited until its latency target could no longer be met. */
  WaitedTooLong = 'waited-too-long',
  AccountLimit = 'account-limit'
}

/** A refusal; the request did not run. */
export interface RefusedAdmission {
  readonly refusal: AdmissionRefusal
  /** Time after which a retry may succeed, in milliseconds. */
  readonly retryAfterMs: number
}

/** Requests of one host that wait for a reservation: queued by class, fair between accounts, with early refusal. */
export class AdmissionQueue<Item extends AdmissionItem> {
  private readonly _queues = new Map(ROUTE_CLASSES.map(name => [name, new FairQueue<Item>()]))
  private readonly _passedOver = new Map<RouteClass, number>()
  private readonly _maxPerClass: number
  private _startIntervalMs: number | null = null
  private _lastStartMs: number | null = null

  /**
   * @param maxPerClass - Items that one class may queue.
   */
  constructor (maxPerClass: number = MAX_QUEUED_PER_CLASS) {
    this._maxPerClass = maxPerClass
  }

  /**
   * Queues a request unless it cannot start within its latency target.
   *
   * @param item - Request.
   * @param nowMs - Monotonic time in milliseconds.
   * @returns `null` when queued, otherwise the refusal.
   */
  offer (item: Item, nowMs: number): RefusedAdmission | null {
    const queue = this._queue(item.class)
    if (queue.size >= this._maxPerClass) return this._refuse(AdmissionRefusal.QueueFull)
    if (nowMs + this._waitMs(item) > item.latestStartMs) return this._refuse(AdmissionRefusal.CannotMeetTarget)
    queue.push(item)
    return null
  }

  /**
   * Takes the next request to reserve capacity for; it must be settled by `markStarted`, `requeue` or `drop`.
   *
   * @returns The request, or `undefined` when nothing waits.
   */
  take (): Item | undefined {
    const waiting = ROUTE_CLASSES.filter(name => this._queue(name).size > 0)
    const starved = waiting.find(name => (this._passedOver.get(name) ?? 0) >= PASSED_OVER_LIMIT[name])
    const chosen = starved ?? waiting[0]
    return chosen === undefined ? undefined : this._queue(chosen).take()
  }

  /**
   * Requeues a taken request for which no capacity could be reserved yet.
   *
   * @param item - Request.
   */
  requeue (item: Item): void {
    this._queue(item.class).requeue(item.id)
  }

  /**
   * Settles a taken request that is being served.
   *
   * @param item - Request.
   * @param nowMs - Monotonic time in milliseconds.
   */
  markStarted (item: Item, nowMs: number): void {
    this._queue(item.class).markDone(item.id)
    this._countPassedOver(item.class)
    this._updateStartInterval(nowMs)
  }

  /**
   * Removes a request, queued or taken, whose caller no longer waits.
   *
   * @param item - Request.
   */
  drop (item: Item): void {
    this._queue(item.class).markDone(item.id)
    this._queue(item.class).remove(other => other.id === item.id)
  }

  /**
   * Removes requests that have waited until their latency target cannot be met.
   *
   * @param nowMs - Monotonic time in milliseconds.
   * @returns The removed requests, each to be refused as not run.
   */
  expire (nowMs: number): readonly Item[] {
    return ROUTE_CLASSES.flatMap(name => this._queue(name).remove(item => item.latestStartMs < nowMs))
  }

  /**
   * @returns Number of queued requests.
   */
  get size (): number {
    return ROUTE_CLASSES.reduce((sum, name) => sum + this._queue(name).size, 0)
  }

  /**
   * @returns Time after which a refused caller should retry, in milliseconds.
   */
  get retryAfterMs (): number {
    return Math.max(MIN_RETRY_AFTER_MS, Math.ceil(this.size * (this._startIntervalMs ?? 0)))
  }

  private _waitMs (item: Item): number {
    const higher = ROUTE_CLASSES.slice(0, routePriority(item.class))
    const ahead = higher.reduce((sum, name) => sum + this._queue(name).size, this._queue(item.class).ahead(item))
    return ahead * (this._startIntervalMs ?? 0)
  }

  private _countPassedOver (served: RouteClass): void {
    this._passedOver.set(served, 0)
    ROUTE_CLASSES.slice(routePriority(served) + 1)
      .filter(name => this._queue(name).size > 0)
      .forEach(name => this._passedOver.set(name, (this._passedOver.get(name) ?? 0) + 1))
  }

  private _updateStartInterval (nowMs: number): void {
    const idle = this.size === 0 || this._lastStartMs === null
    const intervalMs = nowMs - (this._lastStartMs ?? nowMs)
    this._lastStartMs = this.size === 0 ? null : nowMs
    if (idle) return
    const previousMs = this._startIntervalMs ?? intervalMs
    this._startIntervalMs = previousMs + START_INTERVAL_WEIGHT * (intervalMs - previousMs)
  }

  private _refuse (refusal: AdmissionRefusal): RefusedAdmission {
    return { refusal, retryAfterMs: this.retryAfterMs }
  }

  private _queue (name: RouteClass): FairQueue<Item> {
    return this._queues.get(name) as FairQueue<Item>
  }
}
