/**
 * Detects a stream that makes no progress while it is read. Restarting it on every token costs little, because the timer is
 * refreshed and not created again.
 */
export class ProgressTimer {
  private readonly _onTimeout: () => void
  private _timer: NodeJS.Timeout | undefined
  private _timeoutMs = 0
  private _waiting = false

  /**
   * @param onTimeout - Called when the stream makes no progress within the timeout.
   */
  constructor (onTimeout: () => void) {
    this._onTimeout = onTimeout
  }

  /**
   * Starts or restarts the timeout.
   *
   * @param ms - Timeout, in milliseconds.
   */
  wait (ms: number): void {
    this._waiting = true
    if (ms === this._timeoutMs) {
      this._timer?.refresh()
      return
    }
    clearTimeout(this._timer)
    this._timeoutMs = ms
    this._timer = setTimeout(() => this._expire(), ms)
  }

  /** Suspends the timeout while the stream is not read. */
  pause (): void {
    this._waiting = false
  }

  /** Stops the timer. */
  stop (): void {
    this._waiting = false
    clearTimeout(this._timer)
  }

  private _expire (): void {
    if (this._waiting) this._onTimeout()
  }
}
