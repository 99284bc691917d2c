import { ENDPOINT_RETURN_MS } from './constants.js'
import type { EndpointChange, EndpointRecord } from './JaymillEndpointRecord.js'

interface DirectoryEntry {
  readonly record: EndpointRecord
  /** Time after which an entry that was missing after an outage counts as removed, in milliseconds. */
  readonly missingUntilMs?: number
}

/** Why a change of the directory was made. */
export enum DirectoryEvent {
  Added = 'added',
  Changed = 'changed',
  Leaving = 'leaving',
  Removed = 'removed',
  /** Missing after an outage; kept until it is back or its time is over. */
  Missing = 'missing'
}

/** One change that the directory made. */
export interface DirectoryNote {
  readonly event: DirectoryEvent
  readonly record: EndpointRecord
}

/** Endpoints that may get work, by what is published and how long the publisher was out of reach. */
export class EndpointDirectory {
  private readonly _entries = new Map<string, DirectoryEntry>()
  private _revision = 0
  private _graceUntilMs = Number.NEGATIVE_INFINITY

  /** Revision of the newest fact that was taken in; 0 before the first. */
  get revision (): number {
    return this._revision
  }

  /**
   * Tells that the publisher answers again. Records that lapsed meanwhile are kept for the time that it takes their
   * endpoints to publish them again.
   *
   * @param nowMs - Monotonic time in milliseconds.
   */
  publisherReturned (nowMs: number): void {
    this.returnWithin(ENDPOINT_RETURN_MS, nowMs)
  }

  /**
   * Keeps records that lapse for some time, as another host does after an outage.
   *
   * @param ms - Time, in milliseconds; 0 changes nothing.
   * @param nowMs - Monotonic time in milliseconds.
   */
  returnWithin (ms: number, nowMs: number): void {
    this._graceUntilMs = Math.max(this._graceUntilMs, nowMs + ms)
  }

  /**
   * @param nowMs - Monotonic time in milliseconds.
   * @returns Time for which records that lapse are still kept, in milliseconds; 0 without an outage.
   */
  graceMs (nowMs: number): number {
    return Math.max(0, this._graceUntilMs - nowMs)
  }

  /**
   * @returns Records as published, without those that are missing after an outage.
   */
  published (): readonly EndpointRecord[] {
    return [...this._entries.values()].filter(({ missingUntilMs }) => missingUntilMs === undefined).map(({ record }) => record)
  }

  /**
   * Takes in a complete list.
   *
   * @param records - Every readable record.
   * @param revision - Revision of the list; an older one than known is ignored.
   * @param nowMs - Monotonic time in milliseconds.
   * @returns What has changed.
   */
  adoptAll (records: readonly EndpointRecord[], revision: number, nowMs: number): readonly DirectoryNote[] {
    const listed = new Set(records.map(({ id }) => id))
    const gone = [...this._entries.keys()].filter(id => !listed.has(id)).map(id => ({ id }))
    return this.apply([...records.map(record => ({ id: record.id, record })), ...gone], revision, nowMs)
  }

  /**
   * Takes in changes.
   *
   * @param changes - Changes in order.
   * @param revision - Revision after the last of them; older ones than known are ignored.
   * @param nowMs - Monotonic time in milliseconds.
   * @returns What has changed.
   */
  apply (changes: readonly EndpointChange[], revision: number, nowMs: number): readonly DirectoryNote[] {
    if (revision < this._revision) return []
    this._revision = revision
    return changes.flatMap(({ id, record }) => record === undefined ? this._remove(id, nowMs) : this._put(record))
  }

  /**
   * Removes records whose time to return is over.
   *
   * @param nowMs - Monotonic time in milliseconds.
   * @returns What was removed.
   */
  expire (nowMs: number): readonly DirectoryNote[] {
    const lapsed = [...this._entries.values()].filter(({ missingUntilMs }) => missingUntilMs !== undefined && missingUntilMs <= nowMs)
    return lapsed.map(({ record }) => this._drop(record))
  }

  /**
   * @param service - Name of a service.
   * @returns Endpoints that may get new work.
   */
  usable (service: string): readonly EndpointRecord[] {
    return this.records().filter(record => record.service === service && !record.leaving)
  }

  /**
   * @param id - Id of an endpoint.
   * @returns Its record, or `undefined`.
   */
  get (id: string): EndpointRecord | undefined {
    return this._entries.get(id)?.record
  }

  /**
   * @returns Every record, leaving ones included.
   */
  records (): readonly EndpointRecord[] {
    return [...this._entries.values()].map(({ record }) => record)
  }

  private _put (record: EndpointRecord): readonly DirectoryNote[] {
    const before = this._entries.get(record.id)?.record
    this._entries.set(record.id, { record })
    if (before === undefined) return [{ event: DirectoryEvent.Added, record }]
    if (record.leaving && !before.leaving) return [{ event: DirectoryEvent.Leaving, record }]
    const same = before.address === record.address && before.stage === record.stage && before.service === record.service
    return same ? [] : [{ event: DirectoryEvent.Changed, record }]
  }

  private _remove (id: string, nowMs: number): readonly DirectoryNote[] {
    const entry = this._entries.get(id)
    if (entry === undefined || entry.missingUntilMs !== undefined) return []
    if (entry.record.leaving || nowMs >= this._graceUntilMs) return [this._drop(entry.record)]
    this._entries.set(id, { record: entry.record, missingUntilMs: this._graceUntilMs })
    return [{ event: DirectoryEvent.Missing, record: entry.record }]
  }

  private _drop (record: EndpointRecord): DirectoryNote {
    this._entries.delete(record.id)
    return { event: DirectoryEvent.Removed, record }
  }
}
