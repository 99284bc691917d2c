/** Signal that aborts with another one, or when its time is over. */
export class TimeLimit {
  private readonly _own = new AbortController()
  private readonly _outer: AbortSignal
  private readonly _timer: NodeJS.Timeout
  private readonly _onAbort = (): void => this._own.abort(this._outer.reason)

  /**
   * @param outer - Other signal.
   * @param ms - Time, in milliseconds.
   */
  constructor (outer: AbortSignal, ms: number) {
    this._outer = outer
    this._timer = setTimeout(() => this._own.abort(), ms)
    outer.addEventListener('abort', this._onAbort, { once: true })
    if (outer.aborted) this._onAbort()
  }

  /** The signal. */
  get signal (): AbortSignal {
    return this._own.signal
  }

  /** Lifts the time limit; the signal still aborts with the other one. */
  lift (): void {
    clearTimeout(this._timer)
  }

  /** Ends the limit; the signal doesn't abort any more. */
  done (): void {
    this.lift()
    this._outer.removeEventListener('abort', this._onAbort)
  }
}
