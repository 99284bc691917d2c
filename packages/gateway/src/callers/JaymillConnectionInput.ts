import type { IncomingMessage, ServerResponse } from 'node:http'
import type { Socket } from 'node:net'
import { RESET_CHECK_MS } from './constants.js'
import type { HeaderSize } from './JaymillHeaderSize.js'

/** Largest piece of received bytes that is parsed before the limits are checked again. */
const PIECE_BYTES = 1_024

/** End of a request header, and the smallest size of a header before it. */
const BLANK_LINE = '\n\r\n'
const MIN_HEADER_BYTES = 16

const LINE_FEED = 0x0a

const NO_BYTES = Buffer.alloc(0)

/** What limits the input of a connection. */
export interface InputLimits {
  /** Returns the number of requests without a whole response at which the bytes of further ones are not parsed. */
  readonly maxOpenRequests: () => number
  /** Whether the connection takes no further request, so that what follows is dropped. */
  readonly isEnding: () => boolean
  /** Returns whether the next request has to wait for memory of the host, and calls the function as soon as it need not. */
  readonly mustWait: (go: () => void) => boolean
  /** Returns the size of the body that arrives, in bytes. */
  readonly bodySize: () => number
  /**
   * Told how large the header is that has not arrived as a whole, and how many received bytes wait.
   *
   * @param header - Size of that header, or of the trailers of a body.
   * @param waitingBytes - Bytes that have been received and not been parsed.
   */
  readonly onChange: (header: HeaderSize, waitingBytes: number) => void
}

const NO_HEADER: HeaderSize = { bytes: 0, lines: 0 }

/**
 * Passes what arrives on a connection to the HTTP parser of its listener, piece by piece. The parser creates objects for all requests in the
 * bytes that it gets, whether or not earlier ones were responded to. What would exceed the limits, and a body that is not read for now,
 * waits unparsed.
 */
export class ConnectionInput {
  private readonly _socket: Socket
  private readonly _limits: InputLimits
  private readonly _parse: (bytes: Buffer) => void
  private readonly _go = (): void => this._continue()
  private _openRequests = 0
  private _latest: IncomingMessage | undefined
  private _header = NO_HEADER
  private _waits = false
  /** Whether a check is scheduled. */
  private _continues = false
  private _stopped = false
  private _resetCheck: NodeJS.Timeout | undefined

  /**
   * @param socket - Socket of the connection, which its listener has begun to read.
   * @param limits - Limits.
   */
  constructor (socket: Socket, limits: InputLimits) {
    this._socket = socket
    this._limits = limits
    const parsers = socket.listeners('data') as Array<(bytes: Buffer) => void>
    this._parse = bytes => parsers.forEach(parse => parse(bytes))
    socket.once('close', () => clearInterval(this._resetCheck))
    socket.removeAllListeners('data').on('data', (bytes: Buffer) => this._received(bytes))
  }

  /**
   * Notes that the header of a request has arrived as a whole.
   *
   * @param req - The request.
   * @param res - Its response.
   */
  requestBegan (req: IncomingMessage, res: ServerResponse): void {
    this._openRequests += 1
    this._latest = req
    this._header = NO_HEADER
    req.on('resume', this._go)
    res.once('close', () => {
      this._openRequests -= 1
      if (this._latest === req && req.complete) this._latest = undefined
      this._continue()
    })
  }

  /** Drops all that follows, because it can't be read. */
  stop (): void {
    this._stopped = true
    this._continue()
  }

  private _received (bytes: Buffer): void {
    this._waits = false
    clearInterval(this._resetCheck)
    const rest = this._parseAllowed(bytes)
    if (rest.length > 0 && !this._socket.destroyed) this._wait(rest)
    this._limits.onChange(this._header, this._socket.readableLength)
  }

  /** Returns what has to wait. */
  private _parseAllowed (bytes: Buffer): Buffer {
    let rest = bytes
    while (rest.length > 0 && !this._socket.isPaused() && !this._isHeld()) {
      if (this._isDropped()) return rest.subarray(rest.length)
      const piece = rest.subarray(0, this._pieceLength(rest))
      rest = rest.subarray(piece.length)
      this._parsePiece(piece)
    }
    return rest
  }

  private _parsePiece (piece: Buffer): void {
    const latest = this._latest
    const bodyArrived = this._bodyArrives
    const bodySize = this._limits.bodySize()
    this._parse(piece)
    if (this._latest !== latest || this._bodyArrives !== bodyArrived || this._limits.bodySize() !== bodySize) {
      this._header = NO_HEADER
      return
    }
    const lines = piece.reduce((count, byte) => count + Number(byte === LINE_FEED), 0)
    this._header = { bytes: this._header.bytes + piece.length, lines: this._header.lines + lines }
  }

  /** The bytes are put back into the buffer of the socket, which reads no more than fits into it. */
  private _wait (rest: Buffer): void {
    this._waits = !this._socket.isPaused()
    this._socket.pause()
    this._socket.unshift(rest)
    this._resetCheck = setInterval(() => this._checkReset(), RESET_CHECK_MS)
  }

  /** A socket that is not read learns of a reset when it writes; no bytes are enough. */
  private _checkReset (): void {
    if (this._socket.writable) this._socket.write(NO_BYTES)
    else clearInterval(this._resetCheck)
  }

  /**
   * A socket that its listener has paused goes on by itself. Other connections get their turn before: requests that are responded to at once
   * would otherwise follow one another without a return to the event loop.
   */
  private _continue (): void {
    if (!this._waits || this._continues) return
    this._continues = true
    setImmediate(() => {
      this._continues = false
      if (this._waits && !this._isHeld()) this._socket.resume()
    })
  }

  private get _bodyArrives (): boolean {
    return this._latest?.complete === false
  }

  /** A header ends where a piece ends, so that the parser begins no further one while the limit is reached. */
  private _pieceLength (bytes: Buffer): number {
    const piece = bytes.subarray(0, PIECE_BYTES)
    if (this._bodyArrives) return piece.length
    const end = piece.indexOf(BLANK_LINE, MIN_HEADER_BYTES)
    return end === -1 ? piece.length : end + BLANK_LINE.length
  }

  private _isDropped (): boolean {
    return this._stopped || this._socket.destroyed || (!this._bodyArrives && this._limits.isEnding())
  }

  private _isHeld (): boolean {
    if (this._isDropped()) return false
    if (this._bodyArrives) return this._latest?.isPaused() === true
    return this._openRequests >= this._limits.maxOpenRequests() || this._limits.mustWait(this._go)
  }
}
