import {
  AccountConfig, EndpointReservationRequest, invariant, LedgerRegistry, LoadReport, OwnerRole, Reservation, ReservationBatch,
  ReservationHandler, ReservationResponse, TokenLease, TokenLeaseOwner, TokenLeaseRequest
} from '@jaymill/core'
import { accountLimits } from './JaymillAccountLimits.js'
import { HostLivenessTracker } from './JaymillHostLivenessTracker.js'
import { ownedEndpoints } from './JaymillOwnedEndpoints.js'
import type { RoutingContext } from './JaymillRoutingContext.js'

/** Reserves capacity of the endpoints and leases tokens of the accounts that this host owns. */
export class SlotOwner extends ReservationHandler {
  readonly liveness = new HostLivenessTracker()
  private readonly _ctx: RoutingContext
  private readonly _ledgers: LedgerRegistry
  private readonly _tokenLeases = new TokenLeaseOwner()
  private _adoptedVersion = ''

  /**
   * @param ctx - Components of the host that routing uses.
   */
  constructor (ctx: RoutingContext) {
    super()
    this._ctx = ctx
    this._ledgers = new LedgerRegistry(ctx.identity.id)
  }

  /** {@inheritDoc @jaymill/core#ReservationHandler.grant} */
  async grant ({ endpointId, request }: EndpointReservationRequest): Promise<ReservationResponse> {
    const nowMs = this._ctx.clock.nowMs()
    this.liveness.recordMessage(request.hostId, request.incarnation, nowMs)
    return this._ledgers.reserve(endpointId, request, nowMs)
  }

  /** {@inheritDoc @jaymill/core#ReservationHandler.renew} */
  async renew ({ from, incarnation, grants }: ReservationBatch): Promise<void> {
    const nowMs = this._ctx.clock.nowMs()
    this.liveness.recordMessage(from, incarnation, nowMs)
    grants.forEach(({ endpointId, grantId }) => this._ledgers.renew(endpointId, grantId, nowMs))
  }

  /** {@inheritDoc @jaymill/core#ReservationHandler.release} */
  async release ({ from, incarnation, grants }: ReservationBatch): Promise<void> {
    const nowMs = this._ctx.clock.nowMs()
    this.liveness.recordMessage(from, incarnation, nowMs)
    grants.forEach(({ endpointId, grantId }) => this._ledgers.release(endpointId, grantId, nowMs))
  }

  /** {@inheritDoc @jaymill/core#ReservationHandler.lease} */
  async lease ({ accountId, tokens }: TokenLeaseRequest): Promise<TokenLease> {
    const limit = this._ctx.fleet().accounts.flatMap((account: AccountConfig) => accountLimits(account))
      .find(candidate => candidate.accountId === accountId)
    if (limit === undefined) return { accountId, tokens: 0, ttlMs: 0 }
    return this._tokenLeases.lease(limit, tokens, this._ctx.clock.nowMs())
  }

  /**
   * Takes over newly owned endpoints and drops the others when the host list or the configuration has changed.
   *
   * @param nowMs - Monotonic time in milliseconds.
   */
  updateOwnership (nowMs: number): void {
    const [list, fleet] = [this._ctx.hosts(), this._ctx.fleet()]
    const version = JSON.stringify([list.revision, fleet.revision, list.leavingEndpoints])
    if (version === this._adoptedVersion) return
    this._adoptedVersion = version
    this._ledgers.updateOwnership(list, ownedEndpoints(fleet), nowMs)
  }

  /**
   * Marks reservations that were not renewed as expired.
   *
   * @param nowMs - Monotonic time in milliseconds.
   */
  expire (nowMs: number): void {
    this._ledgers.expire(nowMs)
  }

  /**
   * Compares the ledger of an endpoint with the endpoint's own list of running requests.
   *
   * @param endpointId - Endpoint of the report.
   * @param report - List of running requests.
   * @param nowMs - Monotonic time in milliseconds.
   */
  reconcile (endpointId: string, report: LoadReport, nowMs: number): void {
    this._ledgers.reconcile(endpointId, report, nowMs)
  }

  /**
   * Checks whether this host owns an endpoint.
   *
   * @param endpointId - Endpoint to look up.
   * @returns Whether this host is the owner, not the backup owner.
   */
  owns (endpointId: string): boolean {
    return this._ledgers.ownerRoleOf(endpointId) === OwnerRole.Owner
  }

  /**
   * Checks whether an endpoint is still in its hold-off after a takeover.
   *
   * @param endpointId - Endpoint of which this host is the owner or backup owner.
   * @param nowMs - Monotonic time in milliseconds.
   * @returns Whether the hold-off has not ended or no sufficiently recent list of running requests has been read.
   */
  isHoldingOff (endpointId: string, nowMs: number): boolean {
    return this._ledger(endpointId).isHoldingOff(nowMs)
  }

  /**
   * Lists the reservations of an endpoint.
   *
   * @param endpointId - Endpoint of which this host is the owner or backup owner.
   * @returns Its reservations.
   */
  reservationsOf (endpointId: string): readonly Reservation[] {
    return this._ledger(endpointId).reservations
  }

  /** Ids of the endpoints of which this host is the owner or backup owner. */
  get endpointIds (): readonly string[] {
    return this._ledgers.endpointIds
  }

  private _ledger (endpointId: string): NonNullable<ReturnType<LedgerRegistry['ledgerOf']>> {
    const ledger = this._ledgers.ledgerOf(endpointId)
    invariant(ledger, `this host has a ledger for endpoint ${endpointId}`)
    return ledger
  }
}
