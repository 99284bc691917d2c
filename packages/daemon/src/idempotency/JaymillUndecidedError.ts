import { ErrorKind, RanState, RequestError, UnknownReason } from '@jaymill/core'
import type { KeyedArrival } from './JaymillKeyedArrival.js'
import { UNDECIDED_RETRY_AFTER_MS } from './constants.js'

const TRANSIENT_REASONS: readonly UnknownReason[] = [
  UnknownReason.Recovering, UnknownReason.NotActive, UnknownReason.NoLease, UnknownReason.NotOwner
]

/**
 * Reports that the key owner cannot tell whether a request ran. If the entry host minted the key for this arrival alone, the
 * request did not run, unless the outcome of a call to an endpoint was lost.
 */
export class UndecidedError extends RequestError {
  /** Why the outcome is unknown. */
  readonly reason: UnknownReason

  /**
   * @param reason - Why the outcome is unknown.
   * @param minted - Whether the entry host minted the key, so that no other arrival has it.
   */
  constructor (reason: UnknownReason, minted: boolean) {
    const notRun = minted && reason !== UnknownReason.OutcomeLost
    super(notRun ? ErrorKind.NotReady : ErrorKind.OutcomeUnknown, describe(reason, notRun), {
      ran: notRun ? RanState.No : RanState.Unknown, retryAfterMs: UNDECIDED_RETRY_AFTER_MS
    })
    this.reason = reason
  }

  /**
   * @param arrival - Arrival whose outcome is unknown.
   * @returns Whether another attempt may succeed; for a minted key it uses a newly minted one.
   */
  canRetry (arrival: KeyedArrival): boolean {
    const canReplaceKey = arrival.minted && this.reason !== UnknownReason.OutcomeLost
    return canReplaceKey || TRANSIENT_REASONS.includes(this.reason)
  }
}

function describe (reason: UnknownReason, notRun: boolean): string {
  if (notRun) return `the request did not run: the owner of its key is not ready (${reason})`
  return `it is unknown whether the request ran (${reason}); a retry with the same key is safe`
}
