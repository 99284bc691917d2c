import type { EndpointRole } from './JaymillSlotAllocator.js'

/** Capacity that a host requests from the owner of an endpoint. */
export interface ReservationRequest {
  readonly requestId: string
  /** Attempt within the request, from 1. */
  readonly attempt: number
  /** Role in which the endpoint is used. */
  readonly stage: EndpointRole
  /** Host that requests the reservation. */
  readonly hostId: string
  /** Incarnation of the requesting process. */
  readonly incarnation: number
  /** KV pieces; 0 for services and prefill. */
  readonly pieces: number
  /** Bytes that cross the pool's KV link. */
  readonly transferBytes: number
  /** Time until the first use, in milliseconds. */
  readonly startInMs: number
  /** Expected duration of use, in milliseconds. */
  readonly expectedMs: number
  /** Unique for each reservation because callers may choose request ids; a repeated request carries the same nonce. */
  readonly nonce: string
}

/** Lifecycle state of a reservation. */
export enum ReservationState {
  /** Made by this owner and renewed by the host that requested it. */
  Held = 'held',
  /** Found on the endpoint; made by an earlier owner. */
  Adopted = 'adopted',
  /** Not renewed in time; keeps its capacity until the endpoint no longer lists the request. */
  Expired = 'expired'
}

/** Capacity reserved for one request on one endpoint. */
export interface Reservation {
  readonly id: string
  readonly requestId: string
  readonly attempt: number
  readonly stage: EndpointRole
  readonly hostId: string
  readonly incarnation: number
  readonly pieces: number
  readonly state: ReservationState
  /** Monotonic time of the reservation or adoption, in milliseconds. */
  readonly sinceMs: number
  /** Monotonic time at which the use is expected to end, in milliseconds. */
  readonly endsAtMs: number
  /** Monotonic time of expiry without a renewal, in milliseconds. */
  readonly expiresAtMs: number
}

/** Why an owner refuses a reservation. */
export enum ReservationRefusal {
  NotOwner = 'not-owner',
  Leaving = 'leaving',
  HoldOff = 'hold-off',
  NoSlot = 'no-slot',
  NoPieces = 'no-pieces',
  LinkBusy = 'link-busy',
  /** The reservation was already released. */
  Released = 'released'
}

/** Free capacity of an endpoint according to the ledger of its owner. */
export interface FreeCapacity {
  readonly slots: number
  readonly pieces: number
}

/** Response of an owner to a reservation request. */
export interface ReservationResponse {
  /** The reservation, or `null` when refused. */
  readonly grant: Reservation | null
  /** Why it was refused, or `null` when granted. */
  readonly refusal: ReservationRefusal | null
  /** Free capacity after the decision. */
  readonly free: FreeCapacity
}

/**
 * Returns the id of a reservation. A repeated request has the same id, so it gets its first reservation again.
 *
 * @param req - Request id, attempt, role and nonce.
 * @returns The id; unique on one endpoint.
 */
export function reservationId (req: Pick<ReservationRequest, 'requestId' | 'attempt' | 'stage' | 'nonce'>): string {
  return `${adoptedReservationId(req)}/${req.nonce}`
}

/**
 * Returns the id of an adopted reservation: the request was found on an endpoint, and its nonce is unknown.
 *
 * @param req - Request id, attempt and role.
 * @returns The id; unique on one endpoint.
 */
export function adoptedReservationId (req: Pick<ReservationRequest, 'requestId' | 'attempt' | 'stage'>): string {
  return `${req.requestId}/${req.attempt}/${req.stage}`
}

/**
 * Converts the id of a reservation to the id that it has when it is adopted.
 *
 * @param id - Id from `reservationId`.
 * @returns Id from `adoptedReservationId` for the same request.
 */
export function toAdoptedId (id: string): string {
  return id.slice(0, id.lastIndexOf('/'))
}
