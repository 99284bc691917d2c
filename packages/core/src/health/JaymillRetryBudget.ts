import { Random } from '../ports/JaymillRandom.js'
import { RETRY_BASE_MS, RETRY_BURST, RETRY_MAX_MS, RETRY_SHARE } from './constants.js'
import { RatioBudget } from './JaymillRatioBudget.js'

/** Limits the retries of each route on this host to a fixed share of its requests, plus a bounded burst. */
export class RetryBudget {
  private readonly _random: Random
  private readonly _burst: number
  private readonly _routes = new Map<string, RatioBudget>()

  /**
   * @param random - Source of jitter.
   * @param burst - Maximum number of retries that can accumulate.
   */
  constructor (random: Random, burst = RETRY_BURST) {
    this._random = random
    this._burst = burst
  }

  /**
   * Counts the first attempt of a request.
   *
   * @param routeId - Route of the request.
   */
  recordRequest (routeId: string): void {
    this._budget(routeId).earn()
  }

  /**
   * Takes one retry from the budget, if there is one.
   *
   * @param routeId - Route of the request.
   * @returns Whether the request may be retried.
   */
  trySpend (routeId: string): boolean {
    return this._budget(routeId).trySpend()
  }

  /**
   * Computes the backoff before a retry: full jitter over an exponential range (Brooker, "Exponential Backoff and Jitter", 2015).
   *
   * @param retry - Number of the retry, starting at 1.
   * @returns Backoff in milliseconds.
   */
  backoffMs (retry: number): number {
    return this._random.next() * Math.min(RETRY_MAX_MS, RETRY_BASE_MS * 2 ** (retry - 1))
  }

  private _budget (routeId: string): RatioBudget {
    const budget = this._routes.get(routeId) ?? new RatioBudget(RETRY_SHARE, this._burst)
    this._routes.set(routeId, budget)
    return budget
  }
}
