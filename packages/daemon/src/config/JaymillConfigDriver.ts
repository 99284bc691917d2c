import {
  Clock, ConfigHandler, ConfigLag, DigestConflict, DocumentFetch, DocumentFetchScheduler, DocumentKey, DocumentRequest,
  DocumentVersion, ErrorKind, GateState, HighWaterGate, HighWaterResponse, HostIdentity, PublishedDocument, RequestError
} from '@jaymill/core'
import type { Logger } from 'winston'
import type { PeerNetwork } from '../peers/JaymillPeerNetwork.js'
import { CONFIG_STEP_MS, LAG_LOG_INTERVAL_MS } from './constants.js'
import type { PublishedDocuments } from './JaymillPublishedDocuments.js'

const REQUIRED_DOCUMENTS = Object.values(DocumentKey)

/** Components of the host that the configuration driver uses. */
export interface ConfigDriverOptions {
  readonly identity: HostIdentity
  readonly clock: Clock
  readonly log: Logger
  readonly peers: PeerNetwork
  readonly documents: PublishedDocuments
}

/** State of the published documents on a host, for the admin API. */
export interface ConfigStatus {
  readonly gate: GateState
  readonly lags: readonly ConfigLag[]
  readonly conflicts: readonly DigestConflict[]
}

/** Exchanges published documents with other hosts and prevents this host from serving while its documents may be outdated. */
export class ConfigDriver extends ConfigHandler {
  private readonly _options: ConfigDriverOptions
  private readonly _gate: HighWaterGate
  private readonly _schedulers = new Map(REQUIRED_DOCUMENTS.map(key => [key, new DocumentFetchScheduler(key)]))
  private _lagLoggedMs = Number.NEGATIVE_INFINITY

  /**
   * @param options - Components of the host.
   */
  constructor (options: ConfigDriverOptions) {
    super()
    this._options = options
    this._gate = new HighWaterGate(options.identity.id)
    options.documents.onAdopted(() => this._onAdopted())
  }

  /** Whether the host may serve, and if not, why. */
  get gate (): GateState {
    return this._gate.state(this._options.documents.versions, REQUIRED_DOCUMENTS)
  }

  /** Closes the gate, after a pause of the process, until other hosts have reported their document versions again. */
  reset (): void {
    this._gate.reset()
  }

  /**
   * Runs until the signal aborts.
   *
   * @param signal - Stops the timer and cancels all requests.
   */
  start (signal: AbortSignal): void {
    const timer = setInterval(() => this._step(signal), CONFIG_STEP_MS)
    signal.addEventListener('abort', () => clearInterval(timer), { once: true })
  }

  /**
   * Processes the document versions that another host reported in a heartbeat or response.
   *
   * @param hostId - Id of the other host.
   * @param versions - Versions of its active documents.
   */
  observeVersions (hostId: string, versions: readonly DocumentVersion[]): void {
    const nowMs = this._options.clock.nowMs()
    const higher = versions.filter(version => this._options.documents.observeVersion(version, hostId, nowMs))
    higher.forEach(version => this._schedulers.get(version.key)?.addCandidate(version, hostId))
  }

  /** {@inheritDoc @jaymill/core#ConfigHandler.highWater} */
  async highWater (): Promise<HighWaterResponse> {
    const { identity: { id, incarnation }, documents } = this._options
    return { from: id, incarnation, documents: documents.versions }
  }

  /** {@inheritDoc @jaymill/core#ConfigHandler.document} */
  async document ({ key, revision }: DocumentRequest): Promise<PublishedDocument | null> {
    const published = this._options.documents.published(key)
    return published === undefined || published.revision < revision ? null : published
  }

  private _onAdopted (): void {
    const { list } = this._options.documents
    if (list !== undefined) this._gate.adoptList(list)
  }

  private _step (signal: AbortSignal): void {
    const nowMs = this._options.clock.nowMs()
    const revisions = new Map(this._options.documents.versions.map(({ key, revision }) => [key, revision]))
    this._gate.dueHosts(nowMs).forEach(hostId => {
      this._requestHighWater(hostId, signal).catch(err => this._logFailure(hostId, err))
    })
    this._schedulers.forEach((scheduler, key) => {
      const fetch = scheduler.next(revisions.get(key) ?? 0, nowMs)
      if (fetch !== undefined) this._fetch(fetch, scheduler, signal).catch(err => this._logFailure(fetch.hostId, err))
    })
    this._reportLag(nowMs)
  }

  private async _requestHighWater (hostId: string, signal: AbortSignal): Promise<void> {
    const { identity: { id, incarnation }, peers } = this._options
    const { documents } = await peers.client(hostId).highWater({ from: id, incarnation }, signal)
    this._gate.receive(hostId, documents)
    this.observeVersions(hostId, documents)
  }

  private async _fetch (
    { key, hostId, revision }: DocumentFetch, scheduler: DocumentFetchScheduler, signal: AbortSignal
  ): Promise<void> {
    try {
      const document = await this._options.peers.client(hostId).document({ key, revision }, signal)
      if (document !== null && document.key !== key) throw new RequestError(ErrorKind.PeerFailed, `host ${hostId} sent the document ${document.key} instead of ${key}`)
      if (document !== null) this._options.documents.offerDocument(document, hostId)
    } finally {
      scheduler.finish()
    }
  }

  private _reportLag (nowMs: number): void {
    const overdue = this._options.documents.lags(nowMs).filter(lag => lag.overdue)
    if (overdue.length === 0 || nowMs - this._lagLoggedMs < LAG_LOG_INTERVAL_MS) return
    this._lagLoggedMs = nowMs
    overdue.forEach(lag => this._options.log.error('configuration is not in force', { ...lag }))
  }

  private _logFailure (hostId: string, err: unknown): void {
    this._options.log.debug('configuration request failed', { hostId, err })
  }
}
