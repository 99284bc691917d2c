import { ErrorKind, JaymillError } from '../errors/JaymillError.js'
import { RequestError } from '../errors/JaymillRequestError.js'
import type { PlatformKey } from '../ports/JaymillPlatformReader.js'
import type { PublishedDocument } from '../ports/peers/JaymillConfigHandler.js'
import type { DocumentMark } from '../ports/peers/JaymillHeartbeatHandler.js'
import { LAG_REPORT_MS } from './JaymillConfigConstants.js'
import type { DocumentCodec, RevisionedDocument } from './JaymillDocumentCodec.js'

/** What became of an offered document. */
export enum OfferOutcome {
  /** The document is in force now. */
  Adopted = 'adopted',
  /** The document was in force already. */
  Same = 'same',
  /** A higher revision is in force. */
  Older = 'older',
  /** The same revision is in force with another text. */
  Conflict = 'conflict',
  /** The text isn't a valid document, or isn't the one that was announced. */
  Invalid = 'invalid'
}

/** Result of an offer. */
export interface Offer {
  readonly outcome: OfferOutcome
  /** Why the document was refused. */
  readonly error?: JaymillError
}

/** Two texts with one revision. */
export interface DigestConflict {
  readonly key: PlatformKey
  readonly revision: number
  /** Digest in force here. */
  readonly digest: string
  /** Digest that was refused. */
  readonly refusedDigest: string
  /** Host or platform that has the refused text. */
  readonly source: string
}

/** How far this host is behind. */
export interface ConfigLag {
  readonly key: PlatformKey
  /** Revision in force here; 0 when there is none. */
  readonly revision: number
  /** Highest revision heard of. */
  readonly knownRevision: number
  /** Time since the higher revision was heard of, in milliseconds. */
  readonly sinceMs: number
  /** Whether the time allowed for taking effect is over. */
  readonly overdue: boolean
}

/** Document in force. */
export interface InForce<T> {
  readonly document: T
  readonly published: PublishedDocument
}

/** Decides which revision of one document is in force: the highest wins, it never goes back, and two texts never share one. */
export class ConfigAuthority<T extends RevisionedDocument> {
  private readonly _key: PlatformKey
  private readonly _codec: DocumentCodec<T>
  private _current: InForce<T> | undefined
  private _conflict: DigestConflict | undefined
  private _known: { readonly revision: number, readonly sinceMs: number } | undefined

  /**
   * @param key - Document that is decided on.
   * @param codec - Reads its text.
   */
  constructor (key: PlatformKey, codec: DocumentCodec<T>) {
    this._key = key
    this._codec = codec
  }

  /** Document that is decided on. */
  get key (): PlatformKey {
    return this._key
  }

  /** Document in force; `undefined` before the first. */
  get current (): InForce<T> | undefined {
    return this._current
  }

  /** Last conflict over the revision in force; a higher revision settles it. */
  get conflict (): DigestConflict | undefined {
    return this._conflict
  }

  /** Mark of the document in force; `undefined` before the first. */
  get mark (): DocumentMark | undefined {
    if (this._current === undefined) return undefined
    const { key, revision, digest } = this._current.published
    return { key, revision, digest }
  }

  /**
   * Offers a text read from the platform.
   *
   * @param text - Published text.
   * @param source - Where it came from, for reports.
   * @returns What became of it.
   */
  offerText (text: string, source: string): Offer {
    const digest = this._codec.digest(text)
    if (digest === this._current?.published.digest) return { outcome: OfferOutcome.Same }
    const parsed = this._parse(text)
    if (parsed instanceof JaymillError) return { outcome: OfferOutcome.Invalid, error: parsed }
    return this._decide(parsed, { key: this._key, revision: parsed.revision, digest, text }, source)
  }

  /**
   * Offers a document that another host passed on. Its mark must fit its text.
   *
   * @param published - Document as received.
   * @param source - Id of the other host.
   * @returns What became of it.
   */
  offerDocument (published: PublishedDocument, source: string): Offer {
    const fits = published.key === this._key && this._codec.digest(published.text) === published.digest
    if (!fits) return this._refuse(OfferOutcome.Invalid, `${this._key} from ${source} does not fit its digest`)
    return this.offerText(published.text, source)
  }

  /**
   * Notes that another host has a document in force.
   *
   * @param mark - Mark that the other host announced.
   * @param source - Id of the other host.
   * @param nowMs - Time in milliseconds.
   * @returns Whether the other host has a higher revision.
   */
  hear (mark: DocumentMark, source: string, nowMs: number): boolean {
    const revision = this._current?.published.revision ?? 0
    if (mark.revision === revision && this._current !== undefined) this._compare(mark.digest, source)
    if (mark.revision <= revision) return false
    if (mark.revision > (this._known?.revision ?? 0)) this._known = { revision: mark.revision, sinceMs: this._known?.sinceMs ?? nowMs }
    return true
  }

  /**
   * @param nowMs - Time in milliseconds.
   * @returns How far this host is behind what it has heard of; `undefined` when it isn't.
   */
  lag (nowMs: number): ConfigLag | undefined {
    if (this._known === undefined) return undefined
    const sinceMs = nowMs - this._known.sinceMs
    const revision = this._current?.published.revision ?? 0
    return { key: this._key, revision, knownRevision: this._known.revision, sinceMs, overdue: sinceMs > LAG_REPORT_MS }
  }

  private _parse (text: string): T | JaymillError {
    try {
      return this._codec.parse(text)
    } catch (err) {
      return err instanceof JaymillError ? err : new RequestError(ErrorKind.Config, `${this._key} is not valid`, { cause: err })
    }
  }

  private _decide (document: T, published: PublishedDocument, source: string): Offer {
    const revision = this._current?.published.revision ?? 0
    if (published.revision < revision) {
      return this._refuse(OfferOutcome.Older, `${this._key} revision ${published.revision} is older than ${revision}`)
    }
    if (this._current !== undefined && published.revision === revision) return this._compare(published.digest, source)
    this._current = { document, published }
    this._conflict = undefined
    if (published.revision >= (this._known?.revision ?? 0)) this._known = undefined
    return { outcome: OfferOutcome.Adopted }
  }

  private _compare (refusedDigest: string, source: string): Offer {
    const { revision, digest } = this._current?.published ?? { revision: 0, digest: '' }
    if (refusedDigest === digest) return { outcome: OfferOutcome.Same }
    this._conflict = { key: this._key, revision, digest, refusedDigest, source }
    return this._refuse(OfferOutcome.Conflict, `${this._key} revision ${revision} has another digest at ${source}`)
  }

  private _refuse (outcome: OfferOutcome, message: string): Offer {
    return { outcome, error: new RequestError(ErrorKind.Config, message) }
  }
}
