import type { Server } from 'node:http'
import type { Socket } from 'node:net'
import { ConnectionLimit } from '@jaymill/core'
import type { GatewayLog } from '../logging/JaymillGatewayLog.js'
import type { GatewayMetrics } from '../metrics/JaymillGatewayMetrics.js'
import { CallerConnection } from './JaymillCallerConnection.js'
import type { HostMemory } from './JaymillHostMemory.js'

/** Connections of one listener, in a limited number. */
export class CallerConnections {
  private readonly _memory: HostMemory
  private readonly _metrics: GatewayMetrics
  private readonly _limit: ConnectionLimit<Socket>
  private readonly _maxOpenRequests: () => number
  private _closed = 0
  private readonly _connections = new WeakMap<Socket, CallerConnection>()

  /**
   * @param memory - Memory of the host.
   * @param metrics - Metrics of the host.
   * @param maxConnections - Maximum number of connections.
   * @param maxOpenRequests - Returns the number of requests of one connection that are handled at a time.
   */
  constructor (memory: HostMemory, metrics: GatewayMetrics, maxConnections: number, maxOpenRequests: () => number) {
    this._memory = memory
    this._metrics = metrics
    this._limit = new ConnectionLimit(maxConnections)
    this._maxOpenRequests = maxOpenRequests
  }

  /** Number of open connections. */
  get count (): number {
    return this._limit.count
  }

  /**
   * Logs the connections that were closed for the limit since the last call.
   *
   * @param log - Log of the host.
   */
  report (log: GatewayLog): void {
    if (this._closed === 0) return
    log.stateChange('too many connections', { closed: this._closed, open: this.count })
    this._closed = 0
  }

  /**
   * Adds the connections of a listener.
   *
   * @param server - The listener.
   * @returns The listener.
   */
  watch (server: Server): Server {
    return server.on('connection', (socket: Socket) => { this._open(socket) })
  }

  /**
   * @param socket - Socket of a connection.
   * @returns The connection.
   */
  of (socket: Socket): CallerConnection {
    return this._connections.get(socket) ?? this._open(socket)
  }

  private _open (socket: Socket): CallerConnection {
    const use = { busy: () => this._limit.busy(socket), waits: () => this._limit.waits(socket), idle: () => this._limit.idle(socket) }
    const connection = new CallerConnection(socket, this._memory.open(socket), use, this._maxOpenRequests)
    this._connections.set(socket, connection)
    const excess = this._limit.open(socket)
    socket.once('close', () => this._limit.close(socket))
    if (excess !== undefined) {
      this._closed += 1
      this._metrics.recordClosedConnection(excess === socket ? 'limit' : 'idle')
      excess.destroy()
    }
    return connection
  }
}
