import { EventAssembler, EventPassThrough, RouteKind } from '@jaymill/core'
import { endedWithConnection, endToEndHeaders } from '../callers/JaymillCallerResponse.js'
import type { GatewayRequest } from '../callers/JaymillGatewayRequest.js'
import { ExchangeError } from '../endpoints/JaymillExchangeError.js'
import type { StreamedResponse } from '../endpoints/JaymillStreamedResponse.js'
import type { SilenceRaceResult } from './JaymillSilenceRace.js'
import { RunEnd, StreamRun, type StreamPiece, type StreamRunOptions } from './JaymillStreamRun.js'

const EVENT_STREAM = 'text/event-stream'

/** Bytes of a stream that are read from its endpoint while its caller reads nothing, in bytes. */
const READ_AHEAD_BYTES = 65_536

/** Waits for the next piece of a run, or for a run that replaces it. */
export type NextPiece = (run: StreamRun) => Promise<SilenceRaceResult<StreamPiece>>

/** Forwards the events of one request to its caller, from one or several runs in sequence. */
export class StreamRelay {
  private readonly _request: GatewayRequest
  private readonly _resumable: boolean
  private _lastEventId: string | undefined
  private _hasEvents: boolean | undefined
  private _bytes = 0

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

  /** Bytes forwarded so far. */
  get bytes (): number {
    return this._bytes
  }

  /**
   * Creates a run whose response continues the stream.
   *
   * @param options - The run. Another one can replace it only where the stream can be resumed.
   * @returns The run.
   */
  createRun (options: StreamRunOptions): StreamRun {
    const { response, silenceMs } = options
    return new StreamRun({ ...options, silenceMs: this._resumable ? silenceMs : undefined }, {
      events: this._resumable ? new EventAssembler() : new EventPassThrough(),
      hasEvents: this._hasEvents ?? this._isEventStream(response),
      endsWithConnection: endedWithConnection(response, this._request.req.method)
    })
  }

  /**
   * Sends the head of a response to the caller, unless one has been sent.
   *
   * @param response - The response.
   */
  sendHead (response: StreamedResponse): void {
    const { res } = this._request
    if (res.headersSent) return
    this._hasEvents = this._isEventStream(response)
    res.writeHead(response.status, this._head(response))
    res.flushHeaders()
  }

  /**
   * Forwards the response of a run, and of those that replace it, until one ends.
   *
   * @param first - The run; only the head of the first response is sent to the caller.
   * @param nextPiece - Waits for the next piece.
   * @returns How the last run ended. After `Broken`, the caller's stream is still open.
   */
  async forward (first: StreamRun, nextPiece: NextPiece): Promise<RunEnd> {
    const { signal } = this._request
    let run = first
    let end: RunEnd | undefined
    try {
      while (end === undefined) {
        this.sendHead(run.options.response)
        const { own, replacement } = await nextPiece(run)
        if (replacement !== undefined) {
          run.end(RunEnd.Replaced)
          run = replacement
        } else if (own !== undefined) {
          run.take()
          await this._write(own, run)
          if (signal.aborted) end = RunEnd.Aborted
          else if (own.final) end = this._finish()
        }
      }
    } catch (err) {
      if (!(err instanceof ExchangeError)) throw err
      end = signal.aborted ? RunEnd.Aborted : RunEnd.Broken
    } finally {
      run.end(end ?? RunEnd.Broken)
    }
    return end
  }

  private _finish (): RunEnd {
    this._request.res.end()
    return RunEnd.Complete
  }

  /** A response without a type is a stream of events only on a route for streams. */
  private _isEventStream ({ headers }: StreamedResponse): boolean {
    const type = headers['content-type']?.split(';')[0]?.trim().toLowerCase()
    return type === undefined ? this._request.route.kind === RouteKind.Streaming : type === EVENT_STREAM
  }

  /** Drops the length of a stream of events: with it, a stream that ends inside an event would look complete to the caller. */
  private _head ({ headers }: StreamedResponse): ReturnType<typeof endToEndHeaders> {
    const { 'content-length': length, ...rest } = endToEndHeaders(headers)
    return this._resumable || this._hasEvents === true || length === undefined ? rest : { ...rest, 'content-length': length }
  }

  private async _write ({ bytes, lastId }: StreamPiece, run: StreamRun): Promise<void> {
    const { res, unread } = this._request
    this._lastEventId = lastId ?? this._lastEventId
    if (bytes.length === 0) return
    if (this._bytes === 0) run.options.onFirst()
    this._bytes += bytes.length
    if (res.write(bytes) || res.destroyed) return
    const held = bytes.length + READ_AHEAD_BYTES
    unread.add(held)
    await new Promise<void>(resolve => {
      const done = (): void => { res.off('drain', done); res.off('close', done); resolve() }
      res.on('drain', done)
      res.on('close', done)
    })
    unread.add(-held)
  }
}
