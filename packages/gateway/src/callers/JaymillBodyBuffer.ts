/** Size above which memory is reserved for the whole body and used as the body grows, in bytes. */
const RESERVED_BYTES = 16_384

/** Step by which the used part of the reserved memory grows, in bytes. */
const STEP_BYTES = 65_536

/** Size of the first memory of a body, in bytes. */
const FIRST_BYTES = 1_024

/**
 * Memory of one body. A small body moves as it grows; a large one stays in place. Released memory is freed by the garbage collector, since
 * a call to an endpoint may still send from it: an endpoint can respond before it has read the whole request.
 */
export class BodyBuffer {
  private readonly _maxBytes: number
  private _memory = new ArrayBuffer(0)
  private _size = 0

  /**
   * @param maxBytes - Maximum size of the body, in bytes.
   */
  constructor (maxBytes: number) {
    this._maxBytes = maxBytes
  }

  /** Memory in use, in bytes. */
  get capacity (): number {
    return this._memory.byteLength
  }

  /** Size of the body so far, in bytes. */
  get size (): number {
    return this._size
  }

  /** The body so far; empty after the release. */
  get bytes (): Buffer {
    return Buffer.from(this._memory, 0, Math.min(this._size, this.capacity))
  }

  /**
   * Appends a part.
   *
   * @param part - The part; not larger than what is left of the maximum size.
   * @returns Additional memory, in bytes.
   */
  append (part: Buffer): number {
    const before = this.capacity
    const size = this._size + part.length
    if (size > before) this._grow(size)
    new Uint8Array(this._memory).set(part, this._size)
    this._size = size
    return this.capacity - before
  }

  /** Gives the memory up. */
  release (): void {
    this._memory = new ArrayBuffer(0)
  }

  private _grow (size: number): void {
    if (this._memory.resizable) this._memory.resize(this._reserved(size))
    else this._move(size > RESERVED_BYTES ? this._reserve(size) : new ArrayBuffer(Math.min(this._maxBytes, Math.max(FIRST_BYTES, size, this.capacity * 2))))
  }

  private _reserve (size: number): ArrayBuffer {
    return new ArrayBuffer(this._reserved(size), { maxByteLength: this._maxBytes })
  }

  private _reserved (size: number): number {
    return Math.min(this._maxBytes, Math.ceil(size / STEP_BYTES) * STEP_BYTES)
  }

  private _move (memory: ArrayBuffer): void {
    new Uint8Array(memory).set(new Uint8Array(this._memory, 0, this._size))
    this._memory = memory
  }
}
