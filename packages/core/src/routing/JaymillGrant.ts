import type { BookingStage } from './JaymillSlotBooker.js'

/** What a host asks the owner of an endpoint for. */
export interface GrantRequest {
  readonly requestId: string
  /** Attempt within the request, from 1. */
  readonly attempt: number
  readonly stage: BookingStage
  readonly hostId: string
  readonly incarnation: number
  readonly pieces: number
  /** Bytes that cross the pool's KV link. */
  readonly transferBytes: number
  /** Time until the first use, in milliseconds. */
  readonly startInMs: number
  /** Expected use, in milliseconds. */
  readonly expectedMs: number
  /** Unique for each booking, as callers may choose request ids; a repeated question carries it again. */
  readonly nonce: string
}

/** Where a grant stands in its life. */
export enum GrantState {
  /** Granted by this owner and renewed by the holder. */
  Held = 'held',
  /** Found on the endpoint; granted by an earlier owner. */
  Adopted = 'adopted',
  /** Not renewed in time; holds capacity until the endpoint no longer lists the request. */
  Expired = 'expired'
}

/** Capacity set aside for one request on one endpoint. */
export interface Grant {
  readonly id: string
  readonly requestId: string
  readonly attempt: number
  readonly stage: BookingStage
  readonly hostId: string
  readonly incarnation: number
  readonly pieces: number
  readonly state: GrantState
  /** Monotonic time of the grant or adoption, in milliseconds. */
  readonly sinceMs: number
  /** Monotonic time at which the use is expected to end, in milliseconds. */
  readonly endsAtMs: number
  /** Monotonic time of expiry without a renewal, in milliseconds. */
  readonly expiresAtMs: number
}

/** Why an owner grants nothing. */
export enum GrantRefusal {
  NotOwner = 'not-owner',
  Leaving = 'leaving',
  HoldOff = 'hold-off',
  NoSlot = 'no-slot',
  NoPieces = 'no-pieces',
  LinkBusy = 'link-busy',
  /** The same attempt was released before. */
  Released = 'released'
}

/** Free capacity of an endpoint as its owner knows it. */
export interface FreeCapacity {
  readonly slots: number
  readonly pieces: number
}

/** Answer of an owner. */
export interface GrantAnswer {
  /** The grant, or `null` when refused. */
  readonly grant: Grant | null
  readonly refusal: GrantRefusal | null
  readonly free: FreeCapacity
}

/**
 * Names the grant of one booking, so that a repeated question meets its first grant.
 *
 * @param req - Request, attempt, stage and nonce.
 * @returns The id; unique on one endpoint.
 */
export function grantId (req: Pick<GrantRequest, 'requestId' | 'attempt' | 'stage' | 'nonce'>): string {
  return `${adoptedGrantId(req)}/${req.nonce}`
}

/**
 * Names the grant of a request that was found on an endpoint, where the nonce is not known.
 *
 * @param req - Request, attempt and stage.
 * @returns The id; unique on one endpoint.
 */
export function adoptedGrantId (req: Pick<GrantRequest, 'requestId' | 'attempt' | 'stage'>): string {
  return `${req.requestId}/${req.attempt}/${req.stage}`
}

/**
 * @param id - Id from `grantId`.
 * @returns Id from `adoptedGrantId` for the same request.
 */
export function toAdoptedId (id: string): string {
  return id.slice(0, id.lastIndexOf('/'))
}
