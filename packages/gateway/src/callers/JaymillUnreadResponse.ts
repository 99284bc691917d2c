import type { ServerResponse } from 'node:http'
import type { CallerConnection } from './JaymillCallerConnection.js'

/** Counts the bytes of one response that the host holds until its caller has read them. */
export class UnreadResponse {
  private readonly _connection: CallerConnection
  private _bytes = 0
  private _ended = false

  /**
   * @param connection - Connection of the caller.
   * @param res - The response; all bytes are removed at its end.
   */
  constructor (connection: CallerConnection, res: ServerResponse) {
    this._connection = connection
    connection.onEnd(res, () => {
      this._ended = true
      connection.memory.addUnread(-this._bytes)
    })
  }

  /**
   * Counts bytes.
   *
   * @param bytes - Additional bytes, or those that the caller has read when negative.
   */
  add (bytes: number): void {
    if (this._ended) return
    this._bytes += bytes
    this._connection.memory.addUnread(bytes)
  }
}
