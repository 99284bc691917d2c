import { Socket, type SocketConstructorOpts } from 'node:net'

const NO_BYTES = Buffer.alloc(0)

/** Encoding that Node.js names for a buffer; the declaration leaves it out. */
const BUFFER_ENCODING = 'buffer' as BufferEncoding

/** Bytes that a connection buffers in each direction. */
const BUFFER_BYTES = 65_536

const RESET_CODE = 'ECONNRESET'

/**
 * Connection of an HTTP client that tells a reset from a regular end. libuv reports a reset that it finds together with data as a
 * regular end, which would complete a body without a length (RFC 9112, section 8).
 */
export class ConnectionSocket extends Socket {
  constructor () {
    // The declaration leaves out the options of streams.
    super({ highWaterMark: BUFFER_BYTES } as SocketConstructorOpts)
  }

  /**
   * Adds received bytes, or the end of the connection once it is known to be regular.
   *
   * @param chunk - The bytes; `null` at the end.
   * @param encoding - Encoding of a string.
   * @returns Whether more bytes may be added.
   */
  override push (chunk: unknown, encoding?: BufferEncoding): boolean {
    if (chunk !== null) return super.push(chunk, encoding)
    this._checkReset(err => {
      if (err === undefined) this._end()
      else this.destroy(err)
    })
    return false
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
