import { MAX_SAMPLES, WINDOW_MS } from './constants.js'
import { median } from './JaymillRobustStatistics.js'

/** Sliding window of log(observed / expected latency) of one endpoint and measure. */
export class LatencyRatioWindow {
  private _logRatios: number[] = []
  private _observedAtMs: number[] = []
  private _median: number | null = null

  /**
   * Adds an observation; the oldest is dropped beyond `MAX_SAMPLES`.
   *
   * @param logRatio - Logarithm of observed / expected latency.
   * @param nowMs - Monotonic time in milliseconds.
   */
  add (logRatio: number, nowMs: number): void {
    this._median = null
    this._logRatios.push(logRatio)
    this._observedAtMs.push(nowMs)
    if (this._logRatios.length > MAX_SAMPLES) this._dropOldest(1)
  }

  /**
   * Drops expired observations.
   *
   * @param nowMs - Monotonic time in milliseconds.
   * @returns Number of observations in the window.
   */
  count (nowMs: number): number {
    const firstFresh = this._observedAtMs.findIndex(atMs => nowMs - atMs < WINDOW_MS)
    this._dropOldest(firstFresh === -1 ? this._observedAtMs.length : firstFresh)
    return this._logRatios.length
  }

  /**
   * @param nowMs - Monotonic time in milliseconds.
   * @returns Median of the observations in the window; `NaN` if there are none.
   */
  median (nowMs: number): number {
    this.count(nowMs)
    this._median ??= median(this._logRatios)
    return this._median
  }

  /** Drops all observations. */
  clear (): void {
    this._dropOldest(this._logRatios.length)
  }

  private _dropOldest (count: number): void {
    if (count === 0) return
    this._median = null
    this._logRatios = this._logRatios.slice(count)
    this._observedAtMs = this._observedAtMs.slice(count)
  }
}
