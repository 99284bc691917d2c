import { WEIGHT_LOADS_PER_SECOND } from './JaymillOrderConstants.js'

const MS_PER_SECOND = 1_000

/**
 * Limits the rate of weight loads. Each owner uses its share of the fleet's rate, evenly spaced, so that all owners together
 * stay within the rate of the weight store without coordination.
 */
export class WeightLoadLimiter {
  private _intervalMs = Number.POSITIVE_INFINITY
  private _nextMs = Number.NEGATIVE_INFINITY

  /**
   * Sets this host's share of the rate.
   *
   * @param owned - Number of engines that this host owns.
   * @param total - Number of engines of the fleet.
   */
  setShare (owned: number, total: number): void {
    this._intervalMs = MS_PER_SECOND * total / (owned * WEIGHT_LOADS_PER_SECOND)
  }

  /**
   * Requests permission to start a load.
   *
   * @param nowMs - Monotonic time in milliseconds.
   * @returns Whether a load may start now; if so, it counts against the rate.
   */
  tryAcquire (nowMs: number): boolean {
    if (nowMs < this._nextMs) return false
    this._nextMs = nowMs + this._intervalMs
    return true
  }
}
