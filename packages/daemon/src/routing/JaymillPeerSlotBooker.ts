import {
  Booking, BookingRequest, BookingWalk, CostChooser, EndpointChooser, EndpointFacts, EndpointState, ErrorKind, fleetIndex,
  GrantAnswer, GrantAsk, grantId, GrantQuestion, GrantRefusal, GrantRequest, GRANT_USE_BY_MS, PoolConfig, RequestError,
  SilentOwners, SlotBooker, SlotOwnership
} from '@jaymill/core'
import type { GrantKeeper } from './JaymillGrantKeeper.js'
import type { RoutingParts } from './JaymillRoutingParts.js'
import type { SlotOwner } from './JaymillSlotOwner.js'

const MAX_ASKS = 4
const RETRY_AFTER_MS = 250
const FULL: readonly (GrantRefusal | null)[] = [GrantRefusal.NoSlot, GrantRefusal.NoPieces]

/** Books at the owner of each endpoint, in the order of expected cost. */
export class PeerSlotBooker extends SlotBooker {
  private readonly _parts: RoutingParts
  private readonly _owner: SlotOwner
  private readonly _keeper: GrantKeeper
  private readonly _ownership: () => SlotOwnership
  private readonly _chooser: EndpointChooser = new CostChooser()
  private readonly _silent = new SilentOwners()
  private readonly _usedSlots = new Map<string, number>()
  private _sequence = 0

  /**
   * @param parts - Parts of the host.
   * @param owner - Own books.
   * @param keeper - Renews and releases what was granted.
   * @param ownership - Owners under the host list in force.
   */
  constructor (parts: RoutingParts, owner: SlotOwner, keeper: GrantKeeper, ownership: () => SlotOwnership) {
    super()
    this._parts = parts
    this._owner = owner
    this._keeper = keeper
    this._ownership = ownership
  }

  /** {@inheritDoc @jaymill/core#SlotBooker.book} */
  async book (req: BookingRequest, signal: AbortSignal): Promise<Booking> {
    const ownership = this._ownership()
    const walk = new BookingWalk(this._order(req).slice(0, MAX_ASKS), id => ownership.of(id), this._silent)
    const booking = await this._walk(walk, this._grantRequest(req), signal)
    if (booking !== undefined) return booking
    throw new RequestError(ErrorKind.Overloaded, `pool ${req.poolId} has no free capacity`, { retryAfterMs: RETRY_AFTER_MS })
  }

  /** {@inheritDoc @jaymill/core#SlotBooker.release} */
  release (booking: Booking): void {
    this._keeper.release(booking.id)
  }

  private async _walk (walk: BookingWalk, req: GrantRequest, signal: AbortSignal): Promise<Booking | undefined> {
    const ask = walk.next(this._parts.clock.nowMs())
    if (ask === null) return undefined
    const answer = await this._ask(ask, req, signal)
    if (answer === undefined) walk.unanswered(ask, this._parts.clock.nowMs())
    else this._noteAnswer(walk, ask, answer)
    if (!answer?.grant) return await this._walk(walk, req, signal)
    const mark = { endpointId: ask.endpointId, grantId: answer.grant.id }
    return { id: this._keeper.hold(mark, ask.hostId), endpointId: ask.endpointId, ownerId: ask.hostId, ttlMs: GRANT_USE_BY_MS }
  }

  private async _ask (ask: GrantAsk, request: GrantRequest, signal: AbortSignal): Promise<GrantAnswer | undefined> {
    signal.throwIfAborted()
    const question: GrantQuestion = { endpointId: ask.endpointId, request }
    if (ask.hostId === this._parts.identity.id) return await this._owner.grant(question)
    const limited = AbortSignal.any([signal, AbortSignal.timeout(this._parts.ownerWaitMs)])
    try {
      const answer = await this._parts.peers.client(ask.hostId).grant(question, limited)
      signal.throwIfAborted()
      return answer
    } catch {
      this._keeper.releaseAt(ask.hostId, { endpointId: ask.endpointId, grantId: grantId(request) })
      signal.throwIfAborted()
      return undefined
    }
  }

  private _grantRequest (req: BookingRequest): GrantRequest {
    const { requestId, attempt, stage, pieces, transferBytes, startInMs, expectedMs } = req
    const { id: hostId, incarnation } = this._parts.identity
    const nonce = `${hostId}.${incarnation}.${++this._sequence}`
    return { requestId, attempt, stage, hostId, incarnation, pieces, transferBytes, startInMs, expectedMs, nonce }
  }

  private _noteAnswer (walk: BookingWalk, ask: GrantAsk, answer: GrantAnswer): void {
    walk.answered(ask, answer)
    const { slots } = fleetIndex(this._parts.fleet()).endpoint(ask.endpointId)
    if (FULL.includes(answer.refusal)) this._usedSlots.set(ask.endpointId, slots)
    if (answer.grant !== null) this._usedSlots.set(ask.endpointId, slots - answer.free.slots)
  }

  private _order (req: BookingRequest): readonly string[] {
    const facts = this._open(fleetIndex(this._parts.fleet()).pool(req.poolId), req)
    if (facts.length === 0) throw new RequestError(ErrorKind.NoEndpoint, `pool ${req.poolId} has no endpoint to use`)
    return this._chooser.order(facts, { zone: this._parts.identity.zone, expectedMs: req.expectedMs }, this._parts.random)
  }

  private _open (pool: PoolConfig, req: BookingRequest): readonly EndpointFacts[] {
    const leaving = this._parts.hosts().leavingEndpoints
    return pool.endpoints
      .filter(({ id, state }) => state === EndpointState.Active && !leaving.includes(id) && !req.exclude.includes(id))
      .map(({ id, zone, slots }) => ({
        endpointId: id,
        zone,
        slots,
        usedSlots: this._usedSlots.get(id) ?? 0,
        weight: this._parts.weightOf(pool.id, id),
        savedMs: req.prefer.includes(id) ? req.expectedMs : 0
      }))
  }
}
