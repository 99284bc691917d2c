import { ErrorKind, JaymillError } from '../errors/JaymillError.js'
import { RequestError } from '../errors/JaymillRequestError.js'
import type { DocumentKey } from '../ports/JaymillConfigSource.js'
import type { PublishedDocument } from '../ports/peers/JaymillConfigHandler.js'
import type { DocumentVersion } from '../ports/peers/JaymillHeartbeatHandler.js'
import { LAG_REPORT_MS } from './JaymillConfigConstants.js'
import type { DocumentCodec, RevisionedDocument } from './JaymillDocumentCodec.js'

/** Outcome of an offered document. */
export enum OfferOutcome {
  /** The document became active. */
  Adopted = 'adopted',
  /** The document was already active. */
  Same = 'same',
  /** A higher revision is active. */
  Older = 'older',
  /** The same revision is active with a different text. */
  Conflict = 'conflict',
  /** The text is not a valid document or does not match the announced digest. */
  Invalid = 'invalid'
}

/** Result of offering a document. */
export interface OfferResult {
  readonly outcome: OfferOutcome
  /** Why the document was refused. */
  readonly error?: JaymillError
}

/** Two different texts with the same revision. */
export interface DigestConflict {
  readonly key: DocumentKey
  readonly revision: number
  /** Digest of the document that is active on this host. */
  readonly digest: string
  /** Digest of the refused document. */
  readonly refusedDigest: string
  /** Host id or configuration source that sent the refused document. */
  readonly source: string
}

/** How far the active document of this host is behind the newest known revision. */
export interface ConfigLag {
  readonly key: DocumentKey
  /** Revision that is active on this host; 0 when there is none. */
  readonly revision: number
  /** Highest revision that another host has reported. */
  readonly knownRevision: number
  /** Time since another host first reported a higher revision, in milliseconds. */
  readonly sinceMs: number
  /** Whether the lag exceeds `LAG_REPORT_MS`. */
  readonly overdue: boolean
}

/** Document that this host currently applies. */
export interface ActiveDocument<T> {
  readonly document: T
  readonly published: PublishedDocument
}

/**
 * Decides which revision of one document is active. The highest revision wins, the revision never decreases, and a second text
 * with the same revision is refused.
 */
export class ConfigAuthority<T extends RevisionedDocument> {
  private readonly _key: DocumentKey
  private readonly _codec: DocumentCodec<T>
  private _current: ActiveDocument<T> | undefined
  private _conflict: DigestConflict | undefined
  private _newest: { readonly revision: number, readonly sinceMs: number } | undefined

  /**
   * @param key - Key of the document.
   * @param codec - Parses and hashes its text.
   */
  constructor (key: DocumentKey, codec: DocumentCodec<T>) {
    this._key = key
    this._codec = codec
  }

  /** Key of the document. */
  get key (): DocumentKey {
    return this._key
  }

  /** Active document; `undefined` before the first. */
  get current (): ActiveDocument<T> | undefined {
    return this._current
  }

  /** Last conflict over the active revision; cleared when a higher revision is adopted. */
  get conflict (): DigestConflict | undefined {
    return this._conflict
  }

  /** Version of the active document; `undefined` before the first. */
  get version (): DocumentVersion | undefined {
    if (this._current === undefined) return undefined
    const { key, revision, digest } = this._current.published
    return { key, revision, digest }
  }

  /**
   * Offers a text read from the configuration source.
   *
   * @param text - Published text.
   * @param source - Where it came from; reported with a conflict.
   * @returns Whether it was adopted, or why not.
   */
  offerText (text: string, source: string): OfferResult {
    const digest = this._codec.digest(text)
    if (digest === this._current?.published.digest) return { outcome: OfferOutcome.Same }
    const parsed = this._parse(text)
    if (parsed instanceof JaymillError) return { outcome: OfferOutcome.Invalid, error: parsed }
    return this._decide(parsed, { key: this._key, revision: parsed.revision, digest, text }, source)
  }

  /**
   * Offers a document that another host sent. Its key must be the key decided on here, and its digest must match its text.
   *
   * @param published - Document as received.
   * @param source - Id of the other host.
   * @returns Whether it was adopted, or why not.
   */
  offerDocument (published: PublishedDocument, source: string): OfferResult {
    const matches = published.key === this._key && this._codec.digest(published.text) === published.digest
    if (!matches) return this._refuse(OfferOutcome.Invalid, `${this._key} from ${source} does not match its digest`)
    return this.offerText(published.text, source)
  }

  /**
   * Records the version of the document that is active on another host.
   *
   * @param version - Version that the other host reported.
   * @param source - Id of the other host.
   * @param nowMs - Monotonic time in milliseconds.
   * @returns Whether the other host has a higher revision.
   */
  observeVersion (version: DocumentVersion, source: string, nowMs: number): boolean {
    const revision = this._current?.published.revision ?? 0
    if (version.revision === revision && this._current !== undefined) this._compare(version.digest, source)
    if (version.revision <= revision) return false
    if (version.revision > (this._newest?.revision ?? 0)) this._newest = { revision: version.revision, sinceMs: this._newest?.sinceMs ?? nowMs }
    return true
  }

  /**
   * Returns how far this host is behind the newest known revision.
   *
   * @param nowMs - Monotonic time in milliseconds.
   * @returns The lag, or `undefined` when no higher revision is known.
   */
  lag (nowMs: number): ConfigLag | undefined {
    if (this._newest === undefined) return undefined
    const sinceMs = nowMs - this._newest.sinceMs
    const revision = this._current?.published.revision ?? 0
    return { key: this._key, revision, knownRevision: this._newest.revision, sinceMs, overdue: sinceMs > LAG_REPORT_MS }
  }

  private _parse (text: string): T | JaymillError {
    try {
      return this._codec.parse(text)
    } catch (err) {
      return err instanceof JaymillError ? err : new RequestError(ErrorKind.Config, `${this._key} is not valid`, { cause: err })
    }
  }

  private _decide (document: T, published: PublishedDocument, source: string): OfferResult {
    const revision = this._current?.published.revision ?? 0
    if (published.revision < revision) {
      return this._refuse(OfferOutcome.Older, `${this._key} revision ${published.revision} is older than ${revision}`)
    }
    if (this._current !== undefined && published.revision === revision) return this._compare(published.digest, source)
    this._current = { document, published }
    this._conflict = undefined
    if (published.revision >= (this._newest?.revision ?? 0)) this._newest = undefined
    return { outcome: OfferOutcome.Adopted }
  }

  private _compare (refusedDigest: string, source: string): OfferResult {
    const { revision, digest } = this._current?.published ?? { revision: 0, digest: '' }
    if (refusedDigest === digest) return { outcome: OfferOutcome.Same }
    this._conflict = { key: this._key, revision, digest, refusedDigest, source }
    return this._refuse(OfferOutcome.Conflict, `${this._key} revision ${revision} has a different digest at ${source}`)
  }

  private _refuse (outcome: OfferOutcome, message: string): OfferResult {
    return { outcome, error: new RequestError(ErrorKind.Config, message) }
  }
}
