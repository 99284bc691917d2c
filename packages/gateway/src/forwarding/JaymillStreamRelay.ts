import { EventAssembler, EventPassThrough, RouteKind, type EventForwarding } from '@jaymill/core'
import { endedWithConnection, endToEndHeaders } from '../callers/JaymillCallerResponse.js'
import type { GatewayRequest } from '../callers/JaymillGatewayRequest.js'
import { MAX_EVENT_BYTES } from '../endpoints/constants.js'
import { ExchangeError, ExchangeFailure } from '../endpoints/JaymillExchangeError.js'
import type { StreamedResponse } from '../endpoints/JaymillStreamedResponse.js'

const EVENT_STREAM = 'text/event-stream'

/** How the relay of one response ended. */
export enum RelayOutcome {
  Complete = 'complete',
  /** The endpoint's stream broke off, ended inside an event or exceeded the idle timeout; the caller's stream is still open. */
  Broken = 'broken',
  /** The caller has disconnected or the request has timed out. */
  Aborted = 'ended'
}

/** Told about the progress of a relay. */
export interface RelayListener {
  /** Called when the first bytes of the response are forwarded, whichever run they come from. */
  readonly onFirst: () => void
  /** Called when events of this run have arrived completely. */
  readonly onEvents: () => void
}

/** Forwards the events of one request to its caller, from one or several endpoints in sequence. */
export class StreamRelay {
  private readonly _request: GatewayRequest
  private readonly _resumable: boolean
  private _lastEventId: string | undefined
  private _hasEvents = true
  private _bytes = 0
  private _endedWithConnection = false
  private _failure: ExchangeFailure | undefined

  /**
   * @param request - Request whose caller receives the events.
   */
  constructor (request: GatewayRequest) {
    this._request = request
    this._resumable = request.route.resumable
    this._lastEventId = request.metadata.lastEventId
  }

  /** Id of the last event sent to the caller; before the first event, the id that the caller resumes from. */
  get lastEventId (): string | undefined {
    return this._lastEventId
  }

  /** Whether the head of the response has been sent to the caller. */
  get started (): boolean {
    return this._request.res.headersSent
  }

  /** Whether the response of another run may follow the bytes forwarded so far. */
  get acceptsRun (): boolean {
    return this._resumable || this._bytes === 0
  }

  /** Whether only the end of its connection marks the end of the last response. */
  get endedWithConnection (): boolean {
    return this._endedWithConnection
  }

  /** How the last response failed; `undefined` if it did not, or ended inside an event. */
  get failure (): ExchangeFailure | undefined {
    return this._failure
  }

  /** Bytes forwarded so far. */
  get bytes (): number {
    return this._bytes
  }

  /**
   * Forwards one response until it ends.
   *
   * @param response - Successful response of an endpoint; only the head of the first one is sent to the caller.
   * @param idleTimeoutMs - Idle time after which the response counts as broken, in milliseconds; `undefined` for no limit.
   * @param listener - Told about the progress of the relay.
   * @returns How the relay ended.
   */
  async forward (response: StreamedResponse, idleTimeoutMs: number | undefined, { onFirst, onEvents }: RelayListener): Promise<RelayOutcome> {
    const { res } = this._request
    if (!res.headersSent) {
      this._hasEvents = this._isEventStream(response)
      res.writeHead(response.status, this._head(response))
      res.flushHeaders()
    }
    const events = this._resumable ? new EventAssembler() : new EventPassThrough()
    this._endedWithConnection = endedWithConnection(response, this._request.req.method)
    this._failure = undefined
    const bytesBefore = this._bytes
    const idleTimer = this._startIdleTimer(response, idleTimeoutMs)
    try {
      for await (const chunk of response.body as AsyncIterable<Buffer>) {
        idleTimer?.refresh()
        const eventsBefore = events.events
        const bytes = this._forwardableBytes(events, chunk)
        if (events.events > eventsBefore) onEvents()
        if (this._bytes === 0 && bytes.length > 0) onFirst()
        await this._write(bytes)
      }
      return await this._finish(events, this._bytes === bytesBefore && this._endedWithConnection)
    } catch (err) {
      if (!(err instanceof ExchangeError)) throw err
      this._failure = err.failure
      return this._request.signal.aborted ? RelayOutcome.Aborted : RelayOutcome.Broken
    } finally {
      clearTimeout(idleTimer)
    }
  }

  /** A response without a type is a stream of events only on a route for streams. */
  private _isEventStream ({ headers }: StreamedResponse): boolean {
    const type = headers['content-type']?.split(';')[0]?.trim().toLowerCase()
    return type === undefined ? this._request.route.kind === RouteKind.Streaming : type === EVENT_STREAM
  }

  /** Drops the length of a stream of events: with it, a stream that ends inside an event would look complete to the caller. */
  private _head ({ headers }: StreamedResponse): ReturnType<typeof endToEndHeaders> {
    const { 'content-length': length, ...rest } = endToEndHeaders(headers)
    return this._resumable || this._hasEvents || length === undefined ? rest : { ...rest, 'content-length': length }
  }

  private _startIdleTimer ({ body }: StreamedResponse, idleTimeoutMs: number | undefined): NodeJS.Timeout | undefined {
    if (idleTimeoutMs === undefined) return undefined
    return setTimeout(() => body.destroy(new ExchangeError(ExchangeFailure.Timeout, 'no event within the idle timeout')), idleTimeoutMs)
  }

  private _forwardableBytes (events: EventForwarding, chunk: Buffer): Buffer {
    const { bytes, lastId } = events.push(chunk)
    if (events.pendingBytes > MAX_EVENT_BYTES) throw new ExchangeError(ExchangeFailure.Malformed, `an event exceeds ${MAX_EVENT_BYTES} bytes`)
    this._lastEventId = lastId ?? this._lastEventId
    return bytes
  }

  /** Ends the caller's stream, unless the endpoint's ended inside an event or, without an event, only with its connection. */
  private async _finish (events: EventForwarding, emptyWithConnection: boolean): Promise<RelayOutcome> {
    if (this._request.signal.aborted) return RelayOutcome.Aborted
    if (this._hasEvents && (events.insideEvent || emptyWithConnection)) return RelayOutcome.Broken
    await this._write(events.end())
    this._request.res.end()
    return RelayOutcome.Complete
  }

  private async _write (bytes: Buffer): Promise<void> {
    const { res } = this._request
    if (bytes.length === 0) return
    this._bytes += bytes.length
    if (res.write(bytes) || res.destroyed) return
    await new Promise<void>(resolve => {
      const done = (): void => { res.off('drain', done); res.off('close', done); resolve() }
      res.on('drain', done)
      res.on('close', done)
    })
  }
}
