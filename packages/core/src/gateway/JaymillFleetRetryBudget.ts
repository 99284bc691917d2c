import { BUDGET_BUCKETS } from './constants.js'

/** Bounds of retries over all hosts, for each service. */
export interface RetryBounds {
  /** Retries for each request. */
  readonly ratio: number
  /** Retries of the whole fleet in a window beyond the ratio. */
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
 * Keeps the retries of all hosts below a share of their requests plus a fixed number. Each host spends its own requests'
 * share and an equal part of the number, so that no agreement between hosts is needed.
 */
export class FleetRetryBudget {
  private readonly _bounds: RetryBounds
  private readonly _bucketMs: number
  private readonly _services = new Map<string, Bucket[]>()

  /**
   * @param bounds - Bounds of the whole fleet.
   */
  constructor (bounds: RetryBounds) {
    this._bounds = bounds
    this._bucketMs = bounds.windowMs / BUDGET_BUCKETS
  }

  /**
   * Counts a request of a caller.
   *
   * @param service - Service that it goes to.
   * @param nowMs - Monotonic time in milliseconds.
   */
  counted (service: string, nowMs: number): void {
    this._bucket(service, nowMs).requests += 1
  }

  /**
   * @param service - Service that is to be called once more for a request.
   * @param hosts - Hosts that share the budget, this one included.
   * @param nowMs - Monotonic time in milliseconds.
   * @returns Whether the retry may be made; it is spent then.
   */
  spend (service: string, hosts: number, nowMs: number): boolean {
    const bucket = this._bucket(service, nowMs)
    const recent = this._recent(service, nowMs)
    const requests = recent.reduce((sum, part) => sum + part.requests, 0)
    const retries = recent.reduce((sum, part) => sum + part.retries, 0)
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

  private _recent (service: string, nowMs: number): readonly Bucket[] {
    const oldest = Math.floor(nowMs / this._bucketMs) - BUDGET_BUCKETS
    return (this._services.get(service) ?? []).filter(({ epoch }) => epoch >= oldest)
  }
}
