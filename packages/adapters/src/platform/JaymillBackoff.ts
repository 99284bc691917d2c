import type { Random } from '@jaymill/core'
import { FIRST_BACKOFF_MS, MAX_BACKOFF_DOUBLINGS, MIN_JITTER_SHARE } from './constants.js'

/** Pauses that double after each failure in a row, with jitter. */
export class Backoff {
  private readonly _maxMs: number
  private readonly _random: Random
  private _failures = 0

  /**
   * @param maxMs - Longest pause, in milliseconds.
   * @param random - Source of jitter.
   */
  constructor (maxMs: number, random: Random) {
    this._maxMs = maxMs
    this._random = random
  }

  /**
   * Counts a failure.
   *
   * @returns Pause before the next try, in milliseconds.
   */
  next (): number {
    const doublings = Math.min(this._failures, MAX_BACKOFF_DOUBLINGS)
    this._failures += 1
    const ms = Math.min(this._maxMs, FIRST_BACKOFF_MS * 2 ** doublings)
    return ms * (MIN_JITTER_SHARE + (1 - MIN_JITTER_SHARE) * this._random.next())
  }

  /** Starts again with the shortest pause. */
  reset (): void {
    this._failures = 0
  }
}
