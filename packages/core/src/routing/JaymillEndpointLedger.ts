import type { LoadReport, RunningRequest } from '../ports/JaymillEngineClient.js'
import {
  adoptedReservationId, FreeCapacity, Reservation, reservationId, ReservationRefusal, ReservationRequest, ReservationResponse,
  ReservationState, toAdoptedId
} from './JaymillReservation.js'
import type { LinkLedger } from './JaymillLinkLedger.js'
import { HOLD_OFF_MS, RELEASED_ID_RETENTION_MS, RESERVATION_TTL_MS } from './JaymillRoutingConstants.js'
import type { EndpointRole } from './JaymillSlotAllocator.js'

/** Capacity that one ledger may reserve. */
export interface LedgerCapacity {
  readonly slots: number
  /** KV pieces; 0 when the endpoint has none to reserve. */
  readonly pieces: number
  /** Role of the endpoint; requests that are found on it are recorded under this role. */
  readonly role: EndpointRole
}

/** How running requests count against a reservation that starts later. */
export enum CountingRule {
  /** Every reservation counts until it is released. */
  Exact = 'exact',
  /** Reservations that are expected to end before the start do not count; they may overrun. */
  Expected = 'expected'
}

/** Which requests that are found on the endpoint are adopted as reservations. */
export enum AdoptionRule {
  /** All of them. */
  All = 'all',
  /** Those that began before the end of the hold-off; later ones belong to another ledger. */
  BeforeHoldOffEnd = 'before-hold-off-end'
}

interface HoldOff {
  readonly untilMs: number
  readonly reportSeen: boolean
}

const NO_HOLD_OFF: HoldOff = { untilMs: Number.NEGATIVE_INFINITY, reportSeen: true }

/** Exact record of the reservations on one endpoint, kept by its owner. */
export class EndpointLedger {
  private readonly _reservations = new Map<string, Reservation>()
  private readonly _released = new Map<string, number>()
  private _capacity: LedgerCapacity
  private readonly _link: LinkLedger
  private readonly _counting: CountingRule
  private readonly _adoption: AdoptionRule
  private _leaving = false
  private _holdOff: HoldOff = NO_HOLD_OFF

  /**
   * @param capacity - Slots and pieces that may be reserved.
   * @param link - Share of the pool's KV link.
   * @param counting - How running requests count.
   * @param adoption - Which requests that are found on the endpoint are adopted.
   */
  constructor (
    capacity: LedgerCapacity,
    link: LinkLedger,
    counting: CountingRule = CountingRule.Exact,
    adoption: AdoptionRule = AdoptionRule.All
  ) {
    this._capacity = capacity
    this._link = link
    this._counting = counting
    this._adoption = adoption
  }

  /**
   * Takes over an endpoint for which another owner may have made reservations.
   *
   * @param nowMs - Monotonic time in milliseconds.
   * @param holdOffMs - Time without new reservations, in milliseconds; at least the longest time between a reservation and
   * its use.
   */
  takeOver (nowMs: number, holdOffMs: number = HOLD_OFF_MS): void {
    this._holdOff = { untilMs: nowMs + holdOffMs, reportSeen: false }
  }

  /**
   * Reserves capacity or refuses with a reason. A repeated request gets its first reservation again.
   *
   * @param req - Capacity to reserve.
   * @param nowMs - Monotonic time in milliseconds.
   * @returns The reservation or the refusal, and the free capacity afterwards.
   */
  reserve (req: ReservationRequest, nowMs: number): ReservationResponse {
    const id = reservationId(req)
    const existing = this._reservations.get(id)
    if (existing?.state === ReservationState.Held) return this._response(existing, null)
    const refusal = this._refusalOf(id, req, nowMs)
    if (refusal !== null) return this._response(null, refusal)
    const reservation = this._createReservation(id, req, nowMs)
    this._reservations.set(id, reservation)
    return this._response(reservation, null)
  }

  /**
   * Extends a reservation; one that was adopted or has expired becomes held.
   *
   * @param id - Id of the reservation.
   * @param nowMs - Monotonic time in milliseconds.
   * @returns Whether the reservation is still valid.
   */
  renew (id: string, nowMs: number): boolean {
    const adoptedId = toAdoptedId(id)
    const reservation = this._reservations.get(id) ?? this._reservations.get(adoptedId)
    if (reservation === undefined) return false
    this._reservations.delete(adoptedId)
    this._reservations.set(id, { ...reservation, id, state: ReservationState.Held, expiresAtMs: nowMs + RESERVATION_TTL_MS })
    return true
  }

  /**
   * Releases a reservation; safe to call twice, and before the request for the reservation arrives.
   *
   * @param id - Id of the reservation.
   * @param nowMs - Monotonic time in milliseconds.
   */
  release (id: string, nowMs: number): void {
    this._reservations.delete(id)
    this._reservations.delete(toAdoptedId(id))
    this._link.release(id)
    this._released.set(id, nowMs)
    this._released.set(toAdoptedId(id), nowMs)
  }

  /**
   * Marks reservations that were not renewed as expired. They keep their capacity until the endpoint no longer lists
   * their request.
   *
   * @param nowMs - Monotonic time in milliseconds.
   * @returns Every expired reservation.
   */
  expire (nowMs: number): readonly Reservation[] {
    this._pruneReleased(nowMs)
    const overdue = [...this._reservations.values()]
      .filter(reservation => reservation.state === ReservationState.Held && reservation.expiresAtMs <= nowMs)
    overdue.forEach(reservation => this._reservations.set(reservation.id, { ...reservation, state: ReservationState.Expired }))
    return [...this._reservations.values()].filter(reservation => reservation.state === ReservationState.Expired)
  }

