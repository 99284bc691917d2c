import { HEALTH_SUMMARY_CHARS_PER_SECOND } from './JaymillMembershipConstants.js'

const MS_PER_SECOND = 1_000

/** Limits the rate at which heartbeats carry health summaries; the other heartbeats are sent without one. */
export class HealthSummaryRateLimiter {
  private _nextMs = Number.NEGATIVE_INFINITY

  /**
   * Checks whether a summary may be sent now, and if so counts it.
   *
   * @param chars - Length of the summary, in characters.
   * @param nowMs - Monotonic time in milliseconds.
   * @returns Whether the summary may be sent.
   */
  tryAcquire (chars: number, nowMs: number): boolean {
    if (nowMs < this._nextMs) return false
    this._nextMs = nowMs + chars / HEALTH_SUMMARY_CHARS_PER_SECOND * MS_PER_SECOND
    return true
  }
}
