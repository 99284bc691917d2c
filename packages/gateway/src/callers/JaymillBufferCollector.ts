/** Runs the garbage collector, for young objects or for all. */
export type CollectGarbage = (options?: { readonly type: 'minor' }) => void

/** Bytes after which the memory of buffers is looked at. */
const CHECK_BYTES = 4_194_304

/**
 * Frees the memory of buffers that are no longer used. The garbage collector by itself waits until buffers have grown by 64 MiB, since
 * they lie outside of its heap. Node.js copies every part of a body that it reads into a buffer of its own.
 */
export class BufferCollector {
  private readonly _maxGarbageBytes: number
  private readonly _collect: CollectGarbage | undefined
  private readonly _bufferBytes: () => number
  private _bytes = 0

  /**
   * @param maxGarbageBytes - Memory of unused buffers above which it is freed, in bytes.
   * @param collect - Garbage collector; `undefined` when the process runs without `--expose-gc`, and nothing is freed early.
   * @param bufferBytes - Returns the memory of all buffers, in bytes.
   */
  constructor (maxGarbageBytes: number, collect = globalThis.gc as CollectGarbage | undefined, bufferBytes = () => process.memoryUsage().arrayBuffers) {
    this._maxGarbageBytes = maxGarbageBytes
    this._collect = collect
    this._bufferBytes = bufferBytes
  }

  /**
   * Notes bytes that were read or released.
   *
   * @param bytes - Number of bytes.
   * @param usedBytes - Bytes in buffers that are in use.
   */
  note (bytes: number, usedBytes: number): void {
    this._bytes += bytes
    if (this._collect === undefined || this._bytes < CHECK_BYTES) return
    this._bytes = 0
    const isTooMuch = (): boolean => this._bufferBytes() - usedBytes > this._maxGarbageBytes
    if (!isTooMuch()) return
    this._collect({ type: 'minor' })
    if (isTooMuch()) this._collect()
  }
}
