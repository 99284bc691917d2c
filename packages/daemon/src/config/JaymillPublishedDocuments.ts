import {
  ConfigAuthority, ConfigLag, DigestConflict, DocumentMark, ErrorKind, FleetConfig, HostList, Offer, OfferOutcome, PlatformKey,
  PublishedDocument, RequestError, RevisionedDocument
} from '@jaymill/core'
import type { Logger } from 'winston'
import { FleetCodec, HostListCodec } from './JaymillDocumentCodecs.js'

/** Called after a document has come into force. */
export type AdoptionListener = (key: PlatformKey) => void

/** Fleet configuration and host list in force on this host. */
export class PublishedDocuments {
  private readonly _fleet = new ConfigAuthority(PlatformKey.Fleet, new FleetCodec())
  private readonly _hosts = new ConfigAuthority(PlatformKey.Hosts, new HostListCodec())
  private readonly _listeners: AdoptionListener[] = []
  private readonly _log: Logger

  /**
   * @param log - Receives adoptions and refusals.
   */
  constructor (log: Logger) {
    this._log = log
  }

  /** Whether both documents are known. */
  get known (): boolean {
    return this._fleet.current !== undefined && this._hosts.current !== undefined
  }

  /** Host list in force; `undefined` before the first. */
  get list (): HostList | undefined {
    return this._hosts.current?.document
  }

  /** Marks of the documents in force. */
  get marks (): DocumentMark[] {
    return [this._fleet.mark, this._hosts.mark].filter(mark => mark !== undefined)
  }

  /** Conflicts over the revisions in force. */
  get conflicts (): DigestConflict[] {
    return [this._fleet.conflict, this._hosts.conflict].filter(conflict => conflict !== undefined)
  }

  /**
   * @returns The configuration in force.
   * @throws RequestError of kind `NotReady` before the first one.
   */
  fleet (): FleetConfig {
    return inForce(this._fleet)
  }

  /**
   * @returns The host list in force.
   * @throws RequestError of kind `NotReady` before the first one.
   */
  hosts (): HostList {
    return inForce(this._hosts)
  }

  /**
   * @param listener - Called after each adoption.
   */
  onAdopted (listener: AdoptionListener): void {
    this._listeners.push(listener)
  }

  /**
   * @param key - Document.
   * @returns The document in force as it was published; `undefined` before the first.
   */
  published (key: PlatformKey): PublishedDocument | undefined {
    return this._authority(key).current?.published
  }

  /**
   * Offers a text that the platform gave.
   *
   * @param key - Document.
   * @param text - Published text.
   */
  offerText (key: PlatformKey, text: string): void {
    this._report(key, this._authority(key).offerText(text, 'platform'), 'platform')
  }

  /**
   * Offers a document that another host gave.
   *
   * @param document - Document.
   * @param hostId - The other host.
   */
  offerDocument (document: PublishedDocument, hostId: string): void {
    this._report(document.key, this._authority(document.key).offerDocument(document, hostId), hostId)
  }

  /**
   * Notes what another host has in force; a conflict is logged once.
   *
   * @param mark - Mark.
   * @param hostId - The other host.
   * @param nowMs - Time in milliseconds.
   * @returns Whether the other host has a higher revision.
   */
  hear (mark: DocumentMark, hostId: string, nowMs: number): boolean {
    const authority = this._authority(mark.key)
    const before = authority.conflict
    const higher = authority.hear(mark, hostId, nowMs)
    const { conflict } = authority
    if (conflict !== undefined && conflict.refusedDigest !== before?.refusedDigest) this._log.error('configuration conflict', { ...conflict })
    return higher
  }

  /**
   * @param nowMs - Time in milliseconds.
   * @returns Documents that are behind what other hosts have.
   */
  lags (nowMs: number): ConfigLag[] {
    return [this._fleet.lag(nowMs), this._hosts.lag(nowMs)].filter(lag => lag !== undefined)
  }

  private _authority (key: PlatformKey): ConfigAuthority<FleetConfig> | ConfigAuthority<HostList> {
    return key === PlatformKey.Fleet ? this._fleet : this._hosts
  }

  private _report (document: PlatformKey, { outcome, error }: Offer, source: string): void {
    if (outcome === OfferOutcome.Same) return
    if (outcome !== OfferOutcome.Adopted) return this._refused(document, outcome, source, error)
    this._log.info('configuration adopted', { document, source, revision: this._authority(document).mark?.revision })
    this._listeners.forEach(listener => listener(document))
  }

  private _refused (document: PlatformKey, outcome: OfferOutcome, source: string, err: unknown): void {
    this._log.error('configuration refused', { document, outcome, source, err })
  }
}

function inForce<T extends RevisionedDocument> (authority: ConfigAuthority<T>): T {
  const { current, key } = authority
  if (current === undefined) throw new RequestError(ErrorKind.NotReady, `no ${key} document is in force yet`)
  return current.document
}
