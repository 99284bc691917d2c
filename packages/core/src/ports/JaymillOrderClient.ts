import type { EngineOrder, EngineReport, OrderAnswer } from '../orders/JaymillEngineOrder.js'

/** Reads what engines serve and sends them orders. */
export abstract class OrderClient {
  /**
   * @param url - Base URL of the engine.
   * @param signal - Gives up.
   * @returns What the engine says that it serves.
   * @throws RequestError of kind `EndpointFailed` or `EndpointRefused`.
   */
  abstract read (url: string, signal: AbortSignal): Promise<EngineReport>

  /**
   * Sends an order; a repeat changes nothing.
   *
   * @param url - Base URL of the engine.
   * @param order - Order.
   * @param signal - Gives up; the engine may carry the order out all the same.
   * @returns How the engine took it.
   * @throws RequestError of kind `EndpointFailed` or `EndpointRefused`.
   */
  abstract send (url: string, order: EngineOrder, signal: AbortSignal): Promise<OrderAnswer>
}
