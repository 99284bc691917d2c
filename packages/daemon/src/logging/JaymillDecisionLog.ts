import { RequestEvent, type DecisionListener } from '@jaymill/core'
import type { Logger } from 'winston'

/** Events logged as `info`, because they change what a caller receives or where the request runs; others are `debug`. */
const INFO_EVENTS: readonly RequestEvent[] = [RequestEvent.Forward, RequestEvent.Retry, RequestEvent.Cancel, RequestEvent.Fail]

/**
 * Creates a listener that logs each decision about a request in one line, with the request id.
 *
 * @param log - Logger of the host.
 * @returns Decision listener for the request log.
 */
export function decisionLogger (log: Logger): DecisionListener {
  return ({ requestId, routeId }, { event, reason, target, atMs }) => {
    const level = INFO_EVENTS.includes(event) ? 'info' : 'debug'
    log.log(level, 'request decision', { requestId, routeId, event, reason, target, atMs })
  }
}
