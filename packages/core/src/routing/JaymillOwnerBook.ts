import type { HostList } from '../fleet/JaymillHostList.js'
import type { LoadReport } from '../ports/JaymillEngineClient.js'
import { AdoptionRule, CountingRule, EndpointLedger, LedgerCapacity } from './JaymillEndpointLedger.js'
import { Grant, GrantAnswer, GrantRefusal, GrantRequest } from './JaymillGrant.js'
import { LinkLedger } from './JaymillLinkLedger.js'
import { deputySlots, endpointOwners } from './JaymillSlotOwnership.js'
import type { BookingStage } from './JaymillSlotBooker.js'

/** An endpoint as its owner needs to know it. */
export interface OwnedEndpoint {
  readonly id: string
  readonly zone: string
  readonly stage: BookingStage
  readonly slots: number
  readonly kvPieces: number
  /** Share of the pool's KV link that this endpoint may book, in bytes per second; 0 without a limit. */
  readonly linkBytesPerSecond: number
  readonly leaving: boolean
}

/** Part that a host plays for an endpoint. */
export enum OwnerRole {
  Owner = 'owner',
  Deputy = 'deputy'
}

/** A grant that was not renewed. */
export interface ExpiredGrant {
  readonly endpointId: string
  readonly grant: Grant
}

interface OwnedLedger {
  readonly role: OwnerRole
  readonly ledger: EndpointLedger
}

const NOT_OWNER: GrantAnswer = { grant: null, refusal: GrantRefusal.NotOwner, free: { slots: 0, pieces: 0 } }

/** Ledgers of the endpoints that one host grants for. */
export class OwnerBook {
  private readonly _hostId: string
  private readonly _counting: CountingRule
  private _owned = new Map<string, OwnedLedger>()

  /**
   * @param hostId - Own id in the published list.
   * @param counting - How running requests count.
   */
  constructor (hostId: string, counting: CountingRule = CountingRule.Exact) {
    this._hostId = hostId
    this._counting = counting
  }

  /**
   * Takes over and gives up endpoints as the published list and the configuration say.
   *
   * @param list - Published host list.
   * @param endpoints - Every endpoint of the fleet.
   * @param nowMs - Monotonic time in milliseconds.
   */
  adopt (list: HostList, endpoints: readonly OwnedEndpoint[], nowMs: number): void {
    const leaving = new Set(list.leavingEndpoints)
    this._owned = new Map(endpoints.flatMap(endpoint => {
      const role = this._roleFor(endpoint, list)
      if (role === undefined) return []
      const owned = this._keepOrTakeOver(endpoint, role, nowMs)
      owned.ledger.setLeaving(endpoint.leaving || leaving.has(endpoint.id))
      return [[endpoint.id, owned] as const]
    }))
  }

  /**
   * Answers a request for a grant.
   *
   * @param endpointId - Endpoint to be booked.
   * @param req - What is needed.
   * @param nowMs - Monotonic time in milliseconds.
   * @returns The owner's answer.
   */
  grant (endpointId: string, req: GrantRequest, nowMs: number): GrantAnswer {
    return this._owned.get(endpointId)?.ledger.grant(req, nowMs) ?? NOT_OWNER
  }

  /**
   * Extends a grant.
   *
   * @param endpointId - Endpoint of the grant.
   * @param id - Id of the grant.
   * @param nowMs - Monotonic time in milliseconds.
   * @returns Whether the grant is in force here.
   */
  renew (endpointId: string, id: string, nowMs: number): boolean {
    return this._owned.get(endpointId)?.ledger.renew(id, nowMs) ?? false
  }

  /**
   * Frees a grant; safe to call twice.
   *
   * @param endpointId - Endpoint of the grant.
   * @param id - Id of the grant.
   * @param nowMs - Monotonic time in milliseconds.
   */
  release (endpointId: string, id: string, nowMs: number): void {
    this._owned.get(endpointId)?.ledger.release(id, nowMs)
  }

  /**
   * Compares a ledger with the endpoint's own list.
   *
   * @param endpointId - Endpoint of the report.
   * @param report - List of running requests.
   * @param nowMs - Monotonic time in milliseconds.
   */
  reconcile (endpointId: string, report: LoadReport, nowMs: number): void {
    this._owned.get(endpointId)?.ledger.reconcile(report, nowMs)
  }

  /**
   * Marks grants that were not renewed.
   *
   * @param nowMs - Monotonic time in milliseconds.
   * @returns Grants that hold capacity until their endpoint no longer lists them.
   */
  expire (nowMs: number): readonly ExpiredGrant[] {
    return [...this._owned].flatMap(([endpointId, { ledger }]) =>
      ledger.expire(nowMs).map(grant => ({ endpointId, grant })))
  }

  /**
   * @param endpointId - Endpoint asked about.
   * @returns The part this host plays, if any.
   */
  roleOf (endpointId: string): OwnerRole | undefined {
    return this._owned.get(endpointId)?.role
  }

  /**
   * @param endpointId - Endpoint asked about.
   * @returns Its ledger on this host, if any.
   */
  ledgerOf (endpointId: string): EndpointLedger | undefined {
    return this._owned.get(endpointId)?.ledger
  }

  /**
   * @returns Ids of the endpoints that this host grants for.
   */
  get endpointIds (): readonly string[] {
    return [...this._owned.keys()]
  }

  private _roleFor (endpoint: OwnedEndpoint, list: HostList): OwnerRole | undefined {
    const { owner, deputy } = endpointOwners(endpoint, list)
    if (owner?.id === this._hostId) return OwnerRole.Owner
    return deputy?.id === this._hostId ? OwnerRole.Deputy : undefined
  }

  private _keepOrTakeOver (endpoint: OwnedEndpoint, role: OwnerRole, nowMs: number): OwnedLedger {
    const kept = this._owned.get(endpoint.id)
    const capacity = shareOf(endpoint, role)
    if (kept?.role === role) {
      kept.ledger.resize(capacity)
      return kept
    }
    const link = new LinkLedger(endpoint.linkBytesPerSecond * capacity.slots / Math.max(1, endpoint.slots))
    const adoption = role === OwnerRole.Owner ? AdoptionRule.All : AdoptionRule.BeforeHoldOffEnd
    const ledger = new EndpointLedger(capacity, link, this._counting, adoption)
    ledger.takeOver(nowMs)
    return { role, ledger }
  }
}

function shareOf (endpoint: OwnedEndpoint, role: OwnerRole): LedgerCapacity {
  const shared = deputySlots(endpoint.slots)
  const slots = role === OwnerRole.Owner ? endpoint.slots - shared : shared
  const sharedPieces = Math.floor(endpoint.kvPieces * shared / Math.max(1, endpoint.slots))
  const pieces = role === OwnerRole.Owner ? endpoint.kvPieces - sharedPieces : sharedPieces
  return { slots, pieces, stage: endpoint.stage }
}
