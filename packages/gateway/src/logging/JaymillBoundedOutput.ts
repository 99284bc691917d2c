import { write } from 'node:fs'
import { Writable } from 'node:stream'
import { LOG_BUFFER_BYTES } from './constants.js'

/**
 * Stream to a file descriptor that never blocks the process: lines wait in a bounded buffer while the descriptor is slow;
 * what does not fit is dropped and counted, and the count is written as soon as there is room.
 */
export class BoundedOutput extends Writable {
  private readonly _fd: number
  private _waiting: Buffer[] = []
  private _waitingBytes = 0
  private _writing = false
  private _dropped = 0

  /**
   * @param fd - File descriptor, 1 for standard output.
   */
  constructor (fd: number) {
    super({ decodeStrings: true })
    this._fd = fd
  }

  /** Lines dropped so far that no line has told of. */
  get dropped (): number {
    return this._dropped
  }

  /**
   * Takes one line; it is never held back.
   *
   * @param chunk - The line.
   * @param _encoding - Unused.
   * @param done - Called at once.
   */
  override _write (chunk: Buffer, _encoding: BufferEncoding, done: () => void): void {
    if (this._waitingBytes + chunk.length > LOG_BUFFER_BYTES) this._dropped += 1
    else this._push(chunk)
    this._flush()
    done()
  }

  private _push (line: Buffer): void {
    this._waiting.push(line)
    this._waitingBytes += line.length
  }

  private _flush (): void {
    if (this._writing || this._waitingBytes === 0) return
    const batch = Buffer.concat(this._waiting, this._waitingBytes)
    this._waiting = []
    this._waitingBytes = 0
    this._writeOut(batch)
  }

  private _writeOut (batch: Buffer): void {
    this._writing = true
    write(this._fd, batch, (err, written) => {
      this._writing = false
      const rest = err === null ? batch.subarray(written) : Buffer.alloc(0)
      if (err !== null) this._dropped += 1
      if (rest.length > 0) this._writeOut(rest)
      else this._next()
    })
  }

  private _next (): void {
    if (this._dropped > 0) {
      this._push(Buffer.from(`{"level":"warn","message":"log lines dropped","lines":${this._dropped}}\n`))
      this._dropped = 0
    }
    this._flush()
  }
}
