import type { DocumentKey } from '../ports/JaymillConfigSource.js'
import type { DocumentVersion } from '../ports/peers/JaymillHeartbeatHandler.js'
import { FETCH_RETRY_MS, MAX_FETCH_CANDIDATES } from './JaymillConfigConstants.js'

/** Request for a document, to be sent to one host. */
export interface DocumentFetch {
  readonly key: DocumentKey
  readonly hostId: string
  /** Lowest acceptable revision. */
  readonly revision: number
}

interface FetchCandidate {
  readonly revision: number
  requestedMs: number
}

/** Selects the host from which to fetch a newer revision of one document: one host at a time, another one after a failure. */
export class DocumentFetchScheduler {
  private readonly _key: DocumentKey
  private readonly _candidates = new Map<string, FetchCandidate>()
  private _pendingHostId: string | undefined

  /**
   * @param key - Key of the document to fetch.
   */
  constructor (key: DocumentKey) {
    this._key = key
  }

  /**
   * Adds a host that has a newer revision.
   *
   * @param version - Version with a higher revision than the active one.
   * @param hostId - Host that reported it.
   */
  addCandidate (version: DocumentVersion, hostId: string): void {
    const requestedMs = this._candidates.get(hostId)?.requestedMs ?? Number.NEGATIVE_INFINITY
    if (!this._candidates.has(hostId) && this._candidates.size >= MAX_FETCH_CANDIDATES) this._dropLowest()
    this._candidates.set(hostId, { revision: version.revision, requestedMs })
  }

  /**
   * Selects the next request; none while one is outstanding.
   *
   * @param revision - Revision that is active on this host.
   * @param nowMs - Monotonic time in milliseconds.
   * @returns Request to send now, if any.
   */
  next (revision: number, nowMs: number): DocumentFetch | undefined {
    this._removeOutdated(revision)
    if (this._pendingHostId !== undefined) return undefined
    const [selected] = [...this._candidates]
      .filter(([, candidate]) => nowMs - candidate.requestedMs >= FETCH_RETRY_MS)
      .sort(([, a], [, b]) => b.revision - a.revision || a.requestedMs - b.requestedMs)
    if (selected === undefined) return undefined
    const [hostId, candidate] = selected
    candidate.requestedMs = nowMs
    this._pendingHostId = hostId
    return { key: this._key, hostId, revision: revision + 1 }
  }

  /**
   * Marks the outstanding request as completed, successful or not.
   */
  finish (): void {
    this._pendingHostId = undefined
  }

  private _removeOutdated (revision: number): void {
    const outdated = [...this._candidates].filter(([, candidate]) => candidate.revision <= revision)
    outdated.forEach(([hostId]) => this._candidates.delete(hostId))
  }

  private _dropLowest (): void {
    const [lowest] = [...this._candidates].sort(([, a], [, b]) => a.revision - b.revision)
    if (lowest !== undefined) this._candidates.delete(lowest[0])
  }
}
