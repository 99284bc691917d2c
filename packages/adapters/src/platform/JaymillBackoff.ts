import type { Random } from '@jaymill/core'
import { FIRST_BACKOFF_MS, MAX_BACKOFF_DOUBLINGS, MIN_JITTER_SHARE } from './constants.js'

/** Exponential backoff with jitter: the delay doubles after each consecutive failure. */
export class Backoff {
  private readonly _maxMs: number
  private readonly _random: Random
  private _failures = 0

  /**
   * @param maxMs - Longest delay, in milliseconds.
   * @param random - Source of the jitter.
   */
  constructor (maxMs: number, random: Random) {
    this._maxMs = maxMs
    this._random = random
  }

  /**
   * Records a failure.
   *
   * @returns Delay before the next attempt, in milliseconds.
   */
  next (): number {
    const doublings = Math.min(this._failures, MAX_BACKOFF_DOUBLINGS)
    this._failures += 1
    const ms = Math.min(this._maxMs, FIRST_BACKOFF_MS * 2 ** doublings)
    return ms * (MIN_JITTER_SHARE + (1 - MIN_JITTER_SHARE) * this._random.next())
  }

  /** Resets the delay to its minimum after a success. */
  reset (): void {
    this._failures = 0
  }
}
