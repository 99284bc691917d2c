import type { Socket } from 'node:net'
import { ErrorKind, HeldBytes, RequestError } from '@jaymill/core'
import { MEMORY_RETRY_AFTER_MS } from './constants.js'
import type { HeaderSize } from './JaymillHeaderSize.js'
import { RequestMemory } from './JaymillRequestMemory.js'
import { RequestObjects } from './JaymillRequestObjects.js'

/** A body that arrives on a connection. */
export interface BodyArrival {
  /** Returns its size so far, in bytes. */
  readonly size: () => number
  readonly pause: () => void
  readonly resume: () => void
  /** Ends it with an error. */
  readonly refuse: (err: RequestError) => void
}

/** What bytes are held in. */
export enum Storage {
  /** Buffers, outside of the JavaScript heap. */
  Buffers = 'buffers',
  /** Objects in the JavaScript heap. */
  Objects = 'objects'
}

/** Counts bytes of a connection. */
export type CountBytes = (connection: ConnectionMemory, kind: HeldBytes, bytes: number, storage: Storage) => void

/** Counts bytes of a connection as another kind. */
export type MoveBytes = (connection: ConnectionMemory, bytes: number, from: HeldBytes, to: HeldBytes) => void

/** What one connection holds in the memory of the host. */
export class ConnectionMemory {
  /** The body that arrives, if any. */
  arrival: BodyArrival | undefined
  private readonly _socket: Socket
  private readonly _count: CountBytes
  private readonly _move: MoveBytes
  private readonly _objects: RequestObjects
  private _unreadBytes = 0
  private _inputBytes = 0

  /**
   * @param socket - Socket of the connection.
   * @param count - Counts bytes toward the budget of the host.
   * @param move - Counts bytes as another kind.
   * @param objects - Objects of all requests of the host.
   */
  constructor (socket: Socket, count: CountBytes, move: MoveBytes, objects = new RequestObjects()) {
    this._socket = socket
    this._count = count
    this._move = move
    this._objects = objects
  }

  /**
   * Counts bytes of a body.
   *
   * @param bytes - Additional bytes of the body that arrives, or the released ones of a complete body when negative.
   */
  addBody (bytes: number): void {
    this._count(this, bytes < 0 ? HeldBytes.Whole : HeldBytes.Unfinished, bytes, Storage.Buffers)
  }

  /**
   * Counts the body that has arrived as complete.
   *
   * @param bytes - Its memory, in bytes.
   */
  completeBody (bytes: number): void {
    this._move(this, bytes, HeldBytes.Unfinished, HeldBytes.Whole)
  }

  /**
   * Counts the released bytes of a body that has not become complete.
   *
   * @param bytes - Its memory, in bytes.
   */
  dropBody (bytes: number): void {
    this._count(this, HeldBytes.Unfinished, -bytes, Storage.Buffers)
  }

  /**
   * Counts bytes of a response that the caller has not read.
   *
   * @param bytes - Additional bytes, or those that the caller has read when negative.
   */
  addUnread (bytes: number): void {
    this._unreadBytes += bytes
    this._count(this, HeldBytes.Unread, bytes, Storage.Buffers)
  }

  /**
   * Counts the objects of a request that has begun. It counts as complete until its body begins to arrive.
   *
   * @param header - Size of its header.
   * @returns Its memory.
   */
  addRequest (header: HeaderSize): RequestMemory {
    const bytes = this._objects.add(header)
    this._count(this, HeldBytes.Whole, bytes, Storage.Objects)
    return new RequestMemory(bytes, (from, to) => this._move(this, bytes, from, to), kind => {
      this._count(this, kind, -bytes, Storage.Objects)
      this._objects.remove(bytes)
    })
  }

  /**
   * Tells whether the next header of the connection has to wait.
   *
   * @param go - Called as soon as it need not wait any more.
   * @returns Whether it has to.
   */
  mustWait (go: () => void): boolean {
    if (!this._objects.isFull) return false
    this._objects.onRoom(go)
    return true
  }

  /**
   * Counts what has arrived and belongs to no request yet.
   *
   * @param header - Size of a header that has not arrived as a whole.
   * @param waitingBytes - Bytes that wait to be parsed.
   */
  countInput (header: HeaderSize, waitingBytes: number): void {
    const bytes = this._objects.headerBytes(header) + waitingBytes
    const added = bytes - this._inputBytes
    if (added === 0) return
    this._inputBytes = bytes
    this._count(this, HeldBytes.Unfinished, added, Storage.Objects)
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
}

/** Returns the refusal of a request that has not run, because the memory for requests is used up. */
export function memoryError (): RequestError {
  return new RequestError(ErrorKind.Overloaded, 'the memory for requests is used up', { retryAfterMs: MEMORY_RETRY_AFTER_MS })
}
