import { BURST_MS } from './JaymillAdmissionConstants.js'

const MS_PER_SECOND = 1_000

/** Token bucket that fills at a constant rate up to a burst. */
export class TokenBucket {
  private readonly _burst: number
  private readonly _tokensPerMs: number
  private _level: number
  private _updatedAtMs: number

  /**
   * @param tokensPerSecond - Tokens added per second.
   * @param nowMs - Monotonic time in milliseconds; the bucket starts full.
   * @param burstMs - Time in which the rate fills the bucket, in milliseconds.
   */
  constructor (tokensPerSecond: number, nowMs: number, burstMs: number = BURST_MS) {
    this._tokensPerMs = tokensPerSecond / MS_PER_SECOND
    this._burst = this._tokensPerMs * burstMs
    this._level = this._burst
    this._updatedAtMs = nowMs
  }

  /**
   * @param nowMs - Monotonic time in milliseconds.
   * @returns Available tokens.
   */
  level (nowMs: number): number {
    this._level = Math.min(this._burst, this._level + Math.max(0, nowMs - this._updatedAtMs) * this._tokensPerMs)
    this._updatedAtMs = Math.max(this._updatedAtMs, nowMs)
    return this._level
  }

  /**
   * Takes tokens when enough are available. A request larger than the burst needs only a full bucket and leaves a debt,
   * so that it is not refused forever.
   *
   * @param tokens - Tokens to take.
   * @param nowMs - Monotonic time in milliseconds.
   * @returns Whether the tokens were taken.
   */
  take (tokens: number, nowMs: number): boolean {
    if (this.level(nowMs) < Math.min(tokens, this._burst)) return false
    this._level -= tokens
    return true
  }

  /**
   * Takes tokens that were used on another host; the bucket may go into debt.
   *
   * @param tokens - Tokens used.
   * @param nowMs - Monotonic time in milliseconds.
   */
  charge (tokens: number, nowMs: number): void {
    this._level = this.level(nowMs) - tokens
  }
}
