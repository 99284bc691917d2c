import type { TokenLease } from '../../admission/JaymillTokenLease.js'
import type { ReservationResponse, ReservationRequest } from '../../routing/JaymillReservation.js'

/** Asks the owner of an endpoint for capacity. */
export interface GrantQuestion {
  readonly endpointId: string
  /** What is needed; it names the asking host and its incarnation. */
  readonly request: ReservationRequest
}

/** One grant on one endpoint. */
export interface GrantMark {
  readonly endpointId: string
  readonly grantId: string
}

/** Renews or releases grants. */
export interface GrantMarks {
  readonly from: string
  readonly incarnation: number
  readonly grants: readonly GrantMark[]
}

/** Asks the owner of an account for tokens. */
export interface TokenQuestion {
  readonly from: string
  readonly accountId: string
  readonly tokens: number
}

/** Grants endpoint capacity and account tokens to other hosts. */
export abstract class GrantHandler {
  /**
   * @param question - Checked question of another host.
   * @returns The owner's answer; a refusal is an answer, not a failure.
   */
  abstract grant (question: GrantQuestion): Promise<ReservationResponse>

  /**
   * Extends grants; unknown ones have no effect.
   *
   * @param marks - Grants that the sender still uses.
   */
  abstract renew (marks: GrantMarks): Promise<void>

  /**
   * Frees grants; unknown ones are remembered, so that a late question for them is refused.
   *
   * @param marks - Grants that the sender no longer uses.
   */
  abstract release (marks: GrantMarks): Promise<void>

  /**
   * @param question - Account and tokens.
   * @returns The lease; its tokens are 0 when the limit is used up.
   */
  abstract lease (question: TokenQuestion): Promise<TokenLease>
}
