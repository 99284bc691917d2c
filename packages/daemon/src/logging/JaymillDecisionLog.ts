import { RequestEvent, type DecisionListener } from '@jaymill/core'
import type { Logger } from 'winston'

/** Decisions that change what a caller receives or where the request runs; the others are logged as `debug`. */
const NOTABLE: readonly RequestEvent[] = [RequestEvent.Forward, RequestEvent.Retry, RequestEvent.Cancel, RequestEvent.Fail]

/**
 * Logs each decision about a request on one line, with the id of the request.
 *
 * @param log - Logger of the host.
 * @returns Listener for the request log.
 */
export function decisionLogger (log: Logger): DecisionListener {
  return ({ requestId, routeId }, { event, reason, target, atMs }) => {
    const level = NOTABLE.includes(event) ? 'info' : 'debug'
    log.log(level, 'request decision', { requestId, routeId, event, reason, target, atMs })
  }
}
