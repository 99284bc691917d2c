import { classifyServiceLevel, type RequestRecord, type ServiceLevel } from '@jaymill/core'
import type { HostContext } from '../JaymillHostContext.js'

/**
 * Reports a finished request to the log, the metrics and the burn report.
 *
 * @param ctx - Shared components of the host.
 * @param record - Record of the request.
 */
export function reportRequest (ctx: HostContext, record: RequestRecord): void {
  const { requestId, accountId, routeId, errorKind, ran, state, tokens, ttftMs } = record.view()
  const level = serviceLevelOf(ctx, record)
  if (level !== undefined) ctx.burn.record({ routeId, accountId, level }, ctx.clock.nowMs())
  ctx.metrics.countRequest(record)
  ctx.log.info('request ended', { requestId, accountId, routeId, state, ran, errorKind, level, tokens, ttftMs })
}

/**
 * Classifies a request by the targets of its route. The result is `undefined` if the route was removed while the request
 * ran. If no first byte was recorded, the time to the end is used instead, so that a late response never counts as met.
 */
function serviceLevelOf (ctx: HostContext, record: RequestRecord): ServiceLevel | undefined {
  const { routeId, errorKind, receivedMs, endedMs = ctx.clock.nowMs(), ttftMs = endedMs - receivedMs } = record.view()
  const targets = ctx.fleet().routes.find(({ id }) => id === routeId)
  if (targets === undefined) return undefined
  return classifyServiceLevel({ errorKind, ttftMs, interTokenMs: record.interTokenMs }, targets)
}
