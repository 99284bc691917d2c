import type { IncomingMessage, ServerResponse } from 'node:http'
import { promisify } from 'node:util'
import { gunzip, gzipSync } from 'node:zlib'
import { Agent, request } from 'undici'
import type { Clock } from '@jaymill/core'
import { createConnector } from '@jaymill/http'
import type { SocketAddress } from '@jaymill/settings'
import { createInternalServer } from '../callers/JaymillInternalServer.js'
import { listenOn } from '../callers/JaymillListener.js'
import { MAX_DOCUMENT_BYTES } from '../fleet/constants.js'
import type { FleetFollower } from '../fleet/JaymillFleetFollower.js'
import type { FleetDocument, FleetState } from '../fleet/JaymillFleetState.js'
import { SourceError } from '../fleet/JaymillSourceError.js'
import { readBounded } from '../JaymillBoundedBytes.js'
import type { GatewayLog } from '../logging/JaymillGatewayLog.js'
import { COMPRESS_BYTES, DOCUMENT_FETCH_DELAY_MS, DOCUMENT_TIMEOUT_MS } from './constants.js'
import type { HostMessage } from './JaymillHostMessage.js'

const DOCUMENTS_PATH = '/documents'
const GZIP = 'gzip'
const STATUS_OK = 200
const STATUS_UNAVAILABLE = 503
const unzip = promisify(gunzip)

/** Dependencies of the exchange. */
export interface DocumentExchangeContext {
  readonly listen: SocketAddress
  /** Maximum number of connections of other hosts. */
  readonly maxConnections: number
  readonly state: FleetState
  readonly follower: FleetFollower
  readonly clock: Clock
  readonly log: GatewayLog
}

/**
 * Serves configuration and endpoints to other hosts, and fetches them from hosts whose state is newer, when the source is
 * unreachable or late.
 */
export class DocumentExchange {
  private readonly _context: DocumentExchangeContext
  private readonly _agent = new Agent({ connect: createConnector(DOCUMENT_TIMEOUT_MS) })
  private _fetching = false
  private _newerSinceMs: number | undefined
  /** Newest message that reported a newer state while a document was being fetched. */
  private _pending: { readonly host: string, readonly message: HostMessage } | undefined

  /**
   * @param context - Dependencies.
   */
  constructor (context: DocumentExchangeContext) {
    this._context = context
  }

  /**
   * Starts to serve the configuration and the endpoints of this host.
   *
   * @param signal - Closes the listener when it aborts.
   */
  async start (signal: AbortSignal): Promise<void> {
    const { listen, maxConnections } = this._context
    await listenOn(createInternalServer(maxConnections, (req, res) => this._serve(req, res)), listen, signal)
  }

  /**
   * Schedules a fetch of the newer state of another host. A host that is connected to its source first waits
   * `DOCUMENT_FETCH_DELAY_MS` for the source; any other host fetches at once, or after the fetch in progress.
   *
   * @param host - IP address of the other host.
   * @param message - Message that reported the newer state.
   */
  scheduleFetch (host: string, message: HostMessage): void {
    const { clock, follower, state } = this._context
    const nowMs = clock.nowMs()
    this._newerSinceMs ??= nowMs
    const shouldWait = follower.connected && state.config !== undefined && nowMs - this._newerSinceMs < DOCUMENT_FETCH_DELAY_MS
    if (this._fetching) {
      this._pending = { host, message }
      return
    }
    if (shouldWait) setTimeout(() => this.scheduleFetch(host, message), DOCUMENT_FETCH_DELAY_MS).unref()
    else this._fetchIfNewer(host, message)
  }

  private _fetchIfNewer (host: string, message: HostMessage): void {
    const { state, log, follower } = this._context
    this._newerSinceMs = undefined
    if (message.config <= state.version && message.revision <= state.directory.revision) return
    this._fetching = true
    log.stateChange('documents requested', {
      peer: host, config: message.config, own: state.version, revision: message.revision, sinceSourceMs: Math.round(follower.sinceResponseMs)
    })
    this._fetch(host)
      .catch((err: Error) => log.warn('documents not fetched', { peer: host, reason: err.message }))
      .finally(() => this._fetchDone())
  }

  private _fetchDone (): void {
    const pending = this._pending
    this._fetching = false
    this._pending = undefined
    if (pending !== undefined) this._fetchIfNewer(pending.host, pending.message)
  }

  private async _fetch (host: string): Promise<void> {
    const { state, listen } = this._context
    const signal = AbortSignal.timeout(DOCUMENT_TIMEOUT_MS)
    const path = `${DOCUMENTS_PATH}?config=${state.version}&revision=${state.directory.revision}`
    const { body, statusCode, headers } = await request(`http://${host}:${listen.port}${path}`, { dispatcher: this._agent, signal, reset: true })
    const bytes = await readBounded(body, MAX_DOCUMENT_BYTES, () => new SourceError(`the document of ${host} exceeds ${MAX_DOCUMENT_BYTES} bytes`))
    if (statusCode !== STATUS_OK) return
    const text = headers['content-encoding'] === GZIP ? await unzip(bytes, { maxOutputLength: MAX_DOCUMENT_BYTES }) : bytes
    state.applyDocument(parseDocument(text, host))
  }

  private _serve (req: IncomingMessage, res: ServerResponse): void {
    const { pathname, searchParams } = new URL(req.url ?? '/', 'http://host')
    const numberParam = (name: string): number => Number(searchParams.get(name) ?? 0)
    const document = pathname === DOCUMENTS_PATH ? this._context.state.documentFor(numberParam('config'), numberParam('revision')) : undefined
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

/** The message of a syntax error would quote the document, which has the keys of accounts, in the log. */
function parseDocument (bytes: Buffer, host: string): FleetDocument {
  try {
    return JSON.parse(bytes.toString('utf8')) as FleetDocument
  } catch {
    throw new SourceError(`the document of ${host} is not valid JSON`)
  }
}
