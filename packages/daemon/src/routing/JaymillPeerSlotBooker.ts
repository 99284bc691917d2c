import {
  ReservationHandle, CapacityRequest, ReservationTargets, CostChooser, EndpointChooser, EndpointCandidate, EndpointState, ErrorKind, fleetIndex,
  ReservationResponse, ReservationTarget, reservationId, GrantQuestion, ReservationRefusal, ReservationRequest, RESERVATION_USE_BY_MS, PoolConfig, RequestError,
  UnreachableOwners, SlotAllocator, SlotOwnership
} from '@jaymill/core'
import type { GrantKeeper } from './JaymillGrantKeeper.js'
import type { RoutingParts } from './JaymillRoutingParts.js'
import type { SlotOwner } from './JaymillSlotOwner.js'

const MAX_ASKS = 4
const RETRY_AFTER_MS = 250
const FULL: readonly (ReservationRefusal | null)[] = [ReservationRefusal.NoSlot, ReservationRefusal.NoPieces]

/** Books at the owner of each endpoint, in the order of expected cost. */
export class PeerSlotBooker extends SlotAllocator {
  private readonly _parts: RoutingParts
  private readonly _owner: SlotOwner
  private readonly _keeper: GrantKeeper
  private readonly _ownership: () => SlotOwnership
  private readonly _chooser: EndpointChooser = new CostChooser()
  private readonly _silent = new UnreachableOwners()
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

  /** {@inheritDoc @jaymill/core#SlotAllocator.reserve} */
  async reserve (req: CapacityRequest, signal: AbortSignal): Promise<ReservationHandle> {
    const ownership = this._ownership()
    const walk = new ReservationTargets(this._order(req).slice(0, MAX_ASKS), id => ownership.of(id), this._silent)
    const booking = await this._walk(walk, this._grantRequest(req), signal)
    if (booking !== undefined) return booking
    throw new RequestError(ErrorKind.Overloaded, `pool ${req.poolId} has no free capacity`, { retryAfterMs: RETRY_AFTER_MS })
  }

  /** {@inheritDoc @jaymill/core#SlotAllocator.release} */
  release (booking: ReservationHandle): void {
    this._keeper.release(booking.id)
  }

  private async _walk (walk: ReservationTargets, req: ReservationRequest, signal: AbortSignal): Promise<ReservationHandle | undefined> {
    const ask = walk.next(this._parts.clock.nowMs())
    if (ask === null) return undefined
    const answer = await this._ask(ask, req, signal)
    if (answer === undefined) walk.recordTimeout(ask, this._parts.clock.nowMs())
    else this._noteAnswer(walk, ask, answer)
    if (!answer?.grant) return await this._walk(walk, req, signal)
    const mark = { endpointId: ask.endpointId, grantId: answer.grant.id }
    return { id: this._keeper.hold(mark, ask.hostId), endpointId: ask.endpointId, ownerId: ask.hostId, ttlMs: RESERVATION_USE_BY_MS }
  }

  private async _ask (ask: ReservationTarget, request: ReservationRequest, signal: AbortSignal): Promise<ReservationResponse | undefined> {
    signal.throwIfAborted()
    const question: GrantQuestion = { endpointId: ask.endpointId, request }
    if (ask.hostId === this._parts.identity.id) return await this._owner.grant(question)
    const limited = AbortSignal.any([signal, AbortSignal.timeout(this._parts.ownerWaitMs)])
    try {
      const answer = await this._parts.peers.client(ask.hostId).grant(question, limited)
      signal.throwIfAborted()
      return answer
    } catch {
      this._keeper.releaseAt(ask.hostId, { endpointId: ask.endpointId, grantId: reservationId(request) })
      signal.throwIfAborted()
      return undefined
    }
  }

  private _grantRequest (req: CapacityRequest): ReservationRequest {
    const { requestId, attempt, role: stage, pieces, transferBytes, startInMs, expectedMs } = req
    const { id: hostId, incarnation } = this._parts.identity
    const nonce = `${hostId}.${incarnation}.${++this._sequence}`
    return { requestId, attempt, stage, hostId, incarnation, pieces, transferBytes, startInMs, expectedMs, nonce }
  }

  private _noteAnswer (walk: ReservationTargets, ask: ReservationTarget, answer: ReservationResponse): void {
    walk.recordResponse(ask, answer)
    const { slots } = fleetIndex(this._parts.fleet()).endpoint(ask.endpointId)
    if (FULL.includes(answer.refusal)) this._usedSlots.set(ask.endpointId, slots)
    if (answer.grant !== null) this._usedSlots.set(ask.endpointId, slots - answer.free.slots)
  }

  private _order (req: CapacityRequest): readonly string[] {
    const facts = this._open(fleetIndex(this._parts.fleet()).pool(req.poolId), req)
    if (facts.length === 0) throw new RequestError(ErrorKind.NoEndpoint, `pool ${req.poolId} has no endpoint to use`)
    return this._chooser.order(facts, { zone: this._parts.identity.zone, expectedMs: req.expectedMs }, this._parts.random)
  }

  private _open (pool: PoolConfig, req: CapacityRequest): readonly EndpointCandidate[] {
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
