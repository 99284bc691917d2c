import { type EventForwarding } from '@jaymill/core'
import { MAX_EVENT_BYTES } from '../endpoints/constants.js'
import { ExchangeError, ExchangeFailure } from '../endpoints/JaymillExchangeError.js'
import type { StreamedResponse } from '../endpoints/JaymillStreamedResponse.js'

/** How one run of a stream ended. */
export enum RunEnd {
  Complete = 'complete',
  /** The response broke off or ended inside an event; another run may continue the stream. */
  Broken = 'broken',
  /** It had fallen silent, and another run continues the stream. */
  Replaced = 'replaced',
  /** It was to replace a silent run, which has continued itself. */
  Unneeded = 'unneeded',
  /** The caller has disconnected, or the request was aborted. */
  Aborted = 'ended'
}

/** Part of a response that can be forwarded. */
export interface StreamPiece {
  readonly bytes: Buffer
  /** Id of the last event in them, only where the stream can be resumed. */
  readonly lastId?: string
  /** Whether the response has ended as complete. */
  readonly final: boolean
}

/** What a run consists of, and who is told about it. */
export interface StreamRunOptions {
  readonly response: StreamedResponse
  /** Endpoint or host that sends the response. */
  readonly target: string
  /** Time without data after which another run may replace this one, in milliseconds; `undefined` where none may. */
  readonly silenceMs: number | undefined
  /** Aborted when the run has ended. */
  readonly finished: AbortController
  /** Called when the first bytes of the caller's response come from this run. */
  readonly onFirst: () => void
  /** Called when events have arrived completely. */
  readonly onEvents: () => void
  /** Called when the run has fallen silent. */
  readonly onSilent: () => void
  /** Called when it has sent data after that. */
  readonly onContinued: () => void
  /** Called once, with how the run ended and, if its response broke off, how. */
  readonly onEnd: (end: RunEnd, failure: ExchangeFailure | undefined) => void
}

/** How the bytes of a response are read. */
export interface StreamFormat {
  readonly events: EventForwarding
  /** Whether the response consists of server-sent events. */
  readonly hasEvents: boolean
  /** Whether only the end of its connection marks the end of the response. */
  readonly endsWithConnection: boolean
}

/** Reads the response of one run of a stream. */
export class StreamRun {
  readonly options: StreamRunOptions
  private readonly _format: StreamFormat
  private readonly _chunks: AsyncIterator<Buffer>
  private _next: Promise<StreamPiece> | undefined
  private _failure: ExchangeFailure | undefined
  private _bytes = 0
  private _ended = false

  /**
   * @param options - The run.
   * @param format - How its response is read.
   */
  constructor (options: StreamRunOptions, format: StreamFormat) {
    this.options = options
    this._format = format
    this._chunks = (options.response.body as AsyncIterable<Buffer>)[Symbol.asyncIterator]()
  }

  /** Whether only the end of its connection marks the end of the response. */
  get endsWithConnection (): boolean {
    return this._format.endsWithConnection
  }

  /**
   * Waits for the next piece of the response, which stays the next one until it is taken.
   *
   * @returns The piece: complete events where the stream can be resumed, and the end of the response.
   * @throws ExchangeError when the response breaks off or ends inside an event.
   */
  async peek (): Promise<StreamPiece> {
    this._next ??= this._read()
    return await this._next
  }

  /** Takes the next piece, so that the one after it is read. */
  take (): void {
    this._next = undefined
  }

  /**
   * Ends the run. Its connection is closed unless the response is complete.
   *
   * @param end - How it ended; only the first call counts.
   */
  end (end: RunEnd): void {
    if (this._ended) return
    this._ended = true
    const { response, finished, onEnd } = this.options
    response.body.destroy()
    onEnd(end, this._failure)
    finished.abort()
  }

  private async _read (): Promise<StreamPiece> {
    try {
      return await this._readPiece()
    } catch (err) {
      if (err instanceof ExchangeError) this._failure = err.failure
      throw err
    }
  }

  private async _readPiece (): Promise<StreamPiece> {
    const { done, value } = await this._chunks.next()
    if (done === true) return this._finalPiece()
    const piece = this._pieceOf(value)
    return piece.bytes.length > 0 ? piece : await this._readPiece()
  }

  private _pieceOf (chunk: Buffer): StreamPiece {
    const { events } = this._format
    const eventsBefore = events.events
    const { bytes, lastId } = events.push(chunk)
    if (events.pendingBytes > MAX_EVENT_BYTES) throw new ExchangeError(ExchangeFailure.Malformed, `an event exceeds ${MAX_EVENT_BYTES} bytes`)
    if (events.events > eventsBefore) this.options.onEvents()
    this._bytes += bytes.length
    return { bytes, final: false, ...(lastId === undefined ? {} : { lastId }) }
  }

  private _finalPiece (): StreamPiece {
    const { events, hasEvents, endsWithConnection } = this._format
    const isEmpty = this._bytes === 0 && endsWithConnection
    if (hasEvents && (events.insideEvent || isEmpty)) throw new ExchangeError(ExchangeFailure.Broken, 'the response ended inside an event')
    return { bytes: events.end(), final: true }
  }
}
