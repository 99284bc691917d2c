import { createConnector } from '@jaymill/http'
import { Client, Pool } from 'undici'
import { CONNECTION_TTL_MS, CONNECT_TIMEOUT_MS, IDLE_CONNECTION_MS, MAX_CONNECTIONS } from './constants.js'

/** Limits of the connections to one endpoint. */
export interface ConnectionLimits {
  /** Maximum number of connections to one endpoint. */
  readonly maxConnections: number
  /** Time to open a connection, in milliseconds. */
  readonly connectTimeoutMs: number
  /** Idle time after which a connection is closed, in milliseconds. */
  readonly idleMs: number
  /** Age after which a connection takes no further request, in milliseconds. */
  readonly ttlMs: number
}

const DEFAULT_LIMITS: ConnectionLimits = {
  maxConnections: MAX_CONNECTIONS,
  connectTimeoutMs: CONNECT_TIMEOUT_MS,
  idleMs: IDLE_CONNECTION_MS,
  ttlMs: CONNECTION_TTL_MS
}

/** Maintains one connection pool for each endpoint. */
export class EndpointPools {
  private readonly _limits: ConnectionLimits
  private readonly _pools = new Map<string, Pool>()

  /**
   * @param limits - Limits that differ from the defaults.
   */
  constructor (limits: Partial<ConnectionLimits> = {}) {
    this._limits = { ...DEFAULT_LIMITS, ...limits }
  }

  /**
   * Returns the pool of an endpoint and creates it on first use.
   *
   * @param url - Base URL of the endpoint.
   * @returns The endpoint's pool.
   */
  pool (url: string): Pool {
    const { origin } = new URL(url)
    const existing = this._pools.get(origin)
    if (existing !== undefined) return existing
    const pool = new Pool(origin, {
      connections: this._limits.maxConnections,
      pipelining: 1,
      connect: createConnector(this._limits.connectTimeoutMs),
      keepAliveTimeout: this._limits.idleMs,
      keepAliveMaxTimeout: this._limits.idleMs,
      clientTtl: this._limits.ttlMs
    })
    this._pools.set(origin, pool)
    return pool
  }

  /**
   * Creates a client for one connection outside the pool. The calling code must destroy the client.
   *
   * @param url - Base URL of the endpoint.
   * @returns A client that has not connected yet.
   */
  createClient (url: string): Client {
    return new Client(new URL(url).origin, { pipelining: 1, connect: createConnector(this._limits.connectTimeoutMs) })
  }

  /**
   * Stops using the open connections of an endpoint after one of them stalled or broke. Requests that still make
   * progress on them end normally.
   *
   * @param url - Base URL of the endpoint.
   * @param pool - Pool that the connection belonged to; a newer pool stays in use.
   */
  retire (url: string, pool: Pool): void {
    const { origin } = new URL(url)
    if (this._pools.get(origin) === pool) this._pools.delete(origin)
    if (!pool.closed) pool.close().catch(() => pool.destroy())
  }

  /**
   * Closes the pools of endpoints that are no longer configured.
   *
   * @param urls - Base URLs of the configured endpoints.
   */
  keepOnly (urls: readonly string[]): void {
    const used = new Set(urls.map(url => new URL(url).origin))
    const unused = [...this._pools].filter(([origin]) => !used.has(origin))
    unused.forEach(([origin, pool]) => this.retire(origin, pool))
  }

  /** Closes all connections immediately. */
  async destroy (): Promise<void> {
    const pools = [...this._pools.values()]
    this._pools.clear()
    await Promise.all(pools.map(pool => pool.destroy()))
  }
}
