import type { HostList } from '../fleet/JaymillHostList.js'
import type { LoadReport } from '../ports/JaymillEngineClient.js'
import { AdoptionRule, CountingRule, EndpointLedger, LedgerCapacity } from './JaymillEndpointLedger.js'
import { Reservation, ReservationRefusal, ReservationRequest, ReservationResponse } from './JaymillReservation.js'
import { LinkLedger } from './JaymillLinkLedger.js'
import { backupOwnerSlots, endpointOwners } from './JaymillSlotOwnership.js'
import type { EndpointRole } from './JaymillSlotAllocator.js'

/** Properties of an endpoint that its owner needs. */
export interface OwnedEndpoint {
  readonly id: string
  readonly zone: string
  readonly role: EndpointRole
  readonly slots: number
  readonly kvPieces: number
  /** Share of the pool's KV link that this endpoint may reserve, in bytes per second; 0 without a limit. */
  readonly linkBytesPerSecond: number
  readonly leaving: boolean
}

/** Ownership role of a host for an endpoint. */
export enum OwnerRole {
  Owner = 'owner',
  Backup = 'deputy'
}

/** A reservation that was not renewed. */
export interface ExpiredReservation {
  readonly endpointId: string
  readonly reservation: Reservation
}

interface OwnedLedger {
  readonly ownerRole: OwnerRole
  readonly ledger: EndpointLedger
}

const NOT_OWNER: ReservationResponse = { grant: null, refusal: ReservationRefusal.NotOwner, free: { slots: 0, pieces: 0 } }

/** Ledgers of the endpoints of which one host is the owner or backup owner. */
export class LedgerRegistry {
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
   * Takes over endpoints and drops others according to the published list and the configuration.
   *
   * @param list - Published host list.
   * @param endpoints - Every endpoint of the fleet.
   * @param nowMs - Monotonic time in milliseconds.
   */
  updateOwnership (list: HostList, endpoints: readonly OwnedEndpoint[], nowMs: number): void {
    const leaving = new Set(list.leavingEndpoints)
    this._owned = new Map(endpoints.flatMap(endpoint => {
      const ownerRole = this._ownerRoleFor(endpoint, list)
      if (ownerRole === undefined) return []
      const owned = this._keepOrTakeOver(endpoint, ownerRole, nowMs)
      owned.ledger.setLeaving(endpoint.leaving || leaving.has(endpoint.id))
      return [[endpoint.id, owned] as const]
    }))
  }

  /**
   * Reserves capacity of an endpoint, if this host may.
   *
   * @param endpointId - Endpoint to reserve.
   * @param req - Capacity to reserve.
   * @param nowMs - Monotonic time in milliseconds.
   * @returns The reservation or the refusal.
   */
  reserve (endpointId: string, req: ReservationRequest, nowMs: number): ReservationResponse {
    return this._owned.get(endpointId)?.ledger.reserve(req, nowMs) ?? NOT_OWNER
  }

  /**
   * Extends a reservation.
   *
   * @param endpointId - Endpoint of the reservation.
   * @param id - Id of the reservation.
   * @param nowMs - Monotonic time in milliseconds.
   * @returns Whether the reservation is still valid on this host.
   */
  renew (endpointId: string, id: string, nowMs: number): boolean {
    return this._owned.get(endpointId)?.ledger.renew(id, nowMs) ?? false
  }

  /**
   * Releases a reservation; safe to call twice.
   *
   * @param endpointId - Endpoint of the reservation.
   * @param id - Id of the reservation.
   * @param nowMs - Monotonic time in milliseconds.
   */
  release (endpointId: string, id: string, nowMs: number): void {
    this._owned.get(endpointId)?.ledger.release(id, nowMs)
  }

  /**
   * Compares a ledger with the endpoint's own list of running requests.
   *
   * @param endpointId - Endpoint of the report.
   * @param report - List of running requests.
   * @param nowMs - Monotonic time in milliseconds.
   */
  reconcile (endpointId: string, report: LoadReport, nowMs: number): void {
    this._owned.get(endpointId)?.ledger.reconcile(report, nowMs)
  }

  /**
   * Marks reservations that were not renewed as expired.
   *
   * @param nowMs - Monotonic time in milliseconds.
   * @returns Expired reservations; they keep their capacity until their endpoint no longer lists them.
   */
  expire (nowMs: number): readonly ExpiredReservation[] {
    return [...this._owned].flatMap(([endpointId, { ledger }]) =>
      ledger.expire(nowMs).map(reservation => ({ endpointId, reservation })))
  }

  /**
   * @param endpointId - Endpoint to look up.
   * @returns The role of this host, if any.
   */
  ownerRoleOf (endpointId: string): OwnerRole | undefined {
    return this._owned.get(endpointId)?.ownerRole
  }

  /**
   * @param endpointId - Endpoint to look up.
   * @returns Its ledger on this host, if any.
   */
  ledgerOf (endpointId: string): EndpointLedger | undefined {
    return this._owned.get(endpointId)?.ledger
  }

  /**
   * @returns Ids of the endpoints of which this host is the owner or backup owner.
   */
  get endpointIds (): readonly string[] {
    return [...this._owned.keys()]
  }

  private _ownerRoleFor (endpoint: OwnedEndpoint, list: HostList): OwnerRole | undefined {
    const { owner, backupOwner } = endpointOwners(endpoint, list)
    if (owner?.id === this._hostId) return OwnerRole.Owner
    return backupOwner?.id === this._hostId ? OwnerRole.Backup : undefined
  }

  private _keepOrTakeOver (endpoint: OwnedEndpoint, ownerRole: OwnerRole, nowMs: number): OwnedLedger {
    const current = this._owned.get(endpoint.id)
    const capacity = shareOf(endpoint, ownerRole)
    if (current?.ownerRole === ownerRole) {
      current.ledger.resize(capacity)
      return current
    }
    const link = new LinkLedger(endpoint.linkBytesPerSecond * capacity.slots / Math.max(1, endpoint.slots))
    const adoption = ownerRole === OwnerRole.Owner ? AdoptionRule.All : AdoptionRule.BeforeHoldOffEnd
    const ledger = new EndpointLedger(capacity, link, this._counting, adoption)
    ledger.takeOver(nowMs)
    return { ownerRole, ledger }
  }
}

function shareOf (endpoint: OwnedEndpoint, ownerRole: OwnerRole): LedgerCapacity {
  const backupSlots = backupOwnerSlots(endpoint.slots)
  const slots = ownerRole === OwnerRole.Owner ? endpoint.slots - backupSlots : backupSlots
  const backupPieces = Math.floor(endpoint.kvPieces * backupSlots / Math.max(1, endpoint.slots))
  const pieces = ownerRole === OwnerRole.Owner ? endpoint.kvPieces - backupPieces : backupPieces
  return { slots, pieces, role: endpoint.role }
}
