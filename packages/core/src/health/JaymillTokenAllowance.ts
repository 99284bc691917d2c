/** Grants a fixed share of what is counted, with a bounded saving. */
export class TokenAllowance {
  private readonly _share: number
  private readonly _burst: number
  private _saved: number

  /**
   * @param share - Grants earned by each counted event.
   * @param burst - Grants that may be saved up; all of them are there at the start.
   */
  constructor (share: number, burst: number) {
    this._share = share
    this._burst = burst
    this._saved = burst
  }

  /** Counts one event. */
  earn (): void {
    this._saved = Math.min(this._burst, this._saved + this._share)
  }

  /**
   * @returns Whether one grant was left; it is spent then.
   */
  spend (): boolean {
    if (this._saved < 1) return false
    this._saved -= 1
    return true
  }
}
