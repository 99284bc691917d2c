/** Fires when an awaited stream makes no progress for too long. Cheap to restart on every token. */
export class ProgressTimer {
  private readonly _onSilence: () => void
  private _timer: NodeJS.Timeout | undefined
  private _ms = 0
  private _waiting = false

  /**
   * @param onSilence - Called when an awaited stream is silent for too long.
   */
  constructor (onSilence: () => void) {
    this._onSilence = onSilence
  }

  /**
   * Starts or restarts the wait for progress.
   *
   * @param ms - Silence allowed, in milliseconds.
   */
  wait (ms: number): void {
    this._waiting = true
    if (ms === this._ms) {
      this._timer?.refresh()
      return
    }
    clearTimeout(this._timer)
    this._ms = ms
    this._timer = setTimeout(() => this._expire(), ms)
  }

  /** Allows any silence while nobody reads the stream. */
  pause (): void {
    this._waiting = false
  }

  /** Ends the watch. */
  stop (): void {
    this._waiting = false
    clearTimeout(this._timer)
  }

  private _expire (): void {
    if (this._waiting) this._onSilence()
  }
}
