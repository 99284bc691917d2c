import { Random } from '../ports/JaymillRandom.js'
import { RETRY_BASE_MS, RETRY_BURST, RETRY_MAX_MS, RETRY_SHARE } from './constants.js'
import { TokenAllowance } from './JaymillTokenAllowance.js'

/** Keeps the retries of each route on this host below a fixed share of its requests, plus a bounded burst. */
export class RetryBudget {
  private readonly _random: Random
  private readonly _burst: number
  private readonly _routes = new Map<string, TokenAllowance>()

  /**
   * @param random - Source of jitter.
   * @param burst - Retries that may be saved up.
   */
  constructor (random: Random, burst = RETRY_BURST) {
    this._random = random
    this._burst = burst
  }

  /**
   * Counts a first attempt.
   *
   * @param routeId - Route of the request.
   */
  counted (routeId: string): void {
    this._allowance(routeId).earn()
  }

  /**
   * @param routeId - Route of the request.
   * @returns Whether one retry may be made now; it is spent then.
   */
  spend (routeId: string): boolean {
    return this._allowance(routeId).spend()
  }

  /**
   * Full jitter over an exponential range (Brooker, "Exponential Backoff and Jitter", 2015).
   *
   * @param retry - Number of the retry, from 1.
   * @returns Wait before it, in milliseconds.
   */
  backoffMs (retry: number): number {
    return this._random.next() * Math.min(RETRY_MAX_MS, RETRY_BASE_MS * 2 ** (retry - 1))
  }

  private _allowance (routeId: string): TokenAllowance {
    const known = this._routes.get(routeId) ?? new TokenAllowance(RETRY_SHARE, this._burst)
    this._routes.set(routeId, known)
    return known
  }
}
