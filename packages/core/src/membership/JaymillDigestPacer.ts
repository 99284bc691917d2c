import { DIGEST_CHARS_PER_SECOND } from './JaymillMembershipConstants.js'

const MS_PER_SECOND = 1_000

/** Bounds the rate at which health digests ride on heartbeats; the heartbeats in between go without. */
export class DigestPacer {
  private _nextMs = Number.NEGATIVE_INFINITY

  /**
   * @param chars - Length of the digest.
   * @param nowMs - Time in milliseconds.
   * @returns Whether the digest may be sent now; if so, it is counted.
   */
  take (chars: number, nowMs: number): boolean {
    if (nowMs < this._nextMs) return false
    this._nextMs = nowMs + chars / DIGEST_CHARS_PER_SECOND * MS_PER_SECOND
    return true
  }
}
