import { BUCKETS_PER_WINDOW } from './constants.js'

/** Number of requests in a window. */
export interface WindowCount {
  readonly total: number
  /** Requests that failed or missed a latency target. */
  readonly bad: number
}

/** Counts requests over a sliding window in a fixed ring of buckets. */
export class WindowCounter {
  private readonly _bucketMs: number
  private readonly _total = new Uint32Array(BUCKETS_PER_WINDOW)
  private readonly _bad = new Uint32Array(BUCKETS_PER_WINDOW)
  private _newestEpoch = Number.NEGATIVE_INFINITY

  /**
   * @param windowMs - Length of the window, in milliseconds.
   */
  constructor (windowMs: number) {
    this._bucketMs = windowMs / BUCKETS_PER_WINDOW
  }

  /**
   * Counts one request.
   *
   * @param isBad - Whether it failed or missed a latency target.
   * @param nowMs - Monotonic time in milliseconds.
   */
  add (isBad: boolean, nowMs: number): void {
    const index = this._advanceTo(nowMs) % BUCKETS_PER_WINDOW
    this._total[index] = (this._total[index] ?? 0) + 1
    if (isBad) this._bad[index] = (this._bad[index] ?? 0) + 1
  }

  /**
   * Counts the requests of the window that ends now.
   *
   * @param nowMs - Monotonic time in milliseconds.
   * @returns Requests of the window, which may be up to one bucket too short.
   */
  count (nowMs: number): WindowCount {
    this._advanceTo(nowMs)
    return { total: sum(this._total), bad: sum(this._bad) }
  }

  private _advanceTo (nowMs: number): number {
    const epoch = Math.max(Math.floor(nowMs / this._bucketMs), this._newestEpoch)
    const elapsedBuckets = Math.min(epoch - this._newestEpoch, BUCKETS_PER_WINDOW)
    Array.from({ length: elapsedBuckets }, (_, i) => (epoch - i) % BUCKETS_PER_WINDOW).forEach(index => {
      this._total[index] = 0
      this._bad[index] = 0
    })
    this._newestEpoch = epoch
    return epoch
  }
}

function sum (values: Uint32Array): number {
  return values.reduce((total, value) => total + value, 0)
}
