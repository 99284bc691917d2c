/** One host list as far as leases need it. */
export interface AdoptedList {
  readonly revision: number
  /** Ids of the hosts in the list. */
  readonly hosts: readonly string[]
}

/** Asks a host to confirm a host-list revision. */
export interface LeaseQuestion {
  readonly from: string
  readonly incarnation: number
  /** List revision under which the sender wants to act. */
  readonly revision: number
}

/** Answer to a lease question. */
export interface LeaseAnswer {
  readonly from: string
  readonly incarnation: number
  /** Whether `revision` of the question is the highest revision that the host has adopted. */
  readonly confirms: boolean
  /** Highest list revision that the host has adopted; 0 when it has none. */
  readonly highestRevision: number
  /** Lists that may have been active, as far as the host knows. */
  readonly adopted: readonly AdoptedList[]
}

/** Answers lease questions of other hosts. */
export abstract class LeaseHandler {
  /**
   * @param question - Checked question of another host.
   * @param signal - Aborts when the caller has gone.
   * @returns The answer.
   */
  abstract confirmLease (question: LeaseQuestion, signal: AbortSignal): Promise<LeaseAnswer>
}
