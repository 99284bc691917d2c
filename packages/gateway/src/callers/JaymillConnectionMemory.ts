import type { Socket } from 'node:net'
import { ErrorKind, HeldBytes, RequestError } from '@jaymill/core'
import { MEMORY_RETRY_AFTER_MS } from './constants.js'

/** A body that arrives on a connection. */
export interface BodyArrival {
  readonly pause: () => void
  readonly resume: () => void
  /** Ends it with an error. */
  readonly refuse: (err: RequestError) => void
}

/** Counts bytes of a connection. */
export type CountBytes = (connection: ConnectionMemory, kind: HeldBytes, bytes: number) => void

/** What one connection holds in the memory of the host. */
export class ConnectionMemory {
  /** The body that arrives, if any. */
  arrival: BodyArrival | undefined
  private readonly _socket: Socket
  private readonly _count: CountBytes
  private readonly _complete: (connection: ConnectionMemory, bytes: number) => void
  private _unreadBytes = 0
  private _headBytes = 0
  /** Bytes received on the connection before the next header; `undefined` while a request is in progress. */
  private _headStart: number | undefined = 0

  /**
   * @param socket - Socket of the connection.
   * @param count - Counts bytes toward the budget of the host.
   * @param complete - Counts an unfinished body as complete.
   */
  constructor (socket: Socket, count: CountBytes, complete: (connection: ConnectionMemory, bytes: number) => void) {
    this._socket = socket
    this._count = count
    this._complete = complete
  }

  /**
   * Counts bytes of a body.
   *
   * @param bytes - Additional bytes of the body that arrives, or the released ones of a complete body when negative.
   */
  addBody (bytes: number): void {
    this._count(this, bytes < 0 ? HeldBytes.Whole : HeldBytes.Unfinished, bytes)
  }

  /**
   * Counts the body that has arrived as complete.
   *
   * @param bytes - Its memory, in bytes.
   */
  completeBody (bytes: number): void {
    this._complete(this, bytes)
  }

  /**
   * Counts the released bytes of a body that has not become complete.
   *
   * @param bytes - Its memory, in bytes.
   */
  dropBody (bytes: number): void {
    this._count(this, HeldBytes.Unfinished, -bytes)
  }

  /**
   * Counts bytes of a response that the caller has not read.
   *
   * @param bytes - Additional bytes, or those that the caller has read when negative.
   */
  addUnread (bytes: number): void {
    this._unreadBytes += bytes
    this._count(this, HeldBytes.Unread, bytes)
  }

  /** Notes that a header has arrived as a whole. */
  requestBegan (): void {
    this._headStart = undefined
    this._countHead(0)
  }

  /** Notes that no request is in progress any more. */
  requestsEnded (): void {
    this._headStart = this._socket.bytesRead
  }

  /** Counts what has arrived of the next header. */
  countHead (): void {
    if (this._headStart !== undefined) this._countHead(this._socket.bytesRead - this._headStart)
  }

  /** Stops reading the body that arrives. */
  pause (): void {
    this.arrival?.pause()
  }

  /** Reads on. */
  resume (): void {
    this.arrival?.resume()
  }

  /** Frees what the connection holds: refuses the body that arrives, or closes the connection. */
  evict (): void {
    if (this.arrival !== undefined && this._unreadBytes === 0) this.arrival.refuse(memoryError())
    else this._socket.destroy()
  }

  private _countHead (bytes: number): void {
    const added = bytes - this._headBytes
    if (added === 0) return
    this._headBytes = bytes
    this._count(this, HeldBytes.Unfinished, added)
  }
}

function memoryError (): RequestError {
  return new RequestError(ErrorKind.Overloaded, 'the memory for requests is used up', { retryAfterMs: MEMORY_RETRY_AFTER_MS })
}
