import type { MemoryCapacity } from '@jaymill/core'
import { FIELD_BYTES, REQUEST_BYTES, TEXT_COPIES } from './constants.js'
import type { HeaderSize } from './JaymillHeaderSize.js'

/** Ratio of the objects of all requests to the budget of the host above which further ones wait: refused requests stay for a short time. */
const MAX_RATIO = 1.25

/**
 * Counts the objects of all requests in the JavaScript heap. They stay until the response has ended, also those of a request that was refused
 * to make room: while too many do, further requests wait unparsed.
 */
export class RequestObjects {
  private _limits: MemoryCapacity | undefined
  private _bytes = 0
  private _waiting = new Set<() => void>()

  /**
   * @param limits - Limits of the host; `undefined` for none.
   */
  constructor (limits?: MemoryCapacity) {
    this._limits = limits
  }

  /** Whether the next header has to wait. */
  get isFull (): boolean {
    return this._limits !== undefined && this._bytes > this._limits.maxBytes * MAX_RATIO
  }

  /**
   * Replaces the limits of a host that has any.
   *
   * @param limits - The limits.
   */
  applyLimits (limits: MemoryCapacity): void {
    this._limits = limits
  }

  /**
   * Returns what a header counts as toward the budget of the host, in bytes.
   *
   * @param header - Size of the header.
   */
  headerBytes ({ bytes, lines }: HeaderSize): number {
    return Math.ceil((bytes * TEXT_COPIES + lines * FIELD_BYTES) * (this._limits?.objectWeight ?? 1))
  }

  /**
   * Adds a request.
   *
   * @param header - Size of its header.
   * @returns What it counts as toward the budget of the host, in bytes.
   */
  add (header: HeaderSize): number {
    const bytes = this.headerBytes(header) + Math.ceil(REQUEST_BYTES * (this._limits?.objectWeight ?? 1))
    this._bytes += bytes
    return bytes
  }

  /**
   * Removes a request whose response has ended.
   *
   * @param bytes - What it has counted as.
   */
  remove (bytes: number): void {
    this._bytes -= bytes
    if (this.isFull || this._waiting.size === 0) return
    const waiting = this._waiting
    this._waiting = new Set()
    waiting.forEach(go => go())
  }

  /**
   * Lets a connection go on as soon as its next header need not wait.
   *
   * @param go - Called once.
   */
  onRoom (go: () => void): void {
    this._waiting.add(go)
  }
}
