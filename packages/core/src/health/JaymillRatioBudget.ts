/** Budget that permits a fixed ratio of counted events, plus a bounded burst. */
export class RatioBudget {
  private readonly _ratio: number
  private readonly _burst: number
  private _balance: number

  /**
   * @param ratio - Permits earned per counted event.
   * @param burst - Maximum number of accumulated permits; the budget starts full.
   */
  constructor (ratio: number, burst: number) {
    this._ratio = ratio
    this._burst = burst
    this._balance = burst
  }

  /** Counts one event, which earns a fraction of a permit. */
  earn (): void {
    this._balance = Math.min(this._burst, this._balance + this._ratio)
  }

  /**
   * Spends one permit, if there is one.
   *
   * @returns Whether a permit was spent.
   */
  trySpend (): boolean {
    if (this._balance < 1) return false
    this._balance -= 1
    return true
  }
}
