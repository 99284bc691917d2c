import { BUDGET_BUCKETS } from './constants.js'

/** Limits on the retries of all hosts together, for each service. */
export interface RetryBounds {
  /** Allowed retries per request. */
  readonly ratio: number
  /** Retries that the whole fleet may make in a window in addition to the ratio. */
  readonly minRetries: number
  /** Sliding window, in milliseconds. */
  readonly windowMs: number
}

interface Bucket {
  epoch: number
  requests: number
  retries: number
}

/**
 * Limits the retries of all hosts to a share of their requests plus a fixed number. Each host may use the share of its own
 * requests and an equal part of the fixed number, so that the hosts need no coordination.
 */
export class FleetRetryBudget {
  private readonly _bounds: RetryBounds
  private readonly _bucketMs: number
  private readonly _services = new Map<string, Bucket[]>()

  /**
   * @param bounds - Limits for the whole fleet.
   */
  constructor (bounds: RetryBounds) {
    this._bounds = bounds
    this._bucketMs = bounds.windowMs / BUDGET_BUCKETS
  }

  /**
   * Counts a caller's request.
   *
   * @param service - Service of the request.
   * @param nowMs - Monotonic time in milliseconds.
   */
  countRequest (service: string, nowMs: number): void {
    this._bucket(service, nowMs).requests += 1
  }

  /**
   * Takes one retry from the budget if one is left.
   *
   * @param service - Service to retry the request at.
   * @param hosts - Hosts that share the budget, including this one.
   * @param nowMs - Monotonic time in milliseconds.
   * @returns Whether the retry is allowed.
   */
  trySpend (service: string, hosts: number, nowMs: number): boolean {
    const bucket = this._bucket(service, nowMs)
    const recentBuckets = this._recentBuckets(service, nowMs)
    const requests = recentBuckets.reduce((sum, recentBucket) => sum + recentBucket.requests, 0)
    const retries = recentBuckets.reduce((sum, recentBucket) => sum + recentBucket.retries, 0)
    const allowed = this._bounds.ratio * requests + this._bounds.minRetries / Math.max(1, hosts)
    if (retries + 1 > allowed) return false
    bucket.retries += 1
    return true
  }

  private _bucket (service: string, nowMs: number): Bucket {
    const buckets = this._services.get(service) ?? []
    this._services.set(service, buckets)
    const epoch = Math.floor(nowMs / this._bucketMs)
    const last = buckets[buckets.length - 1]
    if (last?.epoch === epoch) return last
    const next = { epoch, requests: 0, retries: 0 }
    buckets.push(next)
    if (buckets.length > BUDGET_BUCKETS + 1) buckets.shift()
    return next
  }

  private _recentBuckets (service: string, nowMs: number): readonly Bucket[] {
    const oldestEpoch = Math.floor(nowMs / this._bucketMs) - BUDGET_BUCKETS
    return (this._services.get(service) ?? []).filter(({ epoch }) => epoch >= oldestEpoch)
  }
}
