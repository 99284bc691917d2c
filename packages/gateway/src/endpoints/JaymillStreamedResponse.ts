import { Readable } from 'node:stream'
import type { IncomingHttpHeaders } from 'node:http'
import { errors, type Dispatcher } from 'undici'
import { ErrorKind, invariant, RanState, RequestError, type JaymillError } from '@jaymill/core'
import { ExchangeError, ExchangeFailure } from './JaymillExchangeError.js'

/** Response whose body is streamed. */
export interface StreamedResponse {
  readonly status: number
  readonly headers: IncomingHttpHeaders
  /** Ends when the response is complete; fails with an `ExchangeError` when it breaks off. */
  readonly body: Readable
}

/** Response whose complete body is in memory. */
export interface BufferedResponse {
  readonly status: number
  readonly headers: IncomingHttpHeaders
  readonly body: Buffer
}

/** Receives one response from undici and records whether the request was sent. */
export class ResponseHandler implements Dispatcher.DispatchHandler {
  private readonly _resolve: (response: StreamedResponse) => void
  private readonly _reject: (err: JaymillError) => void
  private readonly _signal: AbortSignal
  private _controller: Dispatcher.DispatchController | undefined
  private _body: Readable | undefined
  private readonly _onAbort = (): void => this._abort()

  /**
   * @param signal - Cancels the exchange.
   * @param resolve - Called with the response when its head has arrived.
   * @param reject - Called with the failure when no head arrives: an `ExchangeError`, or a `RequestError` of kind `NotForwardable`
   * when the client does not send the request.
   */
  constructor (signal: AbortSignal, resolve: (response: StreamedResponse) => void, reject: (err: JaymillError) => void) {
    this._signal = signal
    this._resolve = resolve
    this._reject = reject
    signal.addEventListener('abort', this._onAbort, { once: true })
  }

  /**
   * Stores the controller; from then on the request counts as sent.
   *
   * @param controller - Controller of the dispatch.
   */
  onRequestStart (controller: Dispatcher.DispatchController): void {
    this._controller = controller
    if (this._signal.aborted) this._abort()
  }

  /**
   * Resolves the response with a body that is still to be received.
   *
   * @param controller - Controller of the dispatch.
   * @param status - Status of the response; interim responses (1xx) are skipped.
   * @param headers - Headers of the response.
   */
  onResponseStart (controller: Dispatcher.DispatchController, status: number, headers: IncomingHttpHeaders): void {
    if (status < 200) return
    const body = new Readable({ read: () => controller.resume(), destroy: (err, done) => { this._onBodyDestroyed(controller); done(err) } })
    body.on('error', () => {})
    this._body = body
    this._resolve({ status, headers, body })
  }

  /**
   * Appends a chunk to the body and pauses the connection while the body's buffer is full.
   *
   * @param controller - Controller of the dispatch.
   * @param chunk - Bytes of the body.
   */
  onResponseData (controller: Dispatcher.DispatchController, chunk: Buffer): void {
    invariant(this._body, 'response body received before its head')
    if (!this._body.push(chunk)) controller.pause()
  }

  /** Ends the body as complete. */
  onResponseEnd (): void {
    this._signal.removeEventListener('abort', this._onAbort)
    this._controller = undefined
    this._body?.push(null)
  }

  /**
   * Rejects the response, or fails its body when the head has already arrived.
   *
   * @param _controller - Controller of the dispatch.
   * @param err - Error from undici.
   */
  onResponseError (_controller: Dispatcher.DispatchController, err: Error): void {
    this._signal.removeEventListener('abort', this._onAbort)
    const failure = new ExchangeError(this._classify(err), err.message, { cause: err })
    this._controller = undefined
    if (isUnsendable(err)) this._reject(new RequestError(ErrorKind.NotForwardable, `the request can't be forwarded: ${err.message}`, { ran: RanState.No, cause: err }))
    else if (this._body === undefined) this._reject(failure)
    else this._body.destroy(failure)
  }

  private _classify (err: Error): ExchangeFailure {
    if (this._signal.aborted) return this._controller === undefined ? ExchangeFailure.Connect : ExchangeFailure.Cancelled
    if (this._controller === undefined) return ExchangeFailure.Connect
    return err.name === 'HTTPParserError' ? ExchangeFailure.Malformed : ExchangeFailure.Broken
  }

  private _onBodyDestroyed (controller: Dispatcher.DispatchController): void {
    if (this._controller === undefined) return
    this._signal.removeEventListener('abort', this._onAbort)
    controller.abort(new ExchangeError(ExchangeFailure.Cancelled, 'the response is no longer needed'))
  }

  /** Without a controller the request waits for a connection; `onRequestStart` then keeps it from being sent. */
  private _abort (): void {
    if (this._controller === undefined) this._reject(new ExchangeError(ExchangeFailure.Connect, 'the call was cancelled before it was sent'))
    else this._controller.abort(new ExchangeError(ExchangeFailure.Cancelled, 'the exchange was cancelled'))
  }
}

/** undici checks a request before it opens a connection. Such an error says nothing about the endpoint. */
function isUnsendable (err: Error): boolean {
  return err instanceof errors.InvalidArgumentError || err instanceof errors.NotSupportedError
}
