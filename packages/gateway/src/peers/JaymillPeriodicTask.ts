/** Tells when a task is due that is done at an interval. */
export class PeriodicTask {
  private readonly _intervalMs: number
  private _lastMs = Number.NEGATIVE_INFINITY

  /**
   * @param intervalMs - Interval, in milliseconds.
   */
  constructor (intervalMs: number) {
    this._intervalMs = intervalMs
  }

  /**
   * Checks whether the task is due, and if so starts the next interval.
   *
   * @param nowMs - Monotonic time in milliseconds.
   * @returns Whether to do the task now.
   */
  isDue (nowMs: number): boolean {
    if (nowMs - this._lastMs < this._intervalMs) return false
    this._lastMs = nowMs
    return true
  }
}
