import { RouteClass } from '../fleet/JaymillFleetConfig.js'
import { ROUTE_CLASSES, routePriority } from '../fleet/JaymillRoutePriority.js'
import { MAX_QUEUED_PER_CLASS, MIN_RETRY_AFTER_MS, PASSED_OVER_LIMIT, START_RATE_ALPHA } from './JaymillAdmissionConstants.js'
import { FairItem, FairQueue } from './JaymillFairQueue.js'

/** A request that waits to be booked. */
export interface AdmissionItem extends FairItem {
  readonly class: RouteClass
  /** Monotonic time after which a start can no longer meet the target, in milliseconds. */
  readonly latestStartMs: number
}

/** Why a request is refused before anything ran. */
export enum AdmissionRefusal {
  QueueFull = 'queue-full',
  /** The wait ahead is longer than its target allows. */
  CannotMeetTarget = 'cannot-meet-target',
  /** It waited until its target could no longer be met. */
  WaitedTooLong = 'waited-too-long',
  AccountLimit = 'account-limit'
}

/** A refusal; the request did not run. */
export interface AdmissionDenial {
  readonly refusal: AdmissionRefusal
  /** Time after which a resend may succeed, in milliseconds. */
  readonly retryAfterMs: number
}

/** Queues of one host before the booking: by class, fair between accounts, with early refusal. */
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
   * Queues a request unless it can't be served in time.
   *
   * @param item - Request.
   * @param nowMs - Monotonic time in milliseconds.
   * @returns `null` when queued, else the refusal.
   */
  offer (item: Item, nowMs: number): AdmissionDenial | null {
    const queue = this._queue(item.class)
    if (queue.size >= this._maxPerClass) return this._deny(AdmissionRefusal.QueueFull)
    if (nowMs + this._waitMs(item) > item.latestStartMs) return this._deny(AdmissionRefusal.CannotMeetTarget)
    queue.push(item)
    return null
  }

  /**
   * Takes the next request to be booked; it must be settled by `started`, `putBack` or `drop`.
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
   * Returns a taken request that could not be booked yet.
   *
   * @param item - Request.
   */
  putBack (item: Item): void {
    this._queue(item.class).putBack(item.id)
  }

  /**
   * Settles a taken request that is being served.
   *
   * @param item - Request.
   * @param nowMs - Monotonic time in milliseconds.
   */
  started (item: Item, nowMs: number): void {
    this._queue(item.class).done(item.id)
    this._countPassedOver(item.class)
    this._measureRate(nowMs)
  }

  /**
   * Forgets a request, queued or taken, whose caller no longer waits.
   *
   * @param item - Request.
   */
  drop (item: Item): void {
    this._queue(item.class).done(item.id)
    this._queue(item.class).remove(other => other.id === item.id)
  }

  /**
   * Removes requests that have waited until their target can't be met.
   *
   * @param nowMs - Monotonic time in milliseconds.
   * @returns The requests, each to be refused as not run.
   */
  expire (nowMs: number): readonly Item[] {
    return ROUTE_CLASSES.flatMap(name => this._queue(name).remove(item => item.latestStartMs < nowMs))
  }

  /**
   * @returns Requests that wait.
   */
  get size (): number {
    return ROUTE_CLASSES.reduce((sum, name) => sum + this._queue(name).size, 0)
  }

  /**
   * @returns Time after which a refused caller should try again, in milliseconds.
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

  private _measureRate (nowMs: number): void {
    const idle = this.size === 0 || this._lastStartMs === null
    const intervalMs = nowMs - (this._lastStartMs ?? nowMs)
    this._lastStartMs = this.size === 0 ? null : nowMs
    if (idle) return
    const before = this._startIntervalMs ?? intervalMs
    this._startIntervalMs = before + START_RATE_ALPHA * (intervalMs - before)
  }

  private _deny (refusal: AdmissionRefusal): AdmissionDenial {
    return { refusal, retryAfterMs: this.retryAfterMs }
  }

  private _queue (name: RouteClass): FairQueue<Item> {
    return this._queues.get(name) as FairQueue<Item>
  }
}
