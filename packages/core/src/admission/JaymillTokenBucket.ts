import { BURST_MS } from './JaymillAdmissionConstants.js'

const MS_PER_SECOND = 1_000

/** Bucket that fills at a constant rate up to a burst. */
export class TokenBucket {
  private readonly _burst: number
  private readonly _perMs: number
  private _level: number
  private _atMs: number

  /**
   * @param perSecond - Tokens added a second.
   * @param nowMs - Monotonic time in milliseconds; the bucket starts full.
   * @param burstMs - Time at the rate that fills the bucket, in milliseconds.
   */
  constructor (perSecond: number, nowMs: number, burstMs: number = BURST_MS) {
    this._perMs = perSecond / MS_PER_SECOND
    this._burst = this._perMs * burstMs
    this._level = this._burst
    this._atMs = nowMs
  }

  /**
   * @param nowMs - Monotonic time in milliseconds.
   * @returns Tokens at hand.
   */
  level (nowMs: number): number {
    this._level = Math.min(this._burst, this._level + Math.max(0, nowMs - this._atMs) * this._perMs)
    this._atMs = Math.max(this._atMs, nowMs)
    return this._level
  }

  /**
   * Takes tokens when there are any; a large request may leave a debt, so that it is not locked out for ever.
   *
   * @param tokens - Tokens wanted.
   * @param nowMs - Monotonic time in milliseconds.
   * @returns Whether they were taken.
   */
  take (tokens: number, nowMs: number): boolean {
    if (this.level(nowMs) < Math.min(tokens, this._burst)) return false
    this._level -= tokens
    return true
  }

  /**
   * Takes tokens that were used elsewhere; the bucket may fall into debt.
   *
   * @param tokens - Tokens used.
   * @param nowMs - Monotonic time in milliseconds.
   */
  charge (tokens: number, nowMs: number): void {
    this._level = this.level(nowMs) - tokens
  }
}
