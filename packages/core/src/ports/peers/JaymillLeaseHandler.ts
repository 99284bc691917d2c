import type { LeaseResponse, LeaseRequest } from '../../idempotency/JaymillLeaseMessages.js'

/** Handles lease requests of other hosts. */
export abstract class LeaseHandler {
  /**
   * Responds to a lease request.
   *
   * @param request - Validated request of another host.
   * @param signal - Aborted when the requesting host disconnects.
   * @returns The response.
   */
  abstract confirmLease (request: LeaseRequest, signal: AbortSignal): Promise<LeaseResponse>
}
