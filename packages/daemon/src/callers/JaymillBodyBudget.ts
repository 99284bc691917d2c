import type { ServerResponse } from 'node:http'
import { ErrorKind, RequestError } from '@jaymill/core'

const RETRY_AFTER_MS = 1_000

/** Limits the total size of the request bodies that a host holds in memory. */
export class BodyBudget {
  private readonly _maxBytes: number
  private _heldBytes = 0

  /**
   * @param maxBytes - Maximum total size of all held bodies, in bytes.
   */
  constructor (maxBytes: number) {
    this._maxBytes = maxBytes
  }

  /** Total size of the held bodies, in bytes. */
  get heldBytes (): number {
    return this._heldBytes
  }

  /**
   * Counts a body against the budget until its response closes, whether complete or because the caller disconnected.
   *
   * @param res - Response to the request whose body is being read.
   * @returns Function that adds bytes of the body; throws RequestError of kind `Overloaded` if the budget would be exceeded.
   */
  track (res: ServerResponse): (bytes: number) => void {
    let trackedBytes = 0
    res.once('close', () => {
      this._heldBytes -= trackedBytes
      trackedBytes = 0
    })
    return bytes => {
      if (this._heldBytes + bytes > this._maxBytes) throw this._overloadedError()
      this._heldBytes += bytes
      trackedBytes += bytes
    }
  }

  private _overloadedError (): RequestError {
    return new RequestError(ErrorKind.Overloaded, 'the memory for request bodies is used up', { retryAfterMs: RETRY_AFTER_MS })
  }
}
