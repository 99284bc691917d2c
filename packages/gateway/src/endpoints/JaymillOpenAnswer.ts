import { Readable } from 'node:stream'
import type { IncomingHttpHeaders } from 'node:http'
import type { Dispatcher } from 'undici'
import { invariant } from '@jaymill/core'
import { ExchangeError, ExchangeFailure } from './JaymillExchangeError.js'

/** Answer whose body arrives while it is read. */
export interface OpenAnswer {
  readonly status: number
  readonly headers: IncomingHttpHeaders
  /** Ends when the answer is complete; fails with an `ExchangeError` when it breaks off. */
  readonly body: Readable
}

/** Answer that has arrived as a whole. */
export interface WholeAnswer {
  readonly status: number
  readonly headers: IncomingHttpHeaders
  readonly body: Buffer
}

/** Tells whether a connection is being reset at this moment. */
export interface ResetState {
  readonly resetting: boolean
}

/** Receives one answer from undici and tells whether the request was sent. */
export class AnswerHandler implements Dispatcher.DispatchHandler {
  private readonly _resolve: (answer: OpenAnswer) => void
  private readonly _reject: (err: ExchangeError) => void
  private readonly _signal: AbortSignal
  private readonly _resets: ResetState
  private _controller: Dispatcher.DispatchController | undefined
  private _body: Readable | undefined
  private readonly _onAbort = (): void => this._abort()

  /**
   * @param signal - Cancels the exchange.
   * @param resolve - Takes the answer when its head is there.
   * @param reject - Takes the failure when no head arrives.
   * @param resets - State of the connections that the answer may arrive on.
   */
  constructor (signal: AbortSignal, resolve: (answer: OpenAnswer) => void, reject: (err: ExchangeError) => void, resets: ResetState) {
    this._signal = signal
    this._resets = resets
    this._resolve = resolve
    this._reject = reject
    signal.addEventListener('abort', this._onAbort, { once: true })
  }

  /** @param controller - Control of the connection. */
  onRequestStart (controller: Dispatcher.DispatchController): void {
    this._controller = controller
    if (this._signal.aborted) this._abort()
  }

  /**
   * @param controller - Control of the connection.
   * @param status - Status of the answer; interim ones are skipped.
   * @param headers - Its headers.
   */
  onResponseStart (controller: Dispatcher.DispatchController, status: number, headers: IncomingHttpHeaders): void {
    if (status < 200) return
    const body = new Readable({ read: () => controller.resume(), destroy: (err, done) => { this._closed(controller); done(err) } })
    body.on('error', () => {})
    this._body = body
    this._resolve({ status, headers, body })
  }

  /**
   * @param controller - Control of the connection.
   * @param chunk - Bytes of the body.
   */
  onResponseData (controller: Dispatcher.DispatchController, chunk: Buffer): void {
    invariant(this._body, 'a body begins with its head')
    if (!this._body.push(chunk)) controller.pause()
  }

  /** Ends the body as complete, unless a reset has ended it: undici takes a body without a length as complete then. */
  onResponseEnd (): void {
    if (this._resets.resetting) {
      this._body?.destroy(new ExchangeError(ExchangeFailure.Broken, 'the connection was reset in the body'))
    }
    this._signal.removeEventListener('abort', this._onAbort)
    this._controller = undefined
    this._body?.push(null)
  }

  /**
   * @param _controller - Control of the connection.
   * @param err - What went wrong.
   */
  onResponseError (_controller: Dispatcher.DispatchController, err: Error): void {
    this._signal.removeEventListener('abort', this._onAbort)
    const failure = new ExchangeError(this._failure(err), err.message, { cause: err })
    this._controller = undefined
    if (this._body === undefined) this._reject(failure)
    else this._body.destroy(failure)
  }

  private _failure (err: Error): ExchangeFailure {
    if (this._signal.aborted) return this._controller === undefined ? ExchangeFailure.Connect : ExchangeFailure.Cancelled
    if (this._controller === undefined) return ExchangeFailure.Connect
    return err.name === 'HTTPParserError' ? ExchangeFailure.Malformed : ExchangeFailure.Broken
  }

  private _closed (controller: Dispatcher.DispatchController): void {
    if (this._controller === undefined) return
    this._signal.removeEventListener('abort', this._onAbort)
    controller.abort(new ExchangeError(ExchangeFailure.Cancelled, 'the answer is no longer wanted'))
  }

  private _abort (): void {
    this._controller?.abort(new ExchangeError(ExchangeFailure.Cancelled, 'the exchange was cancelled'))
  }
}
