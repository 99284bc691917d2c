import { createServer, type IncomingMessage, type ServerResponse } from 'node:http'
import { request } from 'undici'
import type { Clock } from '@jaymill/core'
import type { SocketAddress } from '@jaymill/settings'
import { listenOn } from '../callers/JaymillListener.js'
import { FleetState, Origin } from '../fleet/JaymillFleetState.js'
import type { FleetFollower } from '../fleet/JaymillFleetFollower.js'
import type { GatewayLog } from '../logging/JaymillGatewayLog.js'
import type { FleetSnapshot } from '../ports/JaymillFleetSource.js'
import { DOCUMENT_PATIENCE_MS, DOCUMENT_TIMEOUT_MS } from './constants.js'
import type { Beacon } from './JaymillBeaconMessage.js'

const DOCUMENTS_PATH = '/documents'

/** What the exchange works with. */
export interface DocumentExchangeParts {
  readonly listen: SocketAddress
  readonly state: FleetState
  readonly follower: FleetFollower
  readonly clock: Clock
  readonly log: GatewayLog
}

/** Lets hosts that can't read the source, or read it late, learn what others know. */
export class DocumentExchange {
  private readonly _parts: DocumentExchangeParts
  private _fetching = false
  private _newerSinceMs: number | undefined

  /**
   * @param parts - Listener and state.
   */
  constructor (parts: DocumentExchangeParts) {
    this._parts = parts
  }

  /**
   * Serves what this host knows.
   *
   * @param signal - Closes the listener.
   */
  async start (signal: AbortSignal): Promise<void> {
    const server = createServer((req, res) => this._serve(req, res))
    await listenOn(server, this._parts.listen, signal)
  }

  /**
   * Considers fetching what another host knows.
   *
   * @param host - IP number of the other host.
   * @param beacon - What it has told.
   */
  newer (host: string, beacon: Beacon): void {
    const { clock, follower, state } = this._parts
    const nowMs = clock.nowMs()
    this._newerSinceMs ??= nowMs
    const patient = follower.connected && state.config !== undefined && nowMs - this._newerSinceMs < DOCUMENT_PATIENCE_MS
    if (this._fetching) return
    if (patient) setTimeout(() => this.newer(host, beacon), DOCUMENT_PATIENCE_MS).unref()
    else this._fetchIfNewer(host, beacon)
  }

  private _fetchIfNewer (host: string, beacon: Beacon): void {
    const { state, log } = this._parts
    this._newerSinceMs = undefined
    if (beacon.config <= state.version && beacon.revision <= state.directory.revision) return
    this._fetching = true
    this._fetch(host)
      .catch((err: Error) => log.warn('documents not fetched', { peer: host, reason: err.message }))
      .finally(() => { this._fetching = false })
  }

  private async _fetch (host: string): Promise<void> {
    const signal = AbortSignal.timeout(DOCUMENT_TIMEOUT_MS)
    const { body, statusCode } = await request(`http://${host}:${this._parts.listen.port}${DOCUMENTS_PATH}`, { signal, reset: true })
    const text = await body.text()
    if (statusCode === 200) this._parts.state.adoptSnapshot(JSON.parse(text) as FleetSnapshot, Origin.Peer)
  }

  private _serve (req: IncomingMessage, res: ServerResponse): void {
    const snapshot = req.url === DOCUMENTS_PATH ? this._parts.state.snapshot() : undefined
    if (snapshot === undefined) res.writeHead(503).end()
    else res.writeHead(200, { 'Content-Type': 'application/json' }).end(JSON.stringify(snapshot))
  }
}
