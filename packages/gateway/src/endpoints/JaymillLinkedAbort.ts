/** Abort controller that also aborts when another signal does. */
export class LinkedAbort {
  private readonly _controller = new AbortController()
  private readonly _outer: AbortSignal
  private readonly _onAbort = (): void => this.abort(this._outer.reason)

  /**
   * @param outer - Signal to follow.
   */
  constructor (outer: AbortSignal) {
    this._outer = outer
    outer.addEventListener('abort', this._onAbort, { once: true })
    if (outer.aborted) this._onAbort()
  }

  /** Signal that aborts with the outer signal or by `abort`. */
  get signal (): AbortSignal {
    return this._controller.signal
  }

  /**
   * Aborts the signal; the outer one is not affected.
   *
   * @param reason - Reason of the abort.
   */
  abort (reason?: unknown): void {
    this._controller.abort(reason)
  }

  /** Stops following the outer signal. */
  dispose (): void {
    this._outer.removeEventListener('abort', this._onAbort)
  }
}
