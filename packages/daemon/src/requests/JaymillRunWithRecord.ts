import { ErrorKind, JaymillError, RanState, RequestEvent, RequestRecord } from '@jaymill/core'
import type { HostContext } from '../JaymillHostContext.js'
import { reportRequest } from './JaymillRequestReporter.js'

/**
 * Serves a request, then closes its record with the outcome and reports it.
 *
 * @param ctx - Shared components of the host.
 * @param record - Record of the request.
 * @param work - Serves the request.
 * @returns Result of `work`.
 * @throws Any error of `work`, unchanged.
 */
export async function runWithRecord<Value> (ctx: HostContext, record: RequestRecord, work: () => Promise<Value>): Promise<Value> {
  try {
    const value = await work()
    record.decide(RequestEvent.Complete, 'response complete', ctx.clock.nowMs())
    record.end({ ran: RanState.Yes }, ctx.clock.nowMs())
    return value
  } catch (err) {
    const jaymillError = err instanceof JaymillError ? err : undefined
    const disconnected = jaymillError?.kind === ErrorKind.CallerGone
    record.decide(disconnected ? RequestEvent.Cancel : RequestEvent.Fail, (err as Error).message, ctx.clock.nowMs())
    record.end({
      ran: jaymillError?.ran ?? RanState.Unknown, errorKind: jaymillError?.kind ?? ErrorKind.Invariant
    }, ctx.clock.nowMs())
    throw err
  } finally {
    reportRequest(ctx, record)
  }
}
