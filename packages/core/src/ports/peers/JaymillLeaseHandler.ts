import type { LeaseAnswer, LeaseQuestion } from '../../idempotency/JaymillLeaseMessages.js'

/** Answers lease questions of other hosts. */
export abstract class LeaseHandler {
  /**
   * @param question - Checked question of another host.
   * @param signal - Aborts when the caller has gone.
   * @returns The answer.
   */
  abstract confirmLease (question: LeaseQuestion, signal: AbortSignal): Promise<LeaseAnswer>
}
