import { ErrorKind, RanState, RequestError } from '@jaymill/core'
import { AbortReason, type GatewayRequest } from './JaymillGatewayRequest.js'

/**
 * Creates the error of a request that was aborted.
 *
 * @param request - The request, whose signal has aborted.
 * @param mayHaveRun - Whether an endpoint may have run it.
 * @returns The error, by the reason of the abort.
 */
export function abortError ({ signal }: GatewayRequest, mayHaveRun: boolean): RequestError {
  if (signal.reason === AbortReason.CallerGone) return new RequestError(ErrorKind.CallerGone, 'the caller has disconnected')
  if (signal.reason === AbortReason.Stopped) return stoppedError(mayHaveRun)
  return mayHaveRun
    ? new RequestError(ErrorKind.Deadline, 'no answer in time')
    : new RequestError(ErrorKind.Overloaded, 'no endpoint had free capacity in time', { retryAfterMs: 0 })
}

/**
 * @param request - A request.
 * @returns Why it was aborted; `undefined` if it was not, or only one of its runs.
 */
export function abortReasonOf ({ signal }: GatewayRequest): AbortReason | undefined {
  return Object.values(AbortReason).find(reason => reason === signal.reason)
}

function stoppedError (mayHaveRun: boolean): RequestError {
  return mayHaveRun
    ? new RequestError(ErrorKind.Deadline, 'the host stopped before an answer arrived', { ran: RanState.Unknown })
    : new RequestError(ErrorKind.Stopping, 'the host stopped before the request ran', { retryAfterMs: 0 })
}
