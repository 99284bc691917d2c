import {
  ConfigAuthority, ConfigLag, DigestConflict, DocumentKey, DocumentVersion, ErrorKind, FleetConfig, HostList, OfferOutcome,
  OfferResult, PublishedDocument, RequestError, RevisionedDocument
} from '@jaymill/core'
import type { Logger } from 'winston'
import { FleetCodec, HostListCodec } from './JaymillDocumentCodecs.js'

/** Called after a document has become active. */
export type AdoptionListener = (key: DocumentKey) => void

/** Active fleet configuration and host list of this host. */
export class PublishedDocuments {
  private readonly _fleet = new ConfigAuthority(DocumentKey.Fleet, new FleetCodec())
  private readonly _hosts = new ConfigAuthority(DocumentKey.Hosts, new HostListCodec())
  private readonly _listeners: AdoptionListener[] = []
  private readonly _log: Logger

  /**
   * @param log - Logger for adopted and refused documents.
   */
  constructor (log: Logger) {
    this._log = log
  }

  /** Whether both documents are active. */
  get complete (): boolean {
    return this._fleet.current !== undefined && this._hosts.current !== undefined
  }

  /** Active host list; `undefined` before the first. */
  get list (): HostList | undefined {
    return this._hosts.current?.document
  }

  /** Versions of the active documents. */
  get versions (): DocumentVersion[] {
    return [this._fleet.version, this._hosts.version].filter(version => version !== undefined)
  }

  /** Conflicts with the active revisions. */
  get conflicts (): DigestConflict[] {
    return [this._fleet.conflict, this._hosts.conflict].filter(conflict => conflict !== undefined)
  }

  /**
   * @returns The active fleet configuration.
   * @throws RequestError of kind `NotReady` before the first one.
   */
  fleet (): FleetConfig {
    return requireCurrent(this._fleet)
  }

  /**
   * @returns The active host list.
   * @throws RequestError of kind `NotReady` before the first one.
   */
  hosts (): HostList {
    return requireCurrent(this._hosts)
  }

  /**
   * Registers a listener.
   *
   * @param listener - Called after each adoption.
   */
  onAdopted (listener: AdoptionListener): void {
    this._listeners.push(listener)
  }

  /**
   * @param key - Key of the document.
   * @returns The active document as it was published; `undefined` before the first.
   */
  published (key: DocumentKey): PublishedDocument | undefined {
    return this._authority(key).current?.published
  }

  /**
   * Offers a document read from the configuration source.
   *
   * @param key - Key of the document.
   * @param text - Published text.
   */
  offerText (key: DocumentKey, text: string): void {
    this._report(key, this._authority(key).offerText(text, 'platform'), 'platform')
  }

  /**
   * Offers a document received from another host.
   *
   * @param document - Document.
   * @param hostId - Id of the other host.
   */
  offerDocument (document: PublishedDocument, hostId: string): void {
    this._report(document.key, this._authority(document.key).offerDocument(document, hostId), hostId)
  }

  /**
   * Records the document version that is active on another host; a new conflict is logged once.
   *
   * @param version - Document version of the other host.
   * @param hostId - Id of the other host.
   * @param nowMs - Monotonic time in milliseconds.
   * @returns Whether the other host has a higher revision.
   */
  observeVersion (version: DocumentVersion, hostId: string, nowMs: number): boolean {
    const authority = this._authority(version.key)
    const before = authority.conflict
    const higher = authority.observeVersion(version, hostId, nowMs)
    const { conflict } = authority
    if (conflict !== undefined && conflict.refusedDigest !== before?.refusedDigest) this._log.error('configuration conflict', { ...conflict })
    return higher
  }

  /**
   * @param nowMs - Monotonic time in milliseconds.
   * @returns Lags of the documents of which another host has a higher revision.
   */
  lags (nowMs: number): ConfigLag[] {
    return [this._fleet.lag(nowMs), this._hosts.lag(nowMs)].filter(lag => lag !== undefined)
  }

  private _authority (key: DocumentKey): ConfigAuthority<FleetConfig> | ConfigAuthority<HostList> {
    return key === DocumentKey.Fleet ? this._fleet : this._hosts
  }

  private _report (document: DocumentKey, { outcome, error }: OfferResult, source: string): void {
    if (outcome === OfferOutcome.Same) return
    if (outcome !== OfferOutcome.Adopted) return this._logRefusal(document, outcome, source, error)
    this._log.info('configuration adopted', { document, source, revision: this._authority(document).version?.revision })
    this._listeners.forEach(listener => listener(document))
  }

  private _logRefusal (document: DocumentKey, outcome: OfferOutcome, source: string, err: unknown): void {
    this._log.error('configuration refused', { document, outcome, source, err })
  }
}

function requireCurrent<T extends RevisionedDocument> (authority: ConfigAuthority<T>): T {
  const { current, key } = authority
  if (current === undefined) throw new RequestError(ErrorKind.NotReady, `no ${key} document is active yet`)
  return current.document
}
