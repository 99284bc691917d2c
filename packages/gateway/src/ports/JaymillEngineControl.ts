import type { EndpointRecord, EngineStage } from '@jaymill/core'

/** Slot and KV cache that an engine keeps for one request. */
export interface Reservation {
  readonly id: string
  readonly endpoint: EndpointRecord
}

/** Result of reading a prompt. */
export interface PrefillResult {
  /** Names the KV cache at the engine that read the prompt. */
  readonly handle: string
}

/** Capacity that an engine is asked for. */
export interface ReservationRequest {
  readonly endpoint: EndpointRecord
  /** KV cache, in tokens. */
  readonly tokens: number
  /** Time for which it is kept, in milliseconds. */
  readonly ttlMs: number
}

/** Order to an engine. */
export interface StageOrder {
  readonly endpoint: EndpointRecord
  readonly stage: EngineStage
  /** Host that gives the order. */
  readonly holder: string
  /** Fencing token; engines that check it refuse a lower one than they have seen. */
  readonly fence: number
}

/** Calls to engines beside the requests themselves. */
export abstract class EngineControl {
  /**
   * @param req - Capacity.
   * @param signal - Ends the call.
   * @returns The reservation, or `undefined` when the engine has no room.
   * @throws ExchangeError when the engine gave no usable answer.
   */
  abstract reserve (req: ReservationRequest, signal: AbortSignal): Promise<Reservation | undefined>

  /**
   * Gives back a reservation that no request has used.
   *
   * @param reservation - The reservation.
   * @returns When the engine has answered.
   */
  abstract release (reservation: Reservation): Promise<void>

  /**
   * Frees the KV cache of a prompt that no request will use.
   *
   * @param endpoint - Engine that holds it.
   * @param handle - Its name there.
   * @returns When the engine has answered.
   */
  abstract free (endpoint: EndpointRecord, handle: string): Promise<void>

  /**
   * @param body - Answer to a call that only reads the prompt.
   * @returns The result, or `undefined` when it can't be read.
   */
  abstract prefillResult (body: Buffer): PrefillResult | undefined

  /**
   * Orders an engine to do the work of another stage.
   *
   * @param order - The order.
   * @param signal - Ends the call.
   * @returns Whether the engine has accepted it.
   * @throws ExchangeError when the engine gave no usable answer; it may have accepted the order.
   */
  abstract changeStage (order: StageOrder, signal: AbortSignal): Promise<boolean>
}
