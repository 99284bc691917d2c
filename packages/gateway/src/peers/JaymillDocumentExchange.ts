import { createServer, type IncomingMessage, type ServerResponse } from 'node:http'
import { promisify } from 'node:util'
import { gunzip, gzipSync } from 'node:zlib'
import { request } from 'undici'
import type { Clock } from '@jaymill/core'
import type { SocketAddress } from '@jaymill/settings'
import { listenOn } from '../callers/JaymillListener.js'
import type { FleetDocument, FleetState } from '../fleet/JaymillFleetState.js'
import type { FleetFollower } from '../fleet/JaymillFleetFollower.js'
import type { GatewayLog } from '../logging/JaymillGatewayLog.js'
import { COMPRESS_BYTES, DOCUMENT_PATIENCE_MS, DOCUMENT_TIMEOUT_MS } from './constants.js'
import type { Beacon } from './JaymillBeaconMessage.js'

const DOCUMENTS_PATH = '/documents'
const GZIP = 'gzip'
const STATUS_OK = 200
const STATUS_UNAVAILABLE = 503
const unzip = promisify(gunzip)

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
  /** What was heard of while a document was being fetched. */
  private _heard: { readonly host: string, readonly beacon: Beacon } | undefined

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
    if (this._fetching) {
      this._heard = { host, beacon }
      return
    }
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
      .finally(() => this._fetched())
  }

  private _fetched (): void {
    const heard = this._heard
    this._fetching = false
    this._heard = undefined
    if (heard !== undefined) this._fetchIfNewer(heard.host, heard.beacon)
  }

  private async _fetch (host: string): Promise<void> {
    const { state, listen } = this._parts
    const signal = AbortSignal.timeout(DOCUMENT_TIMEOUT_MS)
    const path = `${DOCUMENTS_PATH}?config=${state.version}&revision=${state.directory.revision}`
    const { body, statusCode, headers } = await request(`http://${host}:${listen.port}${path}`, { signal, reset: true })
    const bytes = Buffer.from(await body.arrayBuffer())
    if (statusCode !== STATUS_OK) return
    const text = headers['content-encoding'] === GZIP ? await unzip(bytes) : bytes
    state.adoptDocument(JSON.parse(text.toString('utf8')) as FleetDocument)
  }

  private _serve (req: IncomingMessage, res: ServerResponse): void {
    const { pathname, searchParams } = new URL(req.url ?? '/', 'http://host')
    const known = (name: string): number => Number(searchParams.get(name) ?? 0)
    const document = pathname === DOCUMENTS_PATH ? this._parts.state.documentFor(known('config'), known('revision')) : undefined
    if (document === undefined) {
      res.writeHead(STATUS_UNAVAILABLE).end()
      return
    }
    const bytes = Buffer.from(JSON.stringify(document))
    const compressed = bytes.length >= COMPRESS_BYTES
    const encoding = compressed ? { 'Content-Encoding': GZIP } : {}
    res.writeHead(STATUS_OK, { 'Content-Type': 'application/json', ...encoding }).end(compressed ? gzipSync(bytes) : bytes)
  }
}
