import { ENDPOINT_GRACE_MS, REMOVED_ENDPOINT_MEMORY_MS } from './constants.js'
import type { EndpointChange, EndpointRecord } from './JaymillEndpointRecord.js'
import { wasRestored } from './JaymillSourceRevision.js'

interface DirectoryEntry {
  readonly record: EndpointRecord
  /** Monotonic time after which an entry that is missing since an outage is removed, in milliseconds. */
  readonly missingUntilMs?: number
}

/** Endpoint that was removed. */
interface RemovedEndpoint {
  readonly record: EndpointRecord
  /** Monotonic time, in milliseconds. */
  readonly removedMs: number
}

/** Kind of a directory change. */
export enum DirectoryEvent {
  Added = 'added',
  Changed = 'changed',
  Leaving = 'leaving',
  Removed = 'removed',
  /** Missing after an outage of the publisher; retained until it is published again or its grace period ends. */
  Missing = 'missing'
}

/** One change to the directory. */
export interface DirectoryChange {
  readonly event: DirectoryEvent
  readonly record: EndpointRecord
}

/**
 * Holds the published endpoints. Records that expire during an outage of the publisher are retained for a grace period. After the
 * publisher was restored from a copy, so are records that the copy lacks, and records of the copy replace no newer ones.
 */
export class EndpointDirectory {
  private readonly _entries = new Map<string, DirectoryEntry>()
  private _revision = 0
  private _graceUntilMs = Number.NEGATIVE_INFINITY
  /** Whether the publisher was restored while this directory was in use. */
  private _restored = false
  private readonly _removed = new Map<string, RemovedEndpoint>()

  /** Revision of the newest update; 0 before the first. */
  get revision (): number {
    return this._revision
  }

  /**
   * Starts the grace period after an outage of the publisher. Records that expired during the outage are retained long enough
   * for their endpoints to publish them again.
   *
   * @param nowMs - Monotonic time in milliseconds.
   */
  publisherRecovered (nowMs: number): void {
    this.extendGrace(ENDPOINT_GRACE_MS, nowMs)
  }

  /**
   * Extends the grace period to that of another host, which has detected an outage.
   *
   * @param ms - Remaining grace period, in milliseconds; 0 changes nothing.
   * @param nowMs - Monotonic time in milliseconds.
   */
  extendGrace (ms: number, nowMs: number): void {
    this._graceUntilMs = Math.max(this._graceUntilMs, nowMs + ms)
  }

  /**
   * @param nowMs - Monotonic time in milliseconds.
   * @returns Remaining grace period, in milliseconds; 0 without an outage.
   */
  graceMs (nowMs: number): number {
    return Math.max(0, this._graceUntilMs - nowMs)
  }

  /**
   * @returns Records that are currently published, without those that are missing after an outage.
   */
  published (): readonly EndpointRecord[] {
    return [...this._entries.values()].filter(({ missingUntilMs }) => missingUntilMs === undefined).map(({ record }) => record)
  }

  /**
   * Applies a complete list of records.
   *
   * @param records - All valid records.
   * @param revision - Revision of the list; the list is ignored if it is older than the current revision.
   * @param nowMs - Monotonic time in milliseconds.
   * @returns Resulting changes to the directory.
   */
  applySnapshot (records: readonly EndpointRecord[], revision: number, nowMs: number): readonly DirectoryChange[] {
    if (wasRestored(revision, this._revision)) {
      this._restored = true
      this.extendGrace(ENDPOINT_GRACE_MS, nowMs)
    }
    const current = this._restored ? records.filter(record => !this._isRemoved(record)).map(record => this._newest(record)) : records
    return this._applyList(current, revision, nowMs)
  }

  private _applyList (records: readonly EndpointRecord[], revision: number, nowMs: number): readonly DirectoryChange[] {
    const listed = new Set(records.map(({ id }) => id))
    const removals = [...this._entries.keys()].filter(id => !listed.has(id)).map(id => ({ id }))
    return this.apply([...records.map(record => ({ id: record.id, record })), ...removals], revision, nowMs)
  }

