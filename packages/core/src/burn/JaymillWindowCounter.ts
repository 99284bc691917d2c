import { BUCKETS_PER_WINDOW } from './constants.js'

/** Requests of a window. */
export interface WindowCount {
  readonly total: number
  /** Requests that missed their target. */
  readonly bad: number
}

/** Counts requests over a sliding window in a fixed ring of buckets. */
export class WindowCounter {
  private readonly _bucketMs: number
  private readonly _total = new Uint32Array(BUCKETS_PER_WINDOW)
  private readonly _bad = new Uint32Array(BUCKETS_PER_WINDOW)
  private _newest = Number.NEGATIVE_INFINITY

  /**
   * @param windowMs - Length of the window, in milliseconds.
   */
  constructor (windowMs: number) {
    this._bucketMs = windowMs / BUCKETS_PER_WINDOW
  }

  /**
   * Counts one request.
   *
   * @param isBad - Whether it missed its target.
   * @param nowMs - Monotonic time in milliseconds.
   */
  add (isBad: boolean, nowMs: number): void {
    const slot = this._moveTo(nowMs) % BUCKETS_PER_WINDOW
    this._total[slot] = (this._total[slot] ?? 0) + 1
    if (isBad) this._bad[slot] = (this._bad[slot] ?? 0) + 1
  }

  /**
   * @param nowMs - Monotonic time in milliseconds.
   * @returns Requests of the window that ends now; the oldest part is up to one bucket short.
   */
  count (nowMs: number): WindowCount {
    this._moveTo(nowMs)
    return { total: sum(this._total), bad: sum(this._bad) }
  }

  private _moveTo (nowMs: number): number {
    const epoch = Math.max(Math.floor(nowMs / this._bucketMs), this._newest)
    const passed = Math.min(epoch - this._newest, BUCKETS_PER_WINDOW)
    Array.from({ length: passed }, (_, i) => (epoch - i) % BUCKETS_PER_WINDOW).forEach(slot => {
      this._total[slot] = 0
      this._bad[slot] = 0
    })
    this._newest = epoch
    return epoch
  }
}

function sum (values: Uint32Array): number {
  return values.reduce((total, value) => total + value, 0)
}
