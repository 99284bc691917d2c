import { DELAY_DEVIATION_WEIGHT, DELAY_DEVIATIONS, DELAY_MAX_GROWTH, DELAY_MEAN_WEIGHT, DELAY_MEMORY_MS } from './constants.js'

/**
 * Estimates an upper bound of a delay that varies, from its moving average and mean deviation (as RFC 6298 does). A bound so long
 * that nothing is tried any more gets no further samples, so without these it returns to its initial value with time. A single sample
 * far above the bound, such as a pause of an endpoint, raises it by a limited factor only.
 */
export class DelayEstimate {
  private readonly _initialMs: number
  private _meanMs: number | undefined
  private _deviationMs = 0
  private _sampledMs = 0

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
   * @param nowMs - Monotonic time in milliseconds.
   */
  add (ms: number, nowMs: number): void {
    const sampleMs = Math.min(ms, DELAY_MAX_GROWTH * Math.max(this._initialMs, this.upperMs(nowMs)))
    this._sampledMs = nowMs
    if (this._meanMs === undefined) {
      this._meanMs = sampleMs
      this._deviationMs = sampleMs / 2
      return
    }
    this._deviationMs += (Math.abs(sampleMs - this._meanMs) - this._deviationMs) * DELAY_DEVIATION_WEIGHT
    this._meanMs += (sampleMs - this._meanMs) * DELAY_MEAN_WEIGHT
  }

  /**
   * @param nowMs - Monotonic time in milliseconds.
   * @returns Delay that most samples do not exceed, in milliseconds.
   */
  upperMs (nowMs: number): number {
    if (this._meanMs === undefined) return this._initialMs
    const upperMs = this._meanMs + DELAY_DEVIATIONS * this._deviationMs
    const excessMs = Math.max(0, upperMs - this._initialMs)
    return upperMs - excessMs * (1 - Math.exp((this._sampledMs - nowMs) / DELAY_MEMORY_MS))
  }
}