  /**
   * Applies changes to individual records.
   *
   * @param changes - Changes in order.
   * @param revision - Revision after the last change; the changes are ignored if it is older than the current revision.
   * @param nowMs - Monotonic time in milliseconds.
   * @returns Resulting changes to the directory.
   */
  apply (changes: readonly EndpointChange[], revision: number, nowMs: number): readonly DirectoryChange[] {
    if (revision < this._revision) return []
    this._revision = revision
    return changes.flatMap(({ id, record }) => record === undefined ? this._remove(id, nowMs) : this._put(record))
  }

  /**
   * Removes missing records whose grace period has ended.
   *
   * @param nowMs - Monotonic time in milliseconds.
   * @returns Removed records.
   */
  expire (nowMs: number): readonly DirectoryChange[] {
    ;[...this._removed].filter(([, { removedMs }]) => nowMs - removedMs > REMOVED_ENDPOINT_MEMORY_MS).forEach(([id]) => this._removed.delete(id))
    const expired = [...this._entries.values()].filter(({ missingUntilMs }) => missingUntilMs !== undefined && missingUntilMs <= nowMs)
    return expired.map(({ record }) => this._drop(record, nowMs))
  }

  /**
   * @param service - Name of a service.
   * @returns Endpoints that accept new work.
   */
  usable (service: string): readonly EndpointRecord[] {
    return this.records().filter(record => record.service === service && !record.leaving)
  }

  /**
   * @param id - Id of an endpoint.
   * @returns Its record, or `undefined` if it is unknown.
   */
  get (id: string): EndpointRecord | undefined {
    return this._entries.get(id)?.record
  }

  /**
   * @returns All records, including those of endpoints that are leaving.
   */
  records (): readonly EndpointRecord[] {
    return [...this._entries.values()].map(({ record }) => record)
  }

  private _isRemoved (record: EndpointRecord): boolean {
    const removed = this._removed.get(record.id)?.record
    return !this._entries.has(record.id) && removed !== undefined && !isNewer(record, removed)
  }

  private _newest (record: EndpointRecord): EndpointRecord {
    const known = this._entries.get(record.id)?.record
    return known === undefined || isNewer(record, known) ? record : known
  }

  private _put (record: EndpointRecord): readonly DirectoryChange[] {
    const before = this._entries.get(record.id)?.record
    this._entries.set(record.id, { record })
    if (before === undefined) return [{ event: DirectoryEvent.Added, record }]
    if (record.leaving && !before.leaving) return [{ event: DirectoryEvent.Leaving, record }]
    const unchanged = before.address === record.address && before.stage === record.stage && before.service === record.service
    return unchanged ? [] : [{ event: DirectoryEvent.Changed, record }]
  }

  private _remove (id: string, nowMs: number): readonly DirectoryChange[] {
    const entry = this._entries.get(id)
    if (entry === undefined || entry.missingUntilMs !== undefined) return []
    if (entry.record.leaving || nowMs >= this._graceUntilMs) return [this._drop(entry.record, nowMs)]
    this._entries.set(id, { record: entry.record, missingUntilMs: this._graceUntilMs })
    return [{ event: DirectoryEvent.Missing, record: entry.record }]
  }

  private _drop (record: EndpointRecord, nowMs: number): DirectoryChange {
    this._entries.delete(record.id)
    this._removed.set(record.id, { record, removedMs: nowMs })
    return { event: DirectoryEvent.Removed, record }
  }
}

/** Records that don't tell count as newer. */
function isNewer (record: EndpointRecord, known: EndpointRecord): boolean {
  if (record.bornMs !== known.bornMs) return record.bornMs === undefined || known.bornMs === undefined || record.bornMs > known.bornMs
  return record.sequence === undefined || known.sequence === undefined || record.sequence > known.sequence
}
