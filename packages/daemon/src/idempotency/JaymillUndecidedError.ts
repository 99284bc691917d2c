import { ErrorKind, RanState, RequestError, UnknownReason } from '@jaymill/core'
import type { KeyedArrival } from './JaymillKeyedArrival.js'
import { RESEND_AFTER_MS } from './constants.js'

const TRANSIENT: readonly UnknownReason[] = [
  UnknownReason.Recovering, UnknownReason.NotActive, UnknownReason.NoLease, UnknownReason.NotOwner
]

/**
 * The host asked can't tell whether the request ran. For a key that the entry host minted for this arrival alone the
 * request truly did not run, unless the outcome of a call was lost.
 */
export class UndecidedError extends RequestError {
  /** Why it can't be told. */
  readonly reason: UnknownReason

  /**
   * @param reason - Why it can't be told.
   * @param minted - Whether no other arrival carries the key.
   */
  constructor (reason: UnknownReason, minted: boolean) {
    const unrun = minted && reason !== UnknownReason.OutcomeLost
    super(unrun ? ErrorKind.NotReady : ErrorKind.OutcomeUnknown, describe(reason, unrun), {
      ran: unrun ? RanState.No : RanState.Unknown, retryAfterMs: RESEND_AFTER_MS
    })
    this.reason = reason
  }

  /**
   * @param arrival - Arrival that was left undecided.
   * @returns Whether another try may be decided; a minted key is replaced by a younger one.
   */
  mayPass (arrival: KeyedArrival): boolean {
    const younger = arrival.minted && this.reason !== UnknownReason.OutcomeLost
    return younger || TRANSIENT.includes(this.reason)
  }
}

function describe (reason: UnknownReason, unrun: boolean): string {
  if (unrun) return `the request did not run: the owner of its key can't act now (${reason})`
  return `whether the request ran is not known (${reason}); a resend with the same key is safe`
}
