import { judgeServiceLevel, type RequestRecord, type ServiceLevel } from '@jaymill/core'
import type { HostContext } from '../JaymillHostContext.js'

/**
 * Reports a finished request to log, metrics and burn report.
 *
 * @param ctx - Shared parts of the host.
 * @param record - Record of the request.
 */
export function reportRequest (ctx: HostContext, record: RequestRecord): void {
  const { requestId, accountId, routeId, errorKind, ran, state, tokens, ttftMs } = record.view()
  const level = levelOf(ctx, record)
  if (level !== undefined) ctx.burn.record({ routeId, accountId, level }, ctx.clock.nowMs())
  ctx.metrics.countRequest(record)
  ctx.log.info('request ended', { requestId, accountId, routeId, state, ran, errorKind, level, tokens, ttftMs })
}

/**
 * A route that was removed while its request ran has no targets any more. Without a noted first byte, the time to the
 * end stands for it, so that a late answer never counts as met.
 */
function levelOf (ctx: HostContext, record: RequestRecord): ServiceLevel | undefined {
  const { routeId, errorKind, receivedMs, endedMs = ctx.clock.nowMs(), ttftMs = endedMs - receivedMs } = record.view()
  const targets = ctx.fleet().routes.find(({ id }) => id === routeId)
  if (targets === undefined) return undefined
  return judgeServiceLevel({ errorKind, ttftMs, interTokenMs: record.interTokenMs }, targets)
}
