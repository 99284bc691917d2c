import { ErrorKind, JaymillError, RanState } from '../errors/JaymillError.js'
import { RequestError } from '../errors/JaymillRequestError.js'
import { TokenEvent } from '../ports/JaymillEngineClient.js'
import { MAX_ANSWER_BYTES, TOKEN_OVERHEAD_BYTES } from './constants.js'

/** How far an answer is. */
export enum AnswerState {
  Running = 'running',
  /** Ended after its last token. */
  Complete = 'complete',
  /** Ended by a failure; the tokens so far stay usable. */
  Failed = 'failed'
}

/** One caller connection that reads an answer. */
export class AnswerReader {
  private readonly _buffer: AnswerBuffer
  private readonly _wake: () => void
  private _lastId: number
  private _superseded = false

  /**
   * @param buffer - Answer to be read.
   * @param lastId - Last id that the caller has.
   * @param wake - Called when there may be more to take.
   */
  constructor (buffer: AnswerBuffer, lastId: number, wake: () => void) {
    this._buffer = buffer
    this._lastId = lastId
    this._wake = wake
  }

  /**
   * @returns Whether nothing more will come after what `take` returns.
   */
  get ended (): boolean {
    return this._superseded || this._buffer.state !== AnswerState.Running
  }

  /**
   * @returns Tokens that this reader has not had.
   * @throws RequestError of kind `Superseded` after a newer connection took over, or the answer's own failure.
   */
  take (): readonly TokenEvent[] {
    if (this._superseded) {
      throw new RequestError(ErrorKind.Superseded, 'a newer connection reads this answer', { ran: RanState.Yes })
    }
    const tokens = this._buffer.after(this._lastId)
    this._lastId += tokens.length
    if (tokens.length === 0 && this._buffer.failure !== null) throw this._buffer.failure
    return tokens
  }

  /** Ends this reader because a newer one took over. */
  supersede (): void {
    this._superseded = true
    this._wake()
  }

  /** Tells the reader to look again. */
  wake (): void {
    this._wake()
  }
}

/** Tokens of one answer, from which one caller connection at a time reads at its own pace. */
export class AnswerBuffer {
  /** Largest attempt number that has run for it. */
  attempt = 0
  private readonly _tokens: TokenEvent[] = []
  private _bytes = 0
  private _state = AnswerState.Running
  private _failure: JaymillError | null = null
  private _reader: AnswerReader | null = null
  private readonly _onBytes: (bytes: number) => void

  /**
   * @param onBytes - Called with the bytes of each token that is kept.
   */
  constructor (onBytes: (bytes: number) => void = () => {}) {
    this._onBytes = onBytes
  }

  /**
   * @returns How far the answer is.
   */
  get state (): AnswerState {
    return this._state
  }

  /**
   * @returns Why the answer failed, if it did.
   */
  get failure (): JaymillError | null {
    return this._failure
  }

  /**
   * @returns Memory held, in bytes.
   */
  get bytes (): number {
    return this._bytes
  }

  /**
   * @param lastId - Last id known.
   * @returns Tokens after it.
   */
  after (lastId: number): readonly TokenEvent[] {
    return this._tokens.slice(lastId)
  }

  /**
   * @param token - Next token; ignored after the end.
   * @throws RequestError of kind `TooLarge` when the answer outgrows its bound.
   */
  append (token: TokenEvent): void {
    if (this._state !== AnswerState.Running) return
    const size = Buffer.byteLength(token.text) + TOKEN_OVERHEAD_BYTES
    if (this._bytes + size > MAX_ANSWER_BYTES) {
      throw new RequestError(ErrorKind.TooLarge, 'the answer is larger than allowed', { ran: RanState.Yes })
    }
    this._bytes += size
    this._onBytes(size)
    this._tokens.push(token)
    this._reader?.wake()
  }

  /**
   * Ends the answer.
   *
   * @param failure - Why it is incomplete; `null` when it is complete.
   */
  end (failure: JaymillError | null): void {
    if (this._state !== AnswerState.Running) return
    this._failure = failure
    this._state = failure === null ? AnswerState.Complete : AnswerState.Failed
    this._reader?.wake()
  }

  /**
   * Lets a connection read; the connection before it is superseded, so that nothing is answered twice.
   *
   * @param lastId - Last id that the caller has (`Last-Event-ID`); 0 for all.
   * @param wake - Called when there may be more to take.
   * @returns The reader.
   * @throws RequestError of kind `BadRequest` when the caller claims tokens that do not exist yet.
   */
  attach (lastId: number, wake: () => void): AnswerReader {
    if (!Number.isSafeInteger(lastId) || lastId < 0 || lastId > this._tokens.length) {
      throw new RequestError(ErrorKind.BadRequest, 'Last-Event-ID is not an id of this answer')
    }
    this._reader?.supersede()
    this._reader = new AnswerReader(this, lastId, wake)
    return this._reader
  }

  /**
   * Detaches a reader whose caller has gone.
   *
   * @param reader - The reader.
   * @returns Whether nobody reads the answer now.
   */
  detach (reader: AnswerReader): boolean {
    if (this._reader === reader) this._reader = null
    return this._reader === null
  }
}
