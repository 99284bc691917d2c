import { DELAY_DEVIATION_WEIGHT, DELAY_DEVIATIONS, DELAY_MEAN_WEIGHT } from './constants.js'

/** Estimates an upper bound of a delay that varies, from its moving average and mean deviation (as RFC 6298 does). */
export class DelayEstimate {
  private readonly _initialMs: number
  private _meanMs: number | undefined
  private _deviationMs = 0

  /**
   * @param initialMs - Upper bound before the first sample, in milliseconds.
   */
  constructor (initialMs: number) {
    this._initialMs = initialMs
  }

  /**
   * Adds a sample.
   *
   * @param ms - Measured delay, in milliseconds.
   */
  add (ms: number): void {
    if (this._meanMs === undefined) {
      this._meanMs = ms
      this._deviationMs = ms / 2
      return
    }
    this._deviationMs += (Math.abs(ms - this._meanMs) - this._deviationMs) * DELAY_DEVIATION_WEIGHT
    this._meanMs += (ms - this._meanMs) * DELAY_MEAN_WEIGHT
  }

  /** Delay that most samples do not exceed, in milliseconds. */
  get upperMs (): number {
    return this._meanMs === undefined ? this._initialMs : this._meanMs + DELAY_DEVIATIONS * this._deviationMs
  }
}
