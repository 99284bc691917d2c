import type { LoadReport, RunningRequest } from '../ports/JaymillEngineClient.js'
import {
  adoptedGrantId, FreeCapacity, Grant, GrantAnswer, grantId, GrantRefusal, GrantRequest, GrantState, toAdoptedId
} from './JaymillGrant.js'
import type { LinkLedger } from './JaymillLinkLedger.js'
import { GRANT_TTL_MS, HOLD_OFF_MS, RELEASE_MEMORY_MS } from './JaymillRoutingConstants.js'
import type { BookingStage } from './JaymillSlotBooker.js'

/** What one ledger may grant. */
export interface LedgerCapacity {
  readonly slots: number
  /** KV pieces; 0 when the endpoint has none to be booked. */
  readonly pieces: number
  /** Use of the endpoint; requests found on it are booked under this stage. */
  readonly stage: BookingStage
}

/** How running requests count against a grant that starts later. */
export enum CountingRule {
  /** Every grant counts until it is released. */
  Exact = 'exact',
  /** Grants that are expected to end before the start do not count; they may overrun. */
  Expected = 'expected'
}

/** Which requests found on the endpoint are booked. */
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

/** Exact book of the grants on one endpoint, kept by its owner. */
export class EndpointLedger {
  private readonly _grants = new Map<string, Grant>()
  private readonly _released = new Map<string, number>()
  private _capacity: LedgerCapacity
  private readonly _link: LinkLedger
  private readonly _counting: CountingRule
  private readonly _adoption: AdoptionRule
  private _leaving = false
  private _holdOff: HoldOff = NO_HOLD_OFF

  /**
   * @param capacity - Slots and pieces that may be granted.
   * @param link - Share of the pool's KV link.
   * @param counting - How running requests count.
   * @param adoption - Which requests found on the endpoint are booked.
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
   * Starts to grant for an endpoint that another owner may have granted before.
   *
   * @param nowMs - Monotonic time in milliseconds.
   * @param holdOffMs - Time without grants; at least the longest time between a grant and its use.
   */
  takeOver (nowMs: number, holdOffMs: number = HOLD_OFF_MS): void {
    this._holdOff = { untilMs: nowMs + holdOffMs, reportSeen: false }
  }

  /**
   * Grants capacity, or says why not. The same attempt meets its first grant.
   *
   * @param req - What is needed.
   * @param nowMs - Monotonic time in milliseconds.
   * @returns The grant or the refusal, and what is free afterwards.
   */
  grant (req: GrantRequest, nowMs: number): GrantAnswer {
    const id = grantId(req)
    const known = this._grants.get(id)
    if (known?.state === GrantState.Held) return this._answer(known, null)
    const refusal = this._refusalOf(id, req, nowMs)
    if (refusal !== null) return this._answer(null, refusal)
    const grant = this._newGrant(id, req, nowMs)
    this._grants.set(id, grant)
    return this._answer(grant, null)
  }

  /**
   * Extends a grant; one that was adopted or has expired becomes a held one.
   *
   * @param id - Id of the grant.
   * @param nowMs - Monotonic time in milliseconds.
   * @returns Whether the grant is still in force.
   */
  renew (id: string, nowMs: number): boolean {
    const adoptedId = toAdoptedId(id)
    const grant = this._grants.get(id) ?? this._grants.get(adoptedId)
    if (grant === undefined) return false
    this._grants.delete(adoptedId)
    this._grants.set(id, { ...grant, id, state: GrantState.Held, expiresAtMs: nowMs + GRANT_TTL_MS })
    return true
  }

  /**
   * Frees a grant; safe to call twice, and before the request for the grant arrives.
   *
   * @param id - Id of the grant.
   * @param nowMs - Monotonic time in milliseconds.
   */
  release (id: string, nowMs: number): void {
    this._grants.delete(id)
    this._grants.delete(toAdoptedId(id))
    this._link.release(id)
    this._released.set(id, nowMs)
    this._released.set(toAdoptedId(id), nowMs)
  }

  /**
   * Marks grants that were not renewed. They hold capacity until the endpoint no longer lists their request.
   *
   * @param nowMs - Monotonic time in milliseconds.
   * @returns Every grant in this state.
   */
  expire (nowMs: number): readonly Grant[] {
    this._forgetReleased(nowMs)
    const late = [...this._grants.values()]
      .filter(grant => grant.state === GrantState.Held && grant.expiresAtMs <= nowMs)
    late.forEach(grant => this._grants.set(grant.id, { ...grant, state: GrantState.Expired }))
    return [...this._grants.values()].filter(grant => grant.state === GrantState.Expired)
  }