  /**
   * Compares the ledger with the endpoint's own list of running requests: adopts listed requests without a
   * reservation, and releases adopted and expired reservations whose request has ended.
   *
   * @param report - List of running requests.
   * @param nowMs - Monotonic time in milliseconds.
   */
  reconcile (report: LoadReport, nowMs: number): void {
    const takenAtMs = nowMs - report.ageMs
    const running = new Set(report.running.map(req => this._idOf(req)))
    const ended = [...this._reservations.values()].filter(reservation =>
      hasEnded(reservation, takenAtMs) && !running.has(adoptedReservationId(reservation)))
    ended.forEach(reservation => this._reservations.delete(reservation.id))
    const reserved = new Set([...this._reservations.values()].map(adoptedReservationId))
    report.running
      .filter(req => !reserved.has(this._idOf(req)) && !this._released.has(this._idOf(req)))
      .filter(req => this._adoption === AdoptionRule.All || takenAtMs - req.ageMs <= this._holdOff.untilMs)
      .forEach(req => this._adopt(req, nowMs))
    if (takenAtMs >= this._holdOff.untilMs) this._holdOff = { ...this._holdOff, reportSeen: true }
  }

  /**
   * Stops or resumes new reservations; running requests keep theirs.
   *
   * @param leaving - Whether the endpoint is leaving.
   */
  setLeaving (leaving: boolean): void {
    this._leaving = leaving
  }

  /**
   * Changes the capacity that may be reserved; running requests keep their reservations.
   *
   * @param capacity - Slots and pieces of the new configuration.
   */
  resize (capacity: LedgerCapacity): void {
    this._capacity = capacity
  }

  /**
   * @returns Capacity that may still be reserved; negative when the endpoint was found to run more than its capacity.
   */
  get free (): FreeCapacity {
    const reservations = [...this._reservations.values()]
    return {
      slots: this._capacity.slots - reservations.length,
      pieces: this._capacity.pieces - reservations.reduce((sum, reservation) => sum + reservation.pieces, 0)
    }
  }

  /**
   * @returns Every reservation that takes up capacity.
   */
  get reservations (): readonly Reservation[] {
    return [...this._reservations.values()]
  }

  /**
   * @param nowMs - Monotonic time in milliseconds.
   * @returns Whether new reservations are refused until the hold-off has ended and a list taken after it has arrived.
   */
  isHoldingOff (nowMs: number): boolean {
    return nowMs < this._holdOff.untilMs || !this._holdOff.reportSeen
  }

  private _refusalOf (id: string, req: ReservationRequest, nowMs: number): ReservationRefusal | null {
    if (this._leaving) return ReservationRefusal.Leaving
    if (this.isHoldingOff(nowMs)) return ReservationRefusal.HoldOff
    if (this._released.has(id)) return ReservationRefusal.Released
    if (this._reservations.has(id)) return null
    const startMs = nowMs + req.startInMs
    const counted = [...this._reservations.values()].filter(reservation =>
      this._counting === CountingRule.Exact || reservation.endsAtMs > startMs)
    if (counted.length >= this._capacity.slots) return ReservationRefusal.NoSlot
    const pieces = counted.reduce((sum, reservation) => sum + reservation.pieces, 0)
    if (pieces + req.pieces > this._capacity.pieces) return ReservationRefusal.NoPieces
    return this._link.reserve(id, req.transferBytes, startMs, nowMs) ? null : ReservationRefusal.LinkBusy
  }

  private _createReservation (id: string, req: ReservationRequest, nowMs: number): Reservation {
    return {
      id,
      requestId: req.requestId,
      attempt: req.attempt,
      stage: req.stage,
      hostId: req.hostId,
      incarnation: req.incarnation,
      pieces: req.pieces,
      state: ReservationState.Held,
      sinceMs: nowMs,
      endsAtMs: nowMs + req.startInMs + req.expectedMs,
      expiresAtMs: nowMs + RESERVATION_TTL_MS
    }
  }

  private _adopt (req: RunningRequest, nowMs: number): void {
    const { requestId, attempt, hostId, incarnation, pieces } = req
    const { role: stage } = this._capacity
    const never = Number.POSITIVE_INFINITY
    const id = this._idOf(req)
    const state = ReservationState.Adopted
    this._reservations.set(id, {
      id, requestId, attempt, stage, hostId, incarnation, pieces, state, sinceMs: nowMs, endsAtMs: never, expiresAtMs: never
    })
  }

  private _idOf (req: RunningRequest): string {
    return adoptedReservationId({ requestId: req.requestId, attempt: req.attempt, stage: this._capacity.role })
  }

  private _response (grant: Reservation | null, refusal: ReservationRefusal | null): ReservationResponse {
    return { grant, refusal, free: this.free }
  }

  private _pruneReleased (nowMs: number): void {
    [...this._released]
      .filter(([, atMs]) => nowMs - atMs > RELEASED_ID_RETENTION_MS)
      .forEach(([id]) => this._released.delete(id))
  }
}

/**
 * Returns whether a request that a report does not list has ended. A held reservation may not have been used yet, so only
 * an expired one, which its host no longer renews, or an adopted one, which an earlier owner made, can have ended.
 */
function hasEnded (reservation: Reservation, takenAtMs: number): boolean {
  if (reservation.state === ReservationState.Adopted) return reservation.sinceMs < takenAtMs
  return reservation.state === ReservationState.Expired && reservation.expiresAtMs <= takenAtMs
}
