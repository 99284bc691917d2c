/** Role of an endpoint that is reserved. */
export enum EndpointRole {
  Prefill = 'prefill',
  Decode = 'decode',
  Service = 'service'
}

/** Capacity that a request needs in one pool. */
export interface CapacityRequest {
  readonly requestId: string
  /** Attempt within the request, from 1. */
  readonly attempt: number
  readonly role: EndpointRole
  readonly poolId: string
  /** KV pieces; 0 for services and prefill. */
  readonly pieces: number
  /** Bytes that cross the pool's KV link. */
  readonly transferBytes: number
  /** Time from now until the reservation is first used, in milliseconds. */
  readonly startInMs: number
  /** Expected duration of use, in milliseconds. */
  readonly expectedMs: number
  /** Endpoints that must not be chosen, such as those on which this request has failed. */
  readonly exclude: readonly string[]
  /** Endpoints in order of preference, such as those with a cached prefix; may be empty. */
  readonly prefer: readonly string[]
  /** Class priority; lower is more urgent. */
  readonly priority: number
  readonly accountId: string
  /** Expected prompt and output tokens; 0 for services. */
  readonly tokens: number
  /** Time from now after which a start can no longer meet the latency target, in milliseconds. */
  readonly latestStartInMs: number
}

/** Reservation on one endpoint, as held by the host that requested it. */
export interface ReservationHandle {
  readonly id: string
  readonly endpointId: string
  /** Host that granted it. */
  readonly ownerId: string
  /** Time after which an unused reservation expires, in milliseconds after it was granted. */
  readonly ttlMs: number
}

/** Reserves endpoint capacity for requests, whichever host owns the endpoint. */
export abstract class SlotAllocator {
  /**
   * Reserves capacity in one pool.
   *
   * @param req - Capacity to reserve.
   * @param signal - Cancels the wait; a reservation that is granted later is released.
   * @returns The reservation.
   * @throws RequestError of kind `Overloaded` or `NoEndpoint` when no capacity can be reserved in time.
   */
  abstract reserve (req: CapacityRequest, signal: AbortSignal): Promise<ReservationHandle>

  /**
   * Releases a reservation; safe to call twice.
   *
   * @param reservation - Reservation to release.
   */
  abstract release (reservation: ReservationHandle): void
}
