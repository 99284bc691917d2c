import {
  Clock, ConfigHandler, ConfigLag, DigestConflict, DocumentFetch, DocumentFetches, DocumentMark, DocumentQuestion, ErrorKind,
  GateState, HighWaterAnswer, HighWaterGate, HostIdentity, PlatformKey, PublishedDocument, RequestError
} from '@jaymill/core'
import type { Logger } from 'winston'
import type { PeerNetwork } from '../peers/JaymillPeerNetwork.js'
import { CONFIG_STEP_MS, LAG_LOG_MS } from './constants.js'
import type { PublishedDocuments } from './JaymillPublishedDocuments.js'

const REQUIRED = Object.values(PlatformKey)

/** What the configuration driver works with. */
export interface ConfigDriverOptions {
  readonly identity: HostIdentity
  readonly clock: Clock
  readonly log: Logger
  readonly peers: PeerNetwork
  readonly documents: PublishedDocuments
}

/** State of the published documents on a host, for operators. */
export interface ConfigStatus {
  readonly gate: GateState
  readonly lags: readonly ConfigLag[]
  readonly conflicts: readonly DigestConflict[]
}

/** Exchanges published documents with other hosts and keeps a host that may be behind from serving. */
export class ConfigDriver extends ConfigHandler {
  private readonly _options: ConfigDriverOptions
  private readonly _gate: HighWaterGate
  private readonly _fetches = new Map(REQUIRED.map(key => [key, new DocumentFetches(key)]))
  private _loggedMs = Number.NEGATIVE_INFINITY

  /**
   * @param options - Parts of the host.
   */
  constructor (options: ConfigDriverOptions) {
    super()
    this._options = options
    this._gate = new HighWaterGate(options.identity.id)
    options.documents.onAdopted(() => this._adopted())
  }

  /** Whether the host may serve, and why not. */
  get gate (): GateState {
    return this._gate.state(this._options.documents.marks, REQUIRED)
  }

  /** Closes the gate until other hosts have been asked again, after a pause. */
  reset (): void {
    this._gate.reset()
  }

  /**
   * Runs until the signal aborts.
   *
   * @param signal - Ends all questions.
   */
  start (signal: AbortSignal): void {
    const timer = setInterval(() => this._step(signal), CONFIG_STEP_MS)
    signal.addEventListener('abort', () => clearInterval(timer), { once: true })
  }

  /**
   * Takes in the marks of a heartbeat or answer.
   *
   * @param hostId - Other host.
   * @param marks - Its marks.
   */
  hear (hostId: string, marks: readonly DocumentMark[]): void {
    const nowMs = this._options.clock.nowMs()
    const higher = marks.filter(mark => this._options.documents.hear(mark, hostId, nowMs))
    higher.forEach(mark => this._fetches.get(mark.key)?.offer(mark, hostId))
  }

  /** {@inheritDoc @jaymill/core#ConfigHandler.highWater} */
  async highWater (): Promise<HighWaterAnswer> {
    const { identity: { id, incarnation }, documents } = this._options
    return { from: id, incarnation, documents: documents.marks }
  }

  /** {@inheritDoc @jaymill/core#ConfigHandler.document} */
  async document ({ key, revision }: DocumentQuestion): Promise<PublishedDocument | null> {
    const published = this._options.documents.published(key)
    return published === undefined || published.revision < revision ? null : published
  }

  private _adopted (): void {
    const { list } = this._options.documents
    if (list !== undefined) this._gate.adoptList(list)
  }

  private _step (signal: AbortSignal): void {
    const nowMs = this._options.clock.nowMs()
    const revisions = new Map(this._options.documents.marks.map(({ key, revision }) => [key, revision]))
    this._gate.due(nowMs).forEach(hostId => { this._ask(hostId, signal).catch(err => this._unanswered(hostId, err)) })
    this._fetches.forEach((fetches, key) => {
      const fetch = fetches.next(revisions.get(key) ?? 0, nowMs)
      if (fetch !== undefined) this._fetch(fetch, fetches, signal).catch(err => this._unanswered(fetch.hostId, err))
    })
    this._reportLag(nowMs)
  }

  private async _ask (hostId: string, signal: AbortSignal): Promise<void> {
    const { identity: { id, incarnation }, peers } = this._options
    const { documents } = await peers.client(hostId).highWater({ from: id, incarnation }, signal)
    this._gate.answer(hostId, documents)
    this.hear(hostId, documents)
  }

  private async _fetch ({ key, hostId, revision }: DocumentFetch, fetches: DocumentFetches, signal: AbortSignal): Promise<void> {
    try {
      const document = await this._options.peers.client(hostId).document({ key, revision }, signal)
      if (document !== null && document.key !== key) throw new RequestError(ErrorKind.PeerFailed, `${hostId} sent ${document.key} for ${key}`)
      if (document !== null) this._options.documents.offerDocument(document, hostId)
    } finally {
      fetches.finish()
    }
  }

  private _reportLag (nowMs: number): void {
    const overdue = this._options.documents.lags(nowMs).filter(lag => lag.overdue)
    if (overdue.length === 0 || nowMs - this._loggedMs < LAG_LOG_MS) return
    this._loggedMs = nowMs
    overdue.forEach(lag => this._options.log.error('configuration is not in force', { ...lag }))
  }

  private _unanswered (hostId: string, err: unknown): void {
    this._options.log.debug('configuration question unanswered', { hostId, err })
  }
}
