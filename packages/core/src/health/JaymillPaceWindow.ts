import { MAX_SAMPLES, WINDOW_MS } from './constants.js'
import { median } from './JaymillRobustStatistics.js'

/** Recent observations of one endpoint, as logarithms of observed by expected time. */
export class PaceWindow {
  private _values: number[] = []
  private _times: number[] = []
  private _centre: number | null = null

  /**
   * @param value - Logarithm of observed by expected time.
   * @param nowMs - Monotonic time in milliseconds.
   */
  add (value: number, nowMs: number): void {
    this._centre = null
    this._values.push(value)
    this._times.push(nowMs)
    if (this._values.length > MAX_SAMPLES) this._dropOldest(1)
  }

  /**
   * @param nowMs - Monotonic time in milliseconds.
   * @returns How many observations count now.
   */
  count (nowMs: number): number {
    const fresh = this._times.findIndex(time => nowMs - time < WINDOW_MS)
    this._dropOldest(fresh === -1 ? this._times.length : fresh)
    return this._values.length
  }

  /**
   * @param nowMs - Monotonic time in milliseconds.
   * @returns Median of what counts now; `NaN` without observations.
   */
  centre (nowMs: number): number {
    this.count(nowMs)
    this._centre ??= median(this._values)
    return this._centre
  }

  /** Forgets everything. */
  clear (): void {
    this._dropOldest(this._values.length)
  }

  private _dropOldest (count: number): void {
    if (count === 0) return
    this._centre = null
    this._values = this._values.slice(count)
    this._times = this._times.slice(count)
  }
}
