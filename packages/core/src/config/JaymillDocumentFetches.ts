import type { PlatformKey } from '../ports/JaymillPlatformReader.js'
import type { DocumentMark } from '../ports/peers/JaymillHeartbeatHandler.js'
import { FETCH_RETRY_MS, MAX_HOLDERS } from './JaymillConfigConstants.js'

/** Question to be sent for a document. */
export interface DocumentFetch {
  readonly key: PlatformKey
  readonly hostId: string
  /** Lowest revision that is wanted. */
  readonly revision: number
}

interface Holder {
  readonly revision: number
  askedMs: number
}

/** Decides whom to ask for one newer document: one host at a time, another one after a failure. */
export class DocumentFetches {
  private readonly _key: PlatformKey
  private readonly _holders = new Map<string, Holder>()
  private _asked: string | undefined

  /**
   * @param key - Document that is fetched.
   */
  constructor (key: PlatformKey) {
    this._key = key
  }

  /**
   * @param mark - Mark that is higher than the one in force here.
   * @param hostId - Host that has announced it.
   */
  offer (mark: DocumentMark, hostId: string): void {
    const askedMs = this._holders.get(hostId)?.askedMs ?? Number.NEGATIVE_INFINITY
    if (!this._holders.has(hostId) && this._holders.size >= MAX_HOLDERS) this._dropLowest()
    this._holders.set(hostId, { revision: mark.revision, askedMs })
  }

  /**
   * @param revision - Revision in force here.
   * @param nowMs - Time in milliseconds.
   * @returns Question to be sent now, if any.
   */
  next (revision: number, nowMs: number): DocumentFetch | undefined {
    this._forget(revision)
    if (this._asked !== undefined) return undefined
    const [choice] = [...this._holders]
      .filter(([, holder]) => nowMs - holder.askedMs >= FETCH_RETRY_MS)
      .sort(([, a], [, b]) => b.revision - a.revision || a.askedMs - b.askedMs)
    if (choice === undefined) return undefined
    const [hostId, holder] = choice
    holder.askedMs = nowMs
    this._asked = hostId
    return { key: this._key, hostId, revision: revision + 1 }
  }

  /**
   * Notes that the question has an outcome, whichever it is.
   */
  finish (): void {
    this._asked = undefined
  }

  private _forget (revision: number): void {
    const useless = [...this._holders].filter(([, holder]) => holder.revision <= revision)
    useless.forEach(([hostId]) => this._holders.delete(hostId))
  }

  private _dropLowest (): void {
    const [lowest] = [...this._holders].sort(([, a], [, b]) => a.revision - b.revision)
    if (lowest !== undefined) this._holders.delete(lowest[0])
  }
}
