import { ErrorKind, JaymillError, RanState, RequestError } from '@jaymill/core'
import { Dispatcher, errors } from 'undici'

type StartMethod = (...args: never[]) => unknown

/** Follows one HTTP exchange to know whether a byte of it may have left this process. */
export class Exchange {
  private _started = false

  /**
   * @returns Whether a byte of the request may have left.
   */
  get mayHaveLeft (): boolean {
    return this._started
  }

  /**
   * Sends a request. It is never replayed on a second connection.
   *
   * @param dispatcher - Connections to the endpoint.
   * @param opts - The request.
   * @returns The answer's status, headers and body.
   */
  request (dispatcher: Dispatcher, opts: Dispatcher.RequestOptions): Promise<Dispatcher.ResponseData> {
    return dispatcher.compose(dispatch => (options, handler) => dispatch(options, this._watch(handler))).request(opts)
  }

  /**
   * Converts a transport failure.
   *
   * @param err - What was thrown.
   * @param signal - Signal of the exchange; its reason wins when it is a typed failure.
   * @param endpoint - Endpoint for the message.
   * @returns `EndpointRefused` with "not run" when no byte has left, else `EndpointFailed` with unknown effect.
   */
  toError (err: unknown, signal: AbortSignal, endpoint: string): JaymillError {
    if (err instanceof JaymillError) return err
    if (signal.aborted) return this._abortError(signal)
    const reason = err instanceof Error ? err.message : 'unknown failure'
    if (!this._started) {
      return new RequestError(ErrorKind.EndpointRefused, `${endpoint} did not accept a connection: ${reason}`, { cause: err })
    }
    const silent = err instanceof errors.HeadersTimeoutError || err instanceof errors.BodyTimeoutError
    const kind = silent ? ErrorKind.Stalled : ErrorKind.EndpointFailed
    return new RequestError(kind, `${endpoint} broke the exchange: ${reason}`, { ran: RanState.Unknown, cause: err })
  }

  private _abortError (signal: AbortSignal): JaymillError {
    const ran = this._started ? RanState.Unknown : RanState.No
    const { reason } = signal
    if (!(reason instanceof JaymillError)) return new RequestError(ErrorKind.CallerGone, 'the call was cancelled', { ran })
    if (reason.ran === ran || ran === RanState.No) return reason
    return new RequestError(reason.kind, reason.message, { ran, cause: reason })
  }

  private _watch (handler: Dispatcher.DispatchHandler): Dispatcher.DispatchHandler {
    const name = handler.onRequestStart === undefined ? 'onConnect' : 'onRequestStart'
    const original = handler[name] as StartMethod | undefined
    const started: StartMethod = (...args) => {
      if (this._started) throw new RequestError(ErrorKind.EndpointFailed, 'the connection broke', { ran: RanState.Unknown })
      this._started = true
      original?.apply(handler, args)
    }
    return Object.assign(handler, { [name]: started })
  }
}
