import { write } from 'node:fs'
import { Writable } from 'node:stream'
import { LOG_BUFFER_BYTES } from './constants.js'

/**
 * Stream to a file descriptor that never blocks the process: lines wait in a bounded buffer while the descriptor is slow.
 * Lines that do not fit are dropped, and their number is logged after the current write.
 */
export class BoundedOutput extends Writable {
  private readonly _fd: number
  private _pending: Buffer[] = []
  private _pendingBytes = 0
  private _writing = false
  private _dropped = 0
  private _waiting: Array<() => void> = []

  /**
   * @param fd - File descriptor, 1 for standard output.
   */
  constructor (fd: number) {
    super({ decodeStrings: true })
    this._fd = fd
  }

  /** Number of dropped lines that has not been logged yet. */
  get dropped (): number {
    return this._dropped
  }

  /**
   * Waits until the lines that are buffered now have been written.
   *
   * @returns A promise that resolves when no line waits any more; never while the descriptor accepts nothing.
   */
  async flushed (): Promise<void> {
    if (!this._writing) return
    await new Promise<void>(resolve => { this._waiting.push(resolve) })
  }

  /**
   * Buffers one line, or drops it when the buffer is full. Never applies backpressure.
   *
   * @param chunk - The line.
   * @param _encoding - Unused.
   * @param done - Called immediately.
   */
  override _write (chunk: Buffer, _encoding: BufferEncoding, done: () => void): void {
    if (this._pendingBytes + chunk.length > LOG_BUFFER_BYTES) this._dropped += 1
    else this._push(chunk)
    this._flush()
    done()
  }

  private _push (line: Buffer): void {
    this._pending.push(line)
    this._pendingBytes += line.length
  }

  private _flush (): void {
    if (this._writing) return
    if (this._pendingBytes === 0) {
      this._waiting.splice(0).forEach(resolve => resolve())
      return
    }
    const batch = Buffer.concat(this._pending, this._pendingBytes)
    this._pending = []
    this._pendingBytes = 0
    this._writeOut(batch)
  }

  private _writeOut (batch: Buffer): void {
    this._writing = true
    write(this._fd, batch, (err, written) => {
      this._writing = false
      const unwritten = err === null ? batch.subarray(written) : Buffer.alloc(0)
      if (err !== null) this._dropped += 1
      if (unwritten.length > 0) this._writeOut(unwritten)
      else this._writeNext()
    })
  }

  private _writeNext (): void {
    if (this._dropped > 0) {
      this._push(Buffer.from(`{"level":"warn","message":"log lines dropped","lines":${this._dropped}}\n`))
      this._dropped = 0
    }
    this._flush()
  }
}
