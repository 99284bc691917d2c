import { BUDGET_BUCKETS, BUDGET_HOSTS_MEMORY_MS } from './constants.js'

const MS_PER_SECOND = 1_000

/** Limits on the retries of all hosts together, for each service. */
export interface RetryBounds {
  /** Allowed retries per request. */
  readonly ratio: number
  /** Retries that the whole fleet may make in a window in addition to the ratio. */
  readonly minRetries: number
  /** Sliding window, in milliseconds. */
  readonly windowMs: number
}

/** A retry that has been taken from the budget. */
export interface RetryCharge {
  /** Returns it, because the call did not count. */
  readonly refund: () => void
  /**
   * Counts it at a later time, at which the call is really made.
   *
   * @param nowMs - Monotonic time in milliseconds.
   */
  readonly moveTo: (nowMs: number) => void
}

interface Bucket {
  epoch: number
  requests: number
  retries: number
}

/**
 * Limits the retries of all hosts to a share of their requests plus a fixed number. Each host may use the share of its own
 * requests and an equal part of the fixed number, so that the hosts need no coordination. The part stays safe while hosts join,
 * restart or are cut off: a process uses none of it in its first window, since an earlier process of the host may just have
 * used it and the other hosts may not know this one, and a host that is no longer known counts for some time.
 */
export class FleetRetryBudget {
  private readonly _bounds: RetryBounds
  private readonly _startedMs: number
  private readonly _bucketMs: number
  private readonly _services = new Map<string, Bucket[]>()
  private _highestHosts = 1
  private _highestHostsMs = Number.NEGATIVE_INFINITY

  /**
   * @param bounds - Limits for the whole fleet.
   * @param startedMs - Monotonic time at which the process started, in milliseconds.
   */
  constructor (bounds: RetryBounds, startedMs: number) {
    this._bounds = bounds
    this._startedMs = startedMs
    this._bucketMs = bounds.windowMs / BUDGET_BUCKETS
  }

  /**
   * Counts a caller's request.
   *
   * @param service - Service of the request.
   * @param nowMs - Monotonic time in milliseconds.
   */
  countRequest (service: string, nowMs: number): void {
    if (this._bucketMs > 0) this._bucket(service, nowMs).requests += 1
  }

  /**
   * Tells whether a retry is left, for one that is made later.
   *
   * @param service - Service to retry the request at.
   * @param hosts - Hosts that share the budget, including this one.
   * @param nowMs - Monotonic time in milliseconds.
   * @returns Whether the retry would be allowed now.
   */
  hasRetry (service: string, hosts: number, nowMs: number): boolean {
    if (this._bucketMs === 0) return false
    const allowed = this._bounds.ratio * this._requests(service, nowMs) + this._shareOfMinimum(hosts, nowMs)
    return this._retries(service, nowMs) + 1 <= allowed
  }

  /**
   * Takes one retry from the budget if one is left. The charge can be returned or moved, for a call that only counts if it fails or that
   * is made later.
   *
   * @param service - Service to call.
   * @param hosts - Hosts that share the budget, including this one.
   * @param nowMs - Monotonic time in milliseconds.
   * @returns The charge; `undefined` when no retry is left.
   */
  tryCharge (service: string, hosts: number, nowMs: number): RetryCharge | undefined {
    if (!this.hasRetry(service, hosts, nowMs)) return undefined
    const bucket = this._bucket(service, nowMs)
    bucket.retries += 1
    const refund = (): void => { bucket.retries -= 1 }
    return {
      refund,
      moveTo: laterMs => {
        refund()
        this.charge(service, laterMs)
      }
    }
  }

  /**
   * Counts a retry that has happened, whether or not one was left.
   *
   * @param service - Service that was called.
   * @param nowMs - Monotonic time in milliseconds.
   */
  charge (service: string, nowMs: number): void {
    if (this._bucketMs > 0) this._bucket(service, nowMs).retries += 1
  }

  /**
   * @param service - A service.
   * @param nowMs - Monotonic time in milliseconds.
   * @returns Rate of callers' requests to the service at this host over the window, per second.
   */
  requestRate (service: string, nowMs: number): number {
    return this._bucketMs === 0 ? 0 : this._requests(service, nowMs) / this._bounds.windowMs * MS_PER_SECOND
  }

  private _shareOfMinimum (hosts: number, nowMs: number): number {
    if (hosts >= this._highestHosts || nowMs - this._highestHostsMs > BUDGET_HOSTS_MEMORY_MS) {
      this._highestHosts = Math.max(1, hosts)
      this._highestHostsMs = nowMs
    }
    return nowMs - this._startedMs < this._bounds.windowMs ? 0 : this._bounds.minRetries / this._highestHosts
  }

  /** Requests of at most one window, so that the budget is never overestimated. */
  private _requests (service: string, nowMs: number): number {
    return this._bucketsSince(service, this._epoch(nowMs) - BUDGET_BUCKETS + 1).reduce((sum, { requests }) => sum + requests, 0)
  }

  /** Retries of at least one window. */
  private _retries (service: string, nowMs: number): number {
    return this._bucketsSince(service, this._epoch(nowMs) - BUDGET_BUCKETS).reduce((sum, { retries }) => sum + retries, 0)
  }

  private _epoch (nowMs: number): number {
    return Math.floor(nowMs / this._bucketMs)
  }

  private _bucket (service: string, nowMs: number): Bucket {
    const buckets = this._services.get(service) ?? []
    this._services.set(service, buckets)
    const epoch = this._epoch(nowMs)
    const last = buckets[buckets.length - 1]
    if (last?.epoch === epoch) return last
    const next = { epoch, requests: 0, retries: 0 }
    buckets.push(next)
    if (buckets.length > BUDGET_BUCKETS + 1) buckets.shift()
    return next
  }

  private _bucketsSince (service: string, oldestEpoch: number): readonly Bucket[] {
    return (this._services.get(service) ?? []).filter(({ epoch }) => epoch >= oldestEpoch)
  }
}
