import {
  CapacityRequest, CostChooser, EndpointCandidate, EndpointChooser, EndpointReservationRequest, EndpointState, ErrorKind,
  fleetIndex, PoolConfig, RequestError, RESERVATION_USE_BY_MS, ReservationHandle, reservationId, ReservationRefusal,
  ReservationRequest, ReservationResponse, ReservationTarget, ReservationTargets, SlotAllocator, SlotOwnership,
  UnreachableOwners
} from '@jaymill/core'
import type { ReservationManager } from './JaymillReservationManager.js'
import type { RoutingContext } from './JaymillRoutingContext.js'
import type { SlotOwner } from './JaymillSlotOwner.js'

const MAX_ENDPOINTS_TRIED = 4
const RETRY_AFTER_MS = 250
const FULL_REFUSALS: readonly (ReservationRefusal | null)[] = [ReservationRefusal.NoSlot, ReservationRefusal.NoPieces]

/** Requests reservations from the owners of endpoints, in the order of their expected cost. */
export class PeerSlotAllocator extends SlotAllocator {
  private readonly _ctx: RoutingContext
  private readonly _owner: SlotOwner
  private readonly _reservations: ReservationManager
  private readonly _ownership: () => SlotOwnership
  private readonly _chooser: EndpointChooser = new CostChooser()
  private readonly _unreachable = new UnreachableOwners()
  private readonly _usedSlots = new Map<string, number>()
  private _sequence = 0

  /**
   * @param ctx - Components of the host that routing uses.
   * @param owner - Ledgers of this host.
   * @param reservations - Renews and releases granted reservations.
   * @param ownership - Owners under the active host list.
   */
  constructor (ctx: RoutingContext, owner: SlotOwner, reservations: ReservationManager, ownership: () => SlotOwnership) {
    super()
    this._ctx = ctx
    this._owner = owner
    this._reservations = reservations
    this._ownership = ownership
  }

  /** {@inheritDoc @jaymill/core#SlotAllocator.reserve} */
  async reserve (req: CapacityRequest, signal: AbortSignal): Promise<ReservationHandle> {
    const ownership = this._ownership()
    const targets = new ReservationTargets(
      this._rankEndpoints(req).slice(0, MAX_ENDPOINTS_TRIED), id => ownership.of(id), this._unreachable
    )
    const reservation = await this._reserveNext(targets, this._reservationRequest(req), signal)
    if (reservation !== undefined) return reservation
    throw new RequestError(ErrorKind.Overloaded, `pool ${req.poolId} has no free capacity`, { retryAfterMs: RETRY_AFTER_MS })
  }

  /** {@inheritDoc @jaymill/core#SlotAllocator.release} */
  release (reservation: ReservationHandle): void {
    this._reservations.release(reservation.id)
  }

  private async _reserveNext (
    targets: ReservationTargets, req: ReservationRequest, signal: AbortSignal
  ): Promise<ReservationHandle | undefined> {
    const target = targets.next(this._ctx.clock.nowMs())
    if (target === null) return undefined
    const response = await this._requestFrom(target, req, signal)
    if (response === undefined) targets.recordTimeout(target, this._ctx.clock.nowMs())
    else this._recordResponse(targets, target, response)
    if (!response?.grant) return await this._reserveNext(targets, req, signal)
    const ref = { endpointId: target.endpointId, grantId: response.grant.id }
    return {
      id: this._reservations.track(ref, target.hostId),
      endpointId: target.endpointId,
      ownerId: target.hostId,
      ttlMs: RESERVATION_USE_BY_MS
    }
  }

  private async _requestFrom (
    target: ReservationTarget, request: ReservationRequest, signal: AbortSignal
  ): Promise<ReservationResponse | undefined> {
    signal.throwIfAborted()
    const endpointRequest: EndpointReservationRequest = { endpointId: target.endpointId, request }
    if (target.hostId === this._ctx.identity.id) return await this._owner.grant(endpointRequest)
    const timeoutSignal = AbortSignal.any([signal, AbortSignal.timeout(this._ctx.ownerTimeoutMs)])
    try {
      const response = await this._ctx.peers.client(target.hostId).reserve(endpointRequest, timeoutSignal)
      signal.throwIfAborted()
      return response
    } catch {
      this._reservations.releaseAt(target.hostId, { endpointId: target.endpointId, grantId: reservationId(request) })
      signal.throwIfAborted()
      return undefined
    }
  }

  private _reservationRequest (req: CapacityRequest): ReservationRequest {
    const { requestId, attempt, role: stage, pieces, transferBytes, startInMs, expectedMs } = req
    const { id: hostId, incarnation } = this._ctx.identity
    const nonce = `${hostId}.${incarnation}.${++this._sequence}`
    return { requestId, attempt, stage, hostId, incarnation, pieces, transferBytes, startInMs, expectedMs, nonce }
  }

  private _recordResponse (targets: ReservationTargets, target: ReservationTarget, response: ReservationResponse): void {
    targets.recordResponse(target, response)
    const { slots } = fleetIndex(this._ctx.fleet()).endpoint(target.endpointId)
    if (FULL_REFUSALS.includes(response.refusal)) this._usedSlots.set(target.endpointId, slots)
    if (response.grant !== null) this._usedSlots.set(target.endpointId, slots - response.free.slots)
  }

  private _rankEndpoints (req: CapacityRequest): readonly string[] {
    const candidates = this._candidates(fleetIndex(this._ctx.fleet()).pool(req.poolId), req)
    if (candidates.length === 0) throw new RequestError(ErrorKind.NoEndpoint, `pool ${req.poolId} has no usable endpoint`)
    return this._chooser.order(candidates, { zone: this._ctx.identity.zone, expectedMs: req.expectedMs }, this._ctx.random)
  }

  private _candidates (pool: PoolConfig, req: CapacityRequest): readonly EndpointCandidate[] {
    const leaving = this._ctx.hosts().leavingEndpoints
    return pool.endpoints
      .filter(({ id, state }) => state === EndpointState.Active && !leaving.includes(id) && !req.exclude.includes(id))
      .map(({ id, zone, slots }) => ({
        endpointId: id,
        zone,
        slots,
        usedSlots: this._usedSlots.get(id) ?? 0,
        weight: this._ctx.weightOf(pool.id, id),
        savedMs: req.prefer.includes(id) ? req.expectedMs : 0
      }))
  }
}
