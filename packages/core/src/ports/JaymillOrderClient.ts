import type { EngineOrder, EngineReport, OrderResult } from '../orders/JaymillEngineOrder.js'

/** Reads the state of engines and sends them orders. */
export abstract class OrderClient {
  /**
   * Reads the state that an engine reports.
   *
   * @param url - Base URL of the engine.
   * @param signal - Cancels the request.
   * @returns Report of the engine.
   * @throws RequestError of kind `EndpointFailed` or `EndpointRefused`.
   */
  abstract read (url: string, signal: AbortSignal): Promise<EngineReport>

  /**
   * Sends an order. Orders are idempotent, so sending one again has no further effect.
   *
   * @param url - Base URL of the engine.
   * @param order - Order to send.
   * @param signal - Cancels the request; the engine may still execute the order.
   * @returns Result that the engine reports.
   * @throws RequestError of kind `EndpointFailed` or `EndpointRefused`.
   */
  abstract send (url: string, order: EngineOrder, signal: AbortSignal): Promise<OrderResult>
}
