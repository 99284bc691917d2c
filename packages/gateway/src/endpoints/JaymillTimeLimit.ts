import { LinkedAbort } from './JaymillLinkedAbort.js'

/** Abort signal that follows another signal and also aborts after a timeout. */
export class TimeLimit extends LinkedAbort {
  private readonly _timer: NodeJS.Timeout

  /**
   * @param outer - Signal to follow.
   * @param ms - Timeout, in milliseconds.
   */
  constructor (outer: AbortSignal, ms: number) {
    super(outer)
    this._timer = setTimeout(() => this.abort(), ms)
  }

  /** Cancels the timeout and stops following the outer signal. */
  override dispose (): void {
    clearTimeout(this._timer)
    super.dispose()
  }
}
