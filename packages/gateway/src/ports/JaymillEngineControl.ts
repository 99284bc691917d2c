import type { EndpointRecord, EngineRole } from '@jaymill/core'

/** Slot and KV cache that an engine reserves for one request. */
export interface Reservation {
  readonly id: string
  readonly endpoint: EndpointRecord
}

/** Result of a prefill. */
export interface PrefillResult {
  /** Identifies the KV cache at the engine that prefilled the prompt. */
  readonly handle: string
}

/** Request for capacity at an engine. */
export interface ReservationRequest {
  readonly endpoint: EndpointRecord
  /** KV cache, in tokens. */
  readonly tokens: number
  /** Time after which the reservation expires, in milliseconds. */
  readonly ttlMs: number
}

/** Order to an engine to change its role. */
export interface RoleChangeOrder {
  readonly endpoint: EndpointRecord
  readonly role: EngineRole
  /** Id of the host that sends the order, under the name that the engines' API uses. */
  readonly holder: string
  /** Fencing token; engines that check it refuse an order with a lower token than the highest they have received. */
  readonly fence: number
}

/** Control calls to engines, besides forwarded requests. */
export abstract class EngineControl {
  /**
   * Reserves capacity at an engine.
   *
   * @param req - Capacity to reserve.
   * @param signal - Cancels the call.
   * @returns The reservation, or `undefined` when the engine does not have the capacity.
   * @throws ExchangeError when the engine returned no usable response.
   */
  abstract reserve (req: ReservationRequest, signal: AbortSignal): Promise<Reservation | undefined>

  /**
   * Releases a reservation that no request has used.
   *
   * @param reservation - Reservation to release.
   * @returns Resolves when the engine has responded.
   */
  abstract release (reservation: Reservation): Promise<void>

  /**
   * Frees the KV cache of a prompt that no request will use.
   *
   * @param endpoint - Engine that holds the KV cache.
   * @param handle - Handle of the KV cache at the engine.
   * @returns Resolves when the engine has responded.
   */
  abstract free (endpoint: EndpointRecord, handle: string): Promise<void>

  /**
   * Parses the response to a prefill call.
   *
   * @param body - Body of the response.
   * @returns The result, or `undefined` when the body is invalid.
   */
  abstract prefillResult (body: Buffer): PrefillResult | undefined

  /**
   * Orders an engine to change its role.
   *
   * @param order - The order.
   * @param signal - Cancels the call.
   * @returns Whether the engine has accepted the order.
   * @throws ExchangeError when the engine returned no usable response; it may have accepted the order.
   */
  abstract changeRole (order: RoleChangeOrder, signal: AbortSignal): Promise<boolean>
}
