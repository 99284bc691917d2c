import type { TokenLease } from '../../admission/JaymillTokenLease.js'
import type { ReservationResponse, ReservationRequest } from '../../routing/JaymillReservation.js'

/** Request to the owner of an endpoint for a reservation. */
export interface EndpointReservationRequest {
  readonly endpointId: string
  /** Required capacity, with the requesting host and its incarnation. */
  readonly request: ReservationRequest
}

/** Identifies a reservation on an endpoint. */
export interface ReservationRef {
  readonly endpointId: string
  readonly grantId: string
}

/** Reservations of one host to renew or release. */
export interface ReservationBatch {
  readonly from: string
  readonly incarnation: number
  readonly grants: readonly ReservationRef[]
}

/** Request to the owner of an account for a token lease. */
export interface TokenLeaseRequest {
  readonly from: string
  readonly accountId: string
  readonly tokens: number
}

/** Handles requests of other hosts for endpoint capacity and account tokens. */
export abstract class ReservationHandler {
  /**
   * Reserves capacity on an endpoint.
   *
   * @param request - Validated request of another host.
   * @returns Response of the owner; a refusal is a normal response, not an error.
   */
  abstract grant (request: EndpointReservationRequest): Promise<ReservationResponse>

  /**
   * Renews reservations; unknown ones are ignored.
   *
   * @param batch - Reservations that the sender still uses.
   */
  abstract renew (batch: ReservationBatch): Promise<void>

  /**
   * Releases reservations. Unknown ids are remembered, so that a delayed request for them is refused.
   *
   * @param batch - Reservations that the sender no longer uses.
   */
  abstract release (batch: ReservationBatch): Promise<void>

  /**
   * Leases tokens of an account.
   *
   * @param request - Account and number of tokens.
   * @returns The lease; it has 0 tokens when the limit of the account is used up.
   */
  abstract lease (request: TokenLeaseRequest): Promise<TokenLease>
}
