import {
  AccountConfig, Reservation, ReservationResponse, GrantHandler, GrantMarks, GrantQuestion, invariant, LoadReport, LedgerRegistry, OwnerRole,
  TokenLease, TokenLeaseOwner, TokenQuestion
} from '@jaymill/core'
import { HolderFacts } from './JaymillHolderFacts.js'
import { accountLimits } from './JaymillAccountLimits.js'
import { ownedEndpoints } from './JaymillOwnedEndpoints.js'
import type { RoutingParts } from './JaymillRoutingParts.js'

/** Grants capacity of the endpoints, and tokens of the accounts, that this host owns. */
export class SlotOwner extends GrantHandler {
  readonly facts = new HolderFacts()
  private readonly _parts: RoutingParts
  private readonly _book: LedgerRegistry
  private readonly _tokens = new TokenLeaseOwner()
  private _adopted = ''

  /**
   * @param parts - Parts of the host.
   */
  constructor (parts: RoutingParts) {
    super()
    this._parts = parts
    this._book = new LedgerRegistry(parts.identity.id)
  }

  /** {@inheritDoc @jaymill/core#GrantHandler.grant} */
  async grant ({ endpointId, request }: GrantQuestion): Promise<ReservationResponse> {
    const nowMs = this._parts.clock.nowMs()
    this.facts.note(request.hostId, request.incarnation, nowMs)
    return this._book.reserve(endpointId, request, nowMs)
  }

  /** {@inheritDoc @jaymill/core#GrantHandler.renew} */
  async renew ({ from, incarnation, grants }: GrantMarks): Promise<void> {
    const nowMs = this._parts.clock.nowMs()
    this.facts.note(from, incarnation, nowMs)
    grants.forEach(({ endpointId, grantId }) => this._book.renew(endpointId, grantId, nowMs))
  }

  /** {@inheritDoc @jaymill/core#GrantHandler.release} */
  async release ({ from, incarnation, grants }: GrantMarks): Promise<void> {
    const nowMs = this._parts.clock.nowMs()
    this.facts.note(from, incarnation, nowMs)
    grants.forEach(({ endpointId, grantId }) => this._book.release(endpointId, grantId, nowMs))
  }

  /** {@inheritDoc @jaymill/core#GrantHandler.lease} */
  async lease ({ accountId, tokens }: TokenQuestion): Promise<TokenLease> {
    const limit = this._parts.fleet().accounts.flatMap((account: AccountConfig) => accountLimits(account))
      .find(known => known.accountId === accountId)
    if (limit === undefined) return { accountId, tokens: 0, ttlMs: 0 }
    return this._tokens.lease(limit, tokens, this._parts.clock.nowMs())
  }

  /**
   * Takes over and gives up endpoints when the host list or the configuration has changed.
   *
   * @param nowMs - Monotonic time in milliseconds.
   */
  adopt (nowMs: number): void {
    const [list, fleet] = [this._parts.hosts(), this._parts.fleet()]
    const version = JSON.stringify([list.revision, fleet.revision, list.leavingEndpoints])
    if (version === this._adopted) return
    this._adopted = version
    this._book.updateOwnership(list, ownedEndpoints(fleet), nowMs)
  }

  /**
   * Marks grants that were not renewed.
   *
   * @param nowMs - Monotonic time in milliseconds.
   */
  expire (nowMs: number): void {
    this._book.expire(nowMs)
  }

  /**
   * @param endpointId - Endpoint of the report.
   * @param report - Its own list of running requests.
   * @param nowMs - Monotonic time in milliseconds.
   */
  reconcile (endpointId: string, report: LoadReport, nowMs: number): void {
    this._book.reconcile(endpointId, report, nowMs)
  }

  /**
   * @param endpointId - Endpoint asked about.
   * @returns Whether this host is its owner rather than its deputy.
   */
  owns (endpointId: string): boolean {
    return this._book.ownerRoleOf(endpointId) === OwnerRole.Owner
  }

  /**
   * @param endpointId - Endpoint that this host grants for.
   * @param nowMs - Monotonic time in milliseconds.
   * @returns Whether it still waits for the endpoint's list.
   */
  isHoldingOff (endpointId: string, nowMs: number): boolean {
    return this._ledger(endpointId).isHoldingOff(nowMs)
  }

  /**
   * @param endpointId - Endpoint that this host grants for.
   * @returns Its grants.
   */
  grantsOf (endpointId: string): readonly Reservation[] {
    return this._ledger(endpointId).reservations
  }

  /** Endpoints that this host grants for. */
  get endpointIds (): readonly string[] {
    return this._book.endpointIds
  }

  private _ledger (endpointId: string): NonNullable<ReturnType<LedgerRegistry['ledgerOf']>> {
    const ledger = this._book.ledgerOf(endpointId)
    invariant(ledger, `this host grants for endpoint ${endpointId}`)
    return ledger
  }
}
