import { RESERVATION_RENEW_MS, ReservationBatch, ReservationRef, SlotOwnership } from '@jaymill/core'
import type { RoutingContext } from './JaymillRoutingContext.js'
import { MESSAGE_TIMEOUT_MS } from './JaymillRoutingTimes.js'
import type { SlotOwner } from './JaymillSlotOwner.js'

const MAX_RESERVATIONS_PER_MESSAGE = 256

interface TrackedReservation extends ReservationRef {
  readonly grantedBy: string
}

/** Renews and releases the reservations that requests on this host use. */
export class ReservationManager {
  private readonly _ctx: RoutingContext
  private readonly _owner: SlotOwner
  private readonly _ownership: () => SlotOwnership
  private readonly _tracked = new Map<string, TrackedReservation>()
  private _renewedAtMs = 0

  /**
   * @param ctx - Components of the host that routing uses.
   * @param owner - Ledgers of this host.
   * @param ownership - Owners under the active host list.
   */
  constructor (ctx: RoutingContext, owner: SlotOwner, ownership: () => SlotOwnership) {
    this._ctx = ctx
    this._owner = owner
    this._ownership = ownership
  }

  /**
   * Renews a reservation until it is released.
   *
   * @param ref - Reservation to renew.
   * @param grantedBy - Host that granted it.
   * @returns Id to pass to `release`.
   */
  track (ref: ReservationRef, grantedBy: string): string {
    const id = `${ref.endpointId}/${ref.grantId}`
    this._tracked.set(id, { ...ref, grantedBy })
    return id
  }

  /**
   * Releases a reservation; safe to call twice.
   *
   * @param id - Id from `track`.
   */
  release (id: string): void {
    const reservation = this._tracked.get(id)
    if (reservation === undefined) return
    this._tracked.delete(id)
    this._ownersOf(reservation).forEach(hostId => this.releaseAt(hostId, reservation))
  }

  /**
   * Releases a reservation that may have been granted without a response reaching this host.
   *
   * @param hostId - Host that received the request.
   * @param ref - Reservation that it may have granted or may still grant.
   */
  releaseAt (hostId: string, { endpointId, grantId }: ReservationRef): void {
    const batch = this._batch([{ endpointId, grantId }])
    this._send(
      hostId, () => this._owner.release(batch), signal => this._ctx.peers.client(hostId).releaseReservations(batch, signal)
    )
  }

  /** Renews every tracked reservation once per `RESERVATION_RENEW_MS`. */
  tick (): void {
    const nowMs = this._ctx.clock.nowMs()
    if (nowMs - this._renewedAtMs < RESERVATION_RENEW_MS) return
    this._renewedAtMs = nowMs
    this._trackedByHost().forEach((reservations, hostId) => this._renewAt(hostId, reservations))
  }

  private _renewAt (hostId: string, reservations: readonly TrackedReservation[]): void {
    const batch = this._batch(
      reservations.slice(0, MAX_RESERVATIONS_PER_MESSAGE).map(({ endpointId, grantId }) => ({ endpointId, grantId }))
    )
    this._send(
      hostId, () => this._owner.renew(batch), signal => this._ctx.peers.client(hostId).renewReservations(batch, signal)
    )
    if (reservations.length > MAX_RESERVATIONS_PER_MESSAGE) this._renewAt(hostId, reservations.slice(MAX_RESERVATIONS_PER_MESSAGE))
  }

  private _trackedByHost (): ReadonlyMap<string, readonly TrackedReservation[]> {
    const pairs = [...this._tracked.values()].flatMap(
      reservation => this._ownersOf(reservation).map(hostId => ({ hostId, reservation }))
    )
    return pairs.reduce((groups, { hostId, reservation }) =>
      groups.set(hostId, [...groups.get(hostId) ?? [], reservation]), new Map<string, readonly TrackedReservation[]>())
  }

  /** Returns the host that granted a reservation, and the current owner if the ownership has changed since. */
  private _ownersOf ({ endpointId, grantedBy }: TrackedReservation): readonly string[] {
    const { owner, backupOwner } = this._ownership().of(endpointId)
    const unchanged = grantedBy === owner?.id || grantedBy === backupOwner?.id || owner === undefined
    return unchanged ? [grantedBy] : [grantedBy, owner.id]
  }

  private _batch (grants: readonly ReservationRef[]): ReservationBatch {
    return { from: this._ctx.identity.id, incarnation: this._ctx.identity.incarnation, grants }
  }

  private _send (hostId: string, local: () => Promise<void>, remote: (signal: AbortSignal) => Promise<void>): void {
    if (hostId === this._ctx.identity.id) {
      local().catch(err => this._ctx.log.error('local reservation update failed', { err }))
      return
    }
    const send = async (): Promise<void> => await remote(AbortSignal.timeout(MESSAGE_TIMEOUT_MS))
    send().catch(err => this._ctx.log.debug('reservation update was not delivered', { hostId, err }))
  }
}
