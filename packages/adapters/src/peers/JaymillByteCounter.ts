import type { Socket } from 'node:net'

/** Bytes received and sent over connections. */
export interface ByteCounts {
  readonly bytesIn: number
  readonly bytesOut: number
}

/** Counts the bytes of all tracked connections, including headers. */
export class ByteCounter {
  private readonly _open = new Set<Socket>()
  private _closedIn = 0
  private _closedOut = 0

  /**
   * Counts the bytes of a connection until it closes.
   *
   * @param socket - Open connection.
   */
  track (socket: Socket): void {
    this._open.add(socket)
    socket.once('close', () => this._retire(socket))
  }

  /**
   * Sums the bytes of all tracked connections.
   *
   * @returns Bytes over all connections, including closed ones.
   */
  counts (): ByteCounts {
    const open = [...this._open]
    return {
      bytesIn: open.reduce((sum, socket) => sum + socket.bytesRead, this._closedIn),
      bytesOut: open.reduce((sum, socket) => sum + socket.bytesWritten, this._closedOut)
    }
  }

  private _retire (socket: Socket): void {
    this._open.delete(socket)
    this._closedIn += socket.bytesRead
    this._closedOut += socket.bytesWritten
  }
}
