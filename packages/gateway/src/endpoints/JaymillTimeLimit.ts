/** Abort signal that follows another signal and also aborts after a timeout. */
export class TimeLimit {
  private readonly _controller = new AbortController()
  private readonly _outer: AbortSignal
  private readonly _timer: NodeJS.Timeout
  private readonly _onAbort = (): void => this._controller.abort(this._outer.reason)

  /**
   * @param outer - Signal to follow.
   * @param ms - Timeout, in milliseconds.
   */
  constructor (outer: AbortSignal, ms: number) {
    this._outer = outer
    this._timer = setTimeout(() => this._controller.abort(), ms)
    outer.addEventListener('abort', this._onAbort, { once: true })
    if (outer.aborted) this._onAbort()
  }

  /** Signal that aborts with the outer signal or after the timeout. */
  get signal (): AbortSignal {
    return this._controller.signal
  }

  /** Cancels the timeout; the signal keeps following the outer one. */
  cancelTimeout (): void {
    clearTimeout(this._timer)
  }

  /** Cancels the timeout and stops following the outer signal. */
  dispose (): void {
    this.cancelTimeout()
    this._outer.removeEventListener('abort', this._onAbort)
  }
}
