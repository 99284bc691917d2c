import { WEIGHT_LOADS_PER_SECOND } from './JaymillOrderConstants.js'

const MS_PER_SECOND = 1_000

/**
 * Staggers weight loads: each owner starts its share of the fleet's rate, evenly spaced, so that all owners together stay
 * within the weight store's rate without talking to each other.
 */
export class WeightLoadPacer {
  private _intervalMs = Number.POSITIVE_INFINITY
  private _nextMs = Number.NEGATIVE_INFINITY

  /**
   * @param owned - Engines that this host orders.
   * @param total - Engines of the fleet.
   */
  share (owned: number, total: number): void {
    this._intervalMs = MS_PER_SECOND * total / (owned * WEIGHT_LOADS_PER_SECOND)
  }

  /**
   * @param nowMs - Time in milliseconds.
   * @returns Whether a load may start now; if so, it is counted.
   */
  take (nowMs: number): boolean {
    if (nowMs < this._nextMs) return false
    this._nextMs = nowMs + this._intervalMs
    return true
  }
}
