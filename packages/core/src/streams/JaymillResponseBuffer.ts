import { ErrorKind, JaymillError, RanState } from '../errors/JaymillError.js'
import { RequestError } from '../errors/JaymillRequestError.js'
import { TokenEvent } from '../ports/JaymillEngineClient.js'
import { MAX_RESPONSE_BYTES, TOKEN_OVERHEAD_BYTES } from './constants.js'

/** State of a response. */
export enum ResponseState {
  Running = 'running',
  /** Ended after its last token. */
  Complete = 'complete',
  /** Ended by a failure; the tokens so far remain usable. */
  Failed = 'failed'
}

/** One caller connection that reads a response. */
export class ResponseReader {
  private readonly _buffer: ResponseBuffer
  private readonly _wake: () => void
  private _lastId: number
  private _superseded = false

  /**
   * @param buffer - Response to read.
   * @param lastId - Id of the last token that the caller has.
   * @param wake - Called when `take` may return more.
   */
  constructor (buffer: ResponseBuffer, lastId: number, wake: () => void) {
    this._buffer = buffer
    this._lastId = lastId
    this._wake = wake
  }

  /**
   * @returns Whether no more tokens will follow those that `take` returns.
   */
  get ended (): boolean {
    return this._superseded || this._buffer.state !== ResponseState.Running
  }

  /**
   * Takes the tokens that this reader has not returned yet.
   *
   * @returns The tokens, in order.
   * @throws RequestError of kind `Superseded` after a newer connection took over, or the failure of the response.
   */
  take (): readonly TokenEvent[] {
    if (this._superseded) {
      throw new RequestError(ErrorKind.Superseded, 'a newer connection reads this response', { ran: RanState.Yes })
    }
    const tokens = this._buffer.tokensAfter(this._lastId)
    this._lastId += tokens.length
    if (tokens.length === 0 && this._buffer.failure !== null) throw this._buffer.failure
    return tokens
  }

  /** Ends this reader because a newer one took over. */
  supersede (): void {
    this._superseded = true
    this._wake()
  }

  /** Wakes the reader when tokens have arrived or the response has ended. */
  wake (): void {
    this._wake()
  }
}

/** Tokens of one response; one caller connection at a time reads them at its own rate. */
export class ResponseBuffer {
  /** Largest attempt number that has run for this response. */
  attempt = 0
  private readonly _tokens: TokenEvent[] = []
  private _bytes = 0
  private _state = ResponseState.Running
  private _failure: JaymillError | null = null
  private _reader: ResponseReader | null = null
  private readonly _onBytes: (bytes: number) => void

  /**
   * @param onBytes - Called with the size of each buffered token, in bytes.
   */
  constructor (onBytes: (bytes: number) => void = () => {}) {
    this._onBytes = onBytes
  }

  /**
   * @returns State of the response.
   */
  get state (): ResponseState {
    return this._state
  }

  /**
   * @returns Failure of the response, if any.
   */
  get failure (): JaymillError | null {
    return this._failure
  }

  /**
   * @returns Memory used, in bytes.
   */
  get bytes (): number {
    return this._bytes
  }

  /**
   * Returns the tokens after an id.
   *
   * @param lastId - Id of a token; 0 for all tokens.
   * @returns Tokens with larger ids, in order.
   */
  tokensAfter (lastId: number): readonly TokenEvent[] {
    return this._tokens.slice(lastId)
  }

  /**
   * Appends a token and wakes the reader.
   *
   * @param token - Next token; ignored after the end.
   * @throws RequestError of kind `TooLarge` if the response would exceed `MAX_RESPONSE_BYTES`.
   */
  append (token: TokenEvent): void {
    if (this._state !== ResponseState.Running) return
    const size = Buffer.byteLength(token.text) + TOKEN_OVERHEAD_BYTES
    if (this._bytes + size > MAX_RESPONSE_BYTES) {
      throw new RequestError(ErrorKind.TooLarge, 'the response is larger than allowed', { ran: RanState.Yes })
    }
    this._bytes += size
    this._onBytes(size)
    this._tokens.push(token)
    this._reader?.wake()
  }

  /**
   * Ends the response.
   *
   * @param failure - Why it is incomplete; `null` if it is complete.
   */
  end (failure: JaymillError | null): void {
    if (this._state !== ResponseState.Running) return
    this._failure = failure
    this._state = failure === null ? ResponseState.Complete : ResponseState.Failed
    this._reader?.wake()
  }

  /**
   * Attaches a connection and supersedes the previous one, so that only one connection receives the response.
   *
   * @param lastId - Id of the last token that the caller has (`Last-Event-ID`); 0 for all tokens.
   * @param wake - Called when `take` may return more.
   * @returns The reader.
   * @throws RequestError of kind `BadRequest` if the response has no token with this id yet.
   */
  attach (lastId: number, wake: () => void): ResponseReader {
    if (!Number.isSafeInteger(lastId) || lastId < 0 || lastId > this._tokens.length) {
      throw new RequestError(ErrorKind.BadRequest, 'Last-Event-ID is not an id of this response')
    }
    this._reader?.supersede()
    this._reader = new ResponseReader(this, lastId, wake)
    return this._reader
  }

  /**
   * Detaches a reader whose caller has disconnected.
   *
   * @param reader - The reader.
   * @returns Whether the response has no reader left.
   */
  detach (reader: ResponseReader): boolean {
    if (this._reader === reader) this._reader = null
    return this._reader === null
  }
}
