/** Use of an endpoint that a booking reserves. */
export enum BookingStage {
  Prefill = 'prefill',
  Decode = 'decode',
  Service = 'service'
}

/** What a request needs of one pool. */
export interface BookingRequest {
  readonly requestId: string
  /** Attempt within the request, from 1. */
  readonly attempt: number
  readonly stage: BookingStage
  readonly poolId: string
  /** KV pieces; 0 for services and prefill. */
  readonly pieces: number
  /** Bytes that cross the pool's KV link. */
  readonly transferBytes: number
  /** Time from now at which the booking starts to be used, in milliseconds. */
  readonly startInMs: number
  /** Expected use, in milliseconds. */
  readonly expectedMs: number
  /** Endpoints that must not be chosen, such as ones that have failed this request. */
  readonly exclude: readonly string[]
  /** Endpoints in order of preference, such as ones with a cached prefix; may be empty. */
  readonly prefer: readonly string[]
  /** Class priority; lower is more urgent. */
  readonly priority: number
  readonly accountId: string
  /** Expected prompt and answer tokens; 0 for services. */
  readonly tokens: number
  /** Time from now after which a start can no longer meet the target, in milliseconds. */
  readonly latestStartInMs: number
}

/** Granted use of one endpoint. */
export interface Booking {
  readonly id: string
  readonly endpointId: string
  /** Host that granted it. */
  readonly ownerId: string
  /** Time after which an unused grant lapses, in milliseconds from the grant. */
  readonly ttlMs: number
}

/** Books endpoint capacity for requests, wherever its owner is. */
export abstract class SlotBooker {
  /**
   * @param req - What is needed.
   * @param signal - Gives the wait up; a grant that arrives late is released.
   * @returns The booking.
   * @throws RequestError of kind `Overloaded` or `NoEndpoint` when nothing can be granted in time.
   */
  abstract book (req: BookingRequest, signal: AbortSignal): Promise<Booking>

  /**
   * Gives a booking back; safe to call twice.
   *
   * @param booking - Booking to be released.
   */
  abstract release (booking: Booking): void
}
