import { ErrorKind, JaymillError, RanState, RequestEvent, RequestRecord } from '@jaymill/core'
import type { HostContext } from '../JaymillHostContext.js'
import { reportRequest } from './JaymillRequestReporter.js'

/**
 * Runs the work of a request and closes its record with the outcome.
 *
 * @param ctx - Shared parts of the host.
 * @param record - Record of the request.
 * @param work - What serves the request.
 * @returns What the work returned.
 * @throws whatever the work throws.
 */
export async function endRecord<Value> (ctx: HostContext, record: RequestRecord, work: () => Promise<Value>): Promise<Value> {
  try {
    const value = await work()
    record.decide(RequestEvent.Complete, 'answer complete', ctx.clock.nowMs())
    record.end({ ran: RanState.Yes }, ctx.clock.nowMs())
    return value
  } catch (err) {
    const known = err instanceof JaymillError ? err : undefined
    const gone = known?.kind === ErrorKind.CallerGone
    record.decide(gone ? RequestEvent.Cancel : RequestEvent.Fail, (err as Error).message, ctx.clock.nowMs())
    record.end({ ran: known?.ran ?? RanState.Unknown, errorKind: known?.kind ?? ErrorKind.Invariant }, ctx.clock.nowMs())
    throw err
  } finally {
    reportRequest(ctx, record)
  }
}
