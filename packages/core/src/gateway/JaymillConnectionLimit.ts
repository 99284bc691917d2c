/**
 * Limits the number of connections. The connection that has been idle for longest makes room for a new one; when none is idle, that which has
 * waited longest for the rest of a request; when none waits either, the new one is closed.
 */
export class ConnectionLimit<Connection> {
  private readonly _maxConnections: number
  /** Connections without a request, the longest idle first. */
  private readonly _idle = new Set<Connection>()
  /** Connections whose only request has not arrived as a whole, the longest waiting first. */
  private readonly _waiting = new Set<Connection>()
  private readonly _busy = new Set<Connection>()

  /**
   * @param maxConnections - Maximum number of connections.
   */
  constructor (maxConnections: number) {
    this._maxConnections = maxConnections
  }

  /** Number of open connections. */
  get count (): number {
    return this._idle.size + this._waiting.size + this._busy.size
  }

  /**
   * Adds a connection.
   *
   * @param connection - The connection; idle until its first request.
   * @returns Connection that must be closed; `undefined` within the limit.
   */
  open (connection: Connection): Connection | undefined {
    this._idle.add(connection)
    if (this.count <= this._maxConnections) return undefined
    const [longestIdle] = this._idle
    const [longestWaiting = connection] = this._waiting
    const excess = longestIdle === undefined || longestIdle === connection ? longestWaiting : longestIdle
    this.close(excess)
    return excess
  }

  /**
   * Notes a request on a connection that has arrived as a whole.
   *
   * @param connection - The connection.
   */
  busy (connection: Connection): void {
    if (this._idle.delete(connection) || this._waiting.delete(connection)) this._busy.add(connection)
  }

  /**
   * Notes that the only request on a connection has not arrived as a whole.
   *
   * @param connection - The connection.
   */
  waits (connection: Connection): void {
    if (this._busy.delete(connection)) this._waiting.add(connection)
  }

  /**
   * Notes that no request is left on a connection.
   *
   * @param connection - The connection.
   */
  idle (connection: Connection): void {
    if (this._busy.delete(connection) || this._waiting.delete(connection)) this._idle.add(connection)
  }

  /**
   * Removes a connection.
   *
   * @param connection - The connection.
   */
  close (connection: Connection): void {
    this._idle.delete(connection)
    this._waiting.delete(connection)
    this._busy.delete(connection)
  }
}