  /**
   * Compares the book with the endpoint's own list: books what was found, frees adopted and
   * expired grants whose request has ended.
   *
   * @param report - List of running requests.
   * @param nowMs - Monotonic time in milliseconds.
   */
  reconcile (report: LoadReport, nowMs: number): void {
    const takenAtMs = nowMs - report.ageMs
    const running = new Set(report.running.map(req => this._idOf(req)))
    const ended = [...this._grants.values()].filter(grant => hasEnded(grant, takenAtMs) && !running.has(adoptedGrantId(grant)))
    ended.forEach(grant => this._grants.delete(grant.id))
    const booked = new Set([...this._grants.values()].map(adoptedGrantId))
    report.running
      .filter(req => !booked.has(this._idOf(req)) && !this._released.has(this._idOf(req)))
      .filter(req => this._adoption === AdoptionRule.All || takenAtMs - req.ageMs <= this._holdOff.untilMs)
      .forEach(req => this._adopt(req, nowMs))
    if (takenAtMs >= this._holdOff.untilMs) this._holdOff = { ...this._holdOff, reportSeen: true }
  }

  /**
   * Stops or resumes grants; running requests keep theirs.
   *
   * @param leaving - Whether the endpoint is leaving.
   */
  setLeaving (leaving: boolean): void {
    this._leaving = leaving
  }

  /**
   * Changes what may be granted; running requests keep their grants.
   *
   * @param capacity - Slots and pieces of the new configuration.
   */
  resize (capacity: LedgerCapacity): void {
    this._capacity = capacity
  }

  /**
   * @returns What may still be granted; negative when the endpoint was found to run more than its capacity.
   */
  get free (): FreeCapacity {
    const grants = [...this._grants.values()]
    return {
      slots: this._capacity.slots - grants.length,
      pieces: this._capacity.pieces - grants.reduce((sum, grant) => sum + grant.pieces, 0)
    }
  }

  /**
   * @returns Every grant that holds capacity.
   */
  get grants (): readonly Grant[] {
    return [...this._grants.values()]
  }

  /**
   * @param nowMs - Monotonic time in milliseconds.
   * @returns Whether grants wait for the hold-off or for a list taken after it.
   */
  isHoldingOff (nowMs: number): boolean {
    return nowMs < this._holdOff.untilMs || !this._holdOff.reportSeen
  }

  private _refusalOf (id: string, req: GrantRequest, nowMs: number): GrantRefusal | null {
    if (this._leaving) return GrantRefusal.Leaving
    if (this.isHoldingOff(nowMs)) return GrantRefusal.HoldOff
    if (this._released.has(id)) return GrantRefusal.Released
    if (this._grants.has(id)) return null
    const startMs = nowMs + req.startInMs
    const counted = [...this._grants.values()].filter(grant =>
      this._counting === CountingRule.Exact || grant.endsAtMs > startMs)
    if (counted.length >= this._capacity.slots) return GrantRefusal.NoSlot
    const pieces = counted.reduce((sum, grant) => sum + grant.pieces, 0)
    if (pieces + req.pieces > this._capacity.pieces) return GrantRefusal.NoPieces
    return this._link.book(id, req.transferBytes, startMs, nowMs) ? null : GrantRefusal.LinkBusy
  }

  private _newGrant (id: string, req: GrantRequest, nowMs: number): Grant {
    return {
      id,
      requestId: req.requestId,
      attempt: req.attempt,
      stage: req.stage,
      hostId: req.hostId,
      incarnation: req.incarnation,
      pieces: req.pieces,
      state: GrantState.Held,
      sinceMs: nowMs,
      endsAtMs: nowMs + req.startInMs + req.expectedMs,
      expiresAtMs: nowMs + GRANT_TTL_MS
    }
  }

  private _adopt (req: RunningRequest, nowMs: number): void {
    const { requestId, attempt, hostId, incarnation, pieces } = req
    const { stage } = this._capacity
    const never = Number.POSITIVE_INFINITY
    const id = this._idOf(req)
    const state = GrantState.Adopted
    this._grants.set(id, {
      id, requestId, attempt, stage, hostId, incarnation, pieces, state, sinceMs: nowMs, endsAtMs: never, expiresAtMs: never
    })
  }

  private _idOf (req: RunningRequest): string {
    return adoptedGrantId({ requestId: req.requestId, attempt: req.attempt, stage: this._capacity.stage })
  }

  private _answer (grant: Grant | null, refusal: GrantRefusal | null): GrantAnswer {
    return { grant, refusal, free: this.free }
  }

  private _forgetReleased (nowMs: number): void {
    [...this._released]
      .filter(([, atMs]) => nowMs - atMs > RELEASE_MEMORY_MS)
      .forEach(([id]) => this._released.delete(id))
  }
}

/** Whether a request that a report does not list is over: its holder no longer renews, or an earlier owner granted it. */
function hasEnded (grant: Grant, takenAtMs: number): boolean {
  if (grant.state === GrantState.Adopted) return grant.sinceMs < takenAtMs
  return grant.state === GrantState.Expired && grant.expiresAtMs <= takenAtMs
}
