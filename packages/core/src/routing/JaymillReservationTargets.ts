import { ReservationResponse } from './JaymillReservation.js'
import { OWNER_UNREACHABLE_MS } from './JaymillRoutingConstants.js'
import type { EndpointOwners } from './JaymillSlotOwnership.js'

/** Endpoint to reserve, and its owner or backup owner to send the request to. */
export interface ReservationTarget {
  readonly endpointId: string
  readonly hostId: string
}

/** Owners that recently did not respond in time. */
export class UnreachableOwners {
  private readonly _untilMs = new Map<string, number>()

  /**
   * Marks a host as unreachable for `OWNER_UNREACHABLE_MS`.
   *
   * @param hostId - Host that did not respond.
   * @param nowMs - Monotonic time in milliseconds.
   */
  add (hostId: string, nowMs: number): void {
    this._untilMs.set(hostId, nowMs + OWNER_UNREACHABLE_MS)
  }

  /**
   * Marks a host as reachable again.
   *
   * @param hostId - Host that responded.
   */
  clear (hostId: string): void {
    this._untilMs.delete(hostId)
  }

  /**
   * Checks whether a host is marked as unreachable.
   *
   * @param hostId - Host to look up.
   * @param nowMs - Monotonic time in milliseconds.
   * @returns Whether the host should not be sent requests now.
   */
  has (hostId: string, nowMs: number): boolean {
    return (this._untilMs.get(hostId) ?? Number.NEGATIVE_INFINITY) > nowMs
  }
}

/** Iterates over the owners of endpoints, in order of preference, until one grants a reservation. */
export class ReservationTargets {
  private readonly _ownersOf: (endpointId: string) => EndpointOwners
  private readonly _unreachable: UnreachableOwners
  private _remaining: readonly string[]

  /**
   * @param order - Endpoint ids, most preferred first.
   * @param ownersOf - Returns the owner and backup owner of an endpoint.
   * @param unreachable - Shared by all iterations of this host.
   */
  constructor (order: readonly string[], ownersOf: (endpointId: string) => EndpointOwners, unreachable: UnreachableOwners) {
    this._remaining = order
    this._ownersOf = ownersOf
    this._unreachable = unreachable
  }

  /**
   * Returns the target of the next request.
   *
   * @param nowMs - Monotonic time in milliseconds.
   * @returns The target, or `null` when every endpoint refused or has no reachable owner.
   */
  next (nowMs: number): ReservationTarget | null {
    const [endpointId, ...rest] = this._remaining
    if (endpointId === undefined) return null
    const { owner, backupOwner } = this._ownersOf(endpointId)
    const host = [owner, backupOwner].find(candidate => candidate !== undefined && !this._unreachable.has(candidate.id, nowMs))
    if (host !== undefined) return { endpointId, hostId: host.id }
    this._remaining = rest
    return this.next(nowMs)
  }

  /**
   * Records a response. After a refusal, the next endpoint follows.
   *
   * @param target - Target that responded.
   * @param response - Its response.
   */
  recordResponse (target: ReservationTarget, response: ReservationResponse): void {
    this._unreachable.clear(target.hostId)
    if (response.grant === null) this._remaining = this._remaining.filter(id => id !== target.endpointId)
  }

  /**
   * Records that no response came within `OWNER_TIMEOUT_MS`. The backup owner of the same endpoint follows.
   *
   * @param target - Target that did not respond.
   * @param nowMs - Monotonic time in milliseconds.
   */
  recordTimeout (target: ReservationTarget, nowMs: number): void {
    this._unreachable.add(target.hostId, nowMs)
  }
}
