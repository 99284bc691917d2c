import type { GatewayRequest } from '../callers/JaymillGatewayRequest.js'
import type { ForwardingContext } from './JaymillForwardingContext.js'

/** Call that a retry is charged for. */
export enum RetriedCall {
  Request = 'request',
  Stream = 'stream',
  Prefill = 'prefill',
  Decode = 'decode'
}

/**
 * Records in log and metrics that a retry was charged to the budget, or refused by it.
 *
 * @param context - Components of the host.
 * @param request - Request that is retried.
 * @param call - Call that the retry is charged for.
 * @param charged - Whether it was charged.
 */
export function recordRetry (
  { log, metrics, hostCount }: Pick<ForwardingContext, 'log' | 'metrics' | 'hostCount'>, { id, service }: GatewayRequest, call: RetriedCall, charged: boolean
): void {
  metrics.recordRetry(call, charged)
  log.request(id, charged ? 'retry charged' : 'retry budget spent', { service: service.name, call, hosts: hostCount() })
}
