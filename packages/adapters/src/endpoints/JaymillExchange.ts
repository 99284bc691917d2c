import { ErrorKind, JaymillError, RanState, RequestError } from '@jaymill/core'
import { Dispatcher, errors } from 'undici'

type StartMethod = (...args: never[]) => unknown

/** One HTTP exchange that records whether a byte of the request may have left this process. */
export class Exchange {
  private _started = false

  /**
   * @returns Whether a byte of the request may have left this process.
   */
  get mayHaveBeenSent (): boolean {
    return this._started
  }

  /**
   * Sends a request. It is never sent again on a second connection.
   *
   * @param dispatcher - Connections to the endpoint.
   * @param opts - Request to send.
   * @returns Status, headers and body of the response.
   */
  request (dispatcher: Dispatcher, opts: Dispatcher.RequestOptions): Promise<Dispatcher.ResponseData> {
    return dispatcher.compose(dispatch => (options, handler) => dispatch(options, this._trackStart(handler))).request(opts)
  }

  /**
   * Converts a transport failure to a typed error.
   *
   * @param err - Thrown value.
   * @param signal - Signal of the exchange; its reason takes precedence when it is a typed error.
   * @param endpoint - Name of the endpoint for the message.
   * @returns `EndpointRefused` with `RanState.No` when no byte has left; `Stalled` after a timeout, else `EndpointFailed`, both
   * with `RanState.Unknown`.
   */
  toError (err: unknown, signal: AbortSignal, endpoint: string): JaymillError {
    if (err instanceof JaymillError) return err
    if (signal.aborted) return this._abortError(signal)
    const reason = err instanceof Error ? err.message : 'unknown failure'
    if (!this._started) {
      return new RequestError(ErrorKind.EndpointRefused, `${endpoint} did not accept a connection: ${reason}`, { cause: err })
    }
    const timedOut = err instanceof errors.HeadersTimeoutError || err instanceof errors.BodyTimeoutError
    const kind = timedOut ? ErrorKind.Stalled : ErrorKind.EndpointFailed
    return new RequestError(kind, `${endpoint} broke the exchange: ${reason}`, { ran: RanState.Unknown, cause: err })
  }

  private _abortError (signal: AbortSignal): JaymillError {
    const ran = this._started ? RanState.Unknown : RanState.No
    const { reason } = signal
    if (!(reason instanceof JaymillError)) return new RequestError(ErrorKind.CallerGone, 'the call was cancelled', { ran })
    if (reason.ran === ran || ran === RanState.No) return reason
    return new RequestError(reason.kind, reason.message, { ran, cause: reason })
  }

  private _trackStart (handler: Dispatcher.DispatchHandler): Dispatcher.DispatchHandler {
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
