import type { ServerResponse } from 'node:http'
import { ErrorKind, RequestError } from '@jaymill/core'

const RETRY_AFTER_MS = 1_000

/** Bounds the request bodies that a host holds in memory together. */
export class BodyBudget {
  private readonly _maxBytes: number
  private _heldBytes = 0

  /**
   * @param maxBytes - Bytes of all held bodies together.
   */
  constructor (maxBytes: number) {
    this._maxBytes = maxBytes
  }

  /** Bytes held now. */
  get heldBytes (): number {
    return this._heldBytes
  }

  /**
   * Starts to hold a body, until its response has ended or its caller is gone.
   *
   * @param res - Response to the request whose body is read.
   * @returns Takes further bytes; throws RequestError of kind `Overloaded` when the bound is reached.
   */
  hold (res: ServerResponse): (bytes: number) => void {
    let held = 0
    res.once('close', () => {
      this._heldBytes -= held
      held = 0
    })
    return bytes => {
      if (this._heldBytes + bytes > this._maxBytes) throw this._refusal()
      this._heldBytes += bytes
      held += bytes
    }
  }

  private _refusal (): RequestError {
    return new RequestError(ErrorKind.Overloaded, 'the bodies of waiting requests fill their memory', { retryAfterMs: RETRY_AFTER_MS })
  }
}
