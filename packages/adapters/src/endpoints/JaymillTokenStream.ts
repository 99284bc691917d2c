import { ErrorKind, RanState, RequestError, TokenEvent } from '@jaymill/core'
import { createParser, EventSourceMessage, EventSourceParser } from 'eventsource-parser'
import { MAX_EVENT_BYTES } from './constants.js'
import { STREAM_DONE, tokenDataSchema } from './JaymillEngineProtocol.js'

/** Parses the bytes of a server-sent event stream into tokens; chunks may split the bytes anywhere. */
export class TokenStream {
  private readonly _offset: number
  private _lastId: number
  private readonly _decoder = new TextDecoder()
  private readonly _parser: EventSourceParser
  private _tokens: TokenEvent[] = []
  private _done = false

  /**
   * @param offset - Number of tokens before the engine's first id.
   * @param lastId - Last id that arrived before this stream, in the numbering of the engine.
   */
  constructor (offset: number, lastId = 0) {
    this._offset = offset
    this._lastId = lastId
    this._parser = createParser({
      maxBufferSize: MAX_EVENT_BYTES,
      onEvent: event => this._onEvent(event),
      onError: err => {
        if (err.type === 'max-buffer-size-exceeded') throw invalidStream('an event is larger than allowed', err)
      }
    })
  }

  /**
   * @returns Whether the engine has ended the stream.
   */
  get done (): boolean {
    return this._done
  }

  /**
   * Parses the next bytes of the stream.
   *
   * @param chunk - Bytes as they arrived.
   * @returns Tokens that these bytes complete.
   * @throws RequestError of kind `EndpointFailed` when the bytes are not a token stream.
   */
  push (chunk: Uint8Array): readonly TokenEvent[] {
    this._parser.feed(this._decoder.decode(chunk, { stream: true }))
    const tokens = this._tokens
    this._tokens = []
    return tokens
  }

  private _onEvent (event: EventSourceMessage): void {
    if (event.data === STREAM_DONE) {
      this._done = true
      return
    }
    const id = Number(event.id)
    if (!Number.isSafeInteger(id) || id < 1) throw invalidStream('an event has no valid id')
    if (id > this._lastId + 1) throw invalidStream(`events from ${this._lastId + 1} to ${id - 1} are missing`)
    this._lastId = Math.max(this._lastId, id)
    this._tokens.push({ id: this._offset + id, ...parseToken(event.data) })
  }
}

function parseToken (data: string): Omit<TokenEvent, 'id'> {
  try {
    const { choices: [choice] } = tokenDataSchema.parse(JSON.parse(data))
    return { text: choice.text, finishReason: choice.finish_reason }
  } catch (err) {
    throw invalidStream('an event has no valid data', err)
  }
}

function invalidStream (message: string, cause?: unknown): RequestError {
  return new RequestError(ErrorKind.EndpointFailed, message, { ran: RanState.Unknown, cause })
}
