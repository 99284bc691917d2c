import type { RetryCharge } from '@jaymill/core'
import type { GatewayRequest } from '../callers/JaymillGatewayRequest.js'
import type { ForwardingContext } from './JaymillForwardingContext.js'

/** Call that a retry is charged for. */
export enum RetriedCall {
  Request = 'request',
  Stream = 'stream',
  Prefill = 'prefill',
  Decode = 'decode',
  /** A request that another host has failed to serve. */
  Forwarded = 'forwarded'
}

/** Components of the host that charges for retries need. */
export type RetryContext = Pick<ForwardingContext, 'budget' | 'hostCount' | 'clock' | 'log' | 'metrics'>

/**
 * Charges a retry to the budget, and records whether it was charged.
 *
 * @param context - Components of the host.
 * @param request - Request that is retried.
 * @param call - Call that the retry is charged for.
 * @returns The charge; `undefined` when the budget is spent.
 */
export function chargeRetry (context: RetryContext, request: GatewayRequest, call: RetriedCall): RetryCharge | undefined {
  const { budget, hostCount, clock } = context
  const charge = budget.tryCharge(request.service.name, hostCount(), clock.nowMs())
  recordRetry(context, request, call, charge !== undefined)
  return charge
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
  { log, metrics, hostCount }: RetryContext, { id, service }: GatewayRequest, call: RetriedCall, charged: boolean
): void {
  metrics.recordRetry(call, charged)
  log.request(id, charged ? 'retry charged' : 'retry budget spent', { service: service.name, call, hosts: hostCount() })
}
