import { Socket, type SocketConstructorOpts } from 'node:net'
import { errors } from 'undici'
import { HeadVerdict, ResponseHeadCheck } from './JaymillResponseHeadCheck.js'

const NO_BYTES = Buffer.alloc(0)

/** Encoding that Node.js names for a buffer; the declaration leaves it out. */
const BUFFER_ENCODING = 'buffer' as BufferEncoding

/** Bytes that a connection buffers in each direction. */
const BUFFER_BYTES = 65_536

/** Creates the errors of the heads that are not accepted. */
const FAILURES: Readonly<Partial<Record<HeadVerdict, () => Error>>> = {
  [HeadVerdict.Malformed]: () => new errors.HTTPParserError('Response does not match the HTTP/1.1 protocol (Invalid version or status)'),
  [HeadVerdict.TooLarge]: () => new errors.HeadersOverflowError('The head of the response has too many bytes or lines')
}

const RESET_CODE = 'ECONNRESET'

/**
 * Connection of an HTTP client that tells a reset from a regular end. libuv reports a reset that it finds together with data as a
 * regular end, which would complete a body without a length (RFC 9112, section 8).
 *
 * Either end is reported to a reader that has read all bytes and asks for more: undici's parser fails with an assertion, which ends
 * the process, when a connection ends while a body is paused.
 *
 * A response with a head that `ResponseHeadCheck` does not accept ends the connection with an `HTTPParserError`, or with a
 * `HeadersOverflowError` when it is too large.
 */
export class ConnectionSocket extends Socket {
  /** Reports the end that the peer has brought about. */
  private _reportEnd: (() => void) | undefined
  /** Whether the reader has read all bytes and asks for more. */
  private _wantsMore = false
  private readonly _heads = new ResponseHeadCheck()

  constructor () {
    // The declaration leaves out the options of streams.
    super({ highWaterMark: BUFFER_BYTES } as SocketConstructorOpts)
  }

  /** Announces that a request is about to be sent. */
  expectResponse (): void {
    this._heads.expectResponse()
  }

  /**
   * Adds received bytes, or the end of the connection.
   *
   * @param chunk - The bytes; `null` at the end.
   * @param encoding - Encoding of a string.
   * @returns Whether more bytes may be added.
   */
  override push (chunk: unknown, encoding?: BufferEncoding): boolean {
    const failure = chunk instanceof Buffer ? FAILURES[this._heads.check(chunk)]?.() : undefined
    if (failure !== undefined) {
      this.destroy(failure)
      return false
    }
    if (chunk !== null) return super.push(chunk, encoding)
    this._checkReset(err => {
      if (err === undefined) this._endAfterData(() => this._end())
      else this.destroy(err)
    })
    return false
  }

  /**
   * Reads received bytes.
   *
   * @param size - Number of bytes; all that have been received when absent.
   * @returns The bytes; `null` when there are none.
   */
  override read (size?: number): unknown {
    const chunk: unknown = super.read(size)
    if (chunk === null && size === undefined && this._reportEnd !== undefined) {
      this._wantsMore = true
      process.nextTick(() => { if (this._wantsMore) this._reportEnd?.() })
    }
    return chunk
  }

  /**
   * Puts bytes back that the reader does not take yet. undici's parser does so whenever it pauses, with no bytes if it has taken all.
   *
   * @param chunk - The bytes.
   * @param encoding - Encoding of a string.
   */
  override unshift (chunk: unknown, encoding?: BufferEncoding): void {
    this._wantsMore = false
    super.unshift(chunk, encoding)
  }

  /**
   * Closes the connection; after a reset, not before the received bytes have been read.
   *
   * @param err - Reason.
   * @returns This connection.
   */
  override destroy (err?: Error): this {
    if (!isReset(err) || this.readableLength === 0) return super.destroy(err)
    this._endAfterData(() => super.destroy(err))
    return this
  }

  private _endAfterData (report: () => void): void {
    this._reportEnd = () => {
      this._reportEnd = undefined
      report()
    }
    this.emit('readable')
  }

  private _end (): void {
    super.push(null)
    this.read(0)
  }

  /**
   * Finds out whether the peer has reset the connection. A write of no bytes sends nothing, but fails with the error that the
   * connection has: `ECONNRESET` after a reset, `EPIPE` after a reset that followed a regular end.
   */
  private _checkReset (done: (reset: Error | undefined) => void): void {
    super._write(NO_BYTES, BUFFER_ENCODING, err => done(isReset(err) ? err : undefined))
  }
}

/**
 * Tells whether an error means that the peer has reset the connection.
 *
 * @param err - Error of a connection, if any.
 * @returns Whether it has.
 */
export function isReset (err: Error | null | undefined): err is NodeJS.ErrnoException {
  return err instanceof Error && 'code' in err && err.code === RESET_CODE
}
