import { MAX_STORED_RESPONSE_TOTAL_BYTES, MAX_STORED_RESPONSE_BYTES, MAX_RECORDS, RECORD_RETENTION_MS } from './constants.js'
import { StoredResponse } from './JaymillKeyDecision.js'

/** Progress of a request. */
export enum RecordState {
  /** Permitted, but not sent yet. */
  Permitted = 'permitted',
  /** Sent; the outcome is pending. */
  Sent = 'sent',
  Ran = 'ran',
  /** Certainly not run, and never will be. */
  Refused = 'refused',
  /** Sent; the outcome is unknown and will stay so. */
  Lost = 'lost'
}

/** Record that the owner stores for one request. */
export interface KeyRecord {
  readonly id: string
  readonly fingerprint: string
  /** Mint time in wall-clock milliseconds; `undefined` for a key without a time. */
  readonly mintMs: number | undefined
  /** Monotonic time of the first arrival, in milliseconds. */
  readonly createdAtMs: number
  readonly state: RecordState
  readonly response?: StoredResponse
}

/** Limits on the retained records. */
export interface RecordLimits {
  /** Number of records. */
  readonly records: number
  /** Retention time of a record, in milliseconds. */
  readonly retentionMs: number
  /** Size of one stored response, in bytes. */
  readonly responseBytes: number
  /** Total size of all stored responses, in bytes. */
  readonly totalResponseBytes: number
}

const DEFAULT_LIMITS: RecordLimits = {
  records: MAX_RECORDS,
  retentionMs: RECORD_RETENTION_MS,
  responseBytes: MAX_STORED_RESPONSE_BYTES,
  totalResponseBytes: MAX_STORED_RESPONSE_TOTAL_BYTES
}

/**
 * Records of requests, bounded in age, number and size. Evicting a record raises a horizon to its mint time, so that a key
 * whose record may have been evicted is never treated as new.
 */
export class KeyRecords {
  private readonly _limits: RecordLimits
  private readonly _records = new Map<string, KeyRecord>()
  private readonly _responseSizes = new Map<string, number>()
  private _totalResponseBytes = 0
  private _evictedMintMs = -Infinity
  private _untimedEvicted = false

  /**
   * @param limits - Limits that replace the default ones.
   */
  constructor (limits: Partial<RecordLimits> = {}) {
    this._limits = { ...DEFAULT_LIMITS, ...limits }
  }

  /** Number of records. */
  get size (): number {
    return this._records.size
  }

  /** Total size of the stored responses, in bytes. */
  get totalResponseBytes (): number {
    return this._totalResponseBytes
  }

  /**
   * Finds a record.
   *
   * @param id - Key with its scope.
   * @returns The record, or `undefined`.
   */
  get (id: string): KeyRecord | undefined {
    return this._records.get(id)
  }

  /**
   * Checks whether a key without a record is certainly new on this host.
   *
   * @param mintMs - Mint time in wall-clock milliseconds; `undefined` for a key without a time.
   * @returns False if its record may have been evicted.
   */
  coversMintTime (mintMs: number | undefined): boolean {
    return mintMs === undefined ? !this._untimedEvicted : mintMs > this._evictedMintMs
  }

  /**
   * Adds a record and evicts records that exceed the limits.
   *
   * @param record - New record.
   */
  add (record: KeyRecord): void {
    this._records.set(record.id, record)
    this.expire(record.createdAtMs)
  }

  /**
   * Sets the state of a record.
   *
   * @param id - Key with its scope.
   * @param state - New state.
   * @param response - Response of the endpoint, for `Ran`; it is not stored if it is too large.
   */
  settle (id: string, state: RecordState, response?: StoredResponse): void {
    const record = this._records.get(id)
    if (record === undefined) return
    const stored = response !== undefined && response.body.byteLength <= this._limits.responseBytes ? { response } : {}
    this._records.set(id, { ...record, state, ...stored })
    if (stored.response !== undefined) this._addResponse(id, stored.response.body.byteLength)
  }

  /**
   * Evicts records that exceed the limits.
   *
   * @param nowMs - Monotonic time in milliseconds.
   */
  expire (nowMs: number): void {
    let surplus = this._records.size - this._limits.records
    for (const record of this._records.values()) {
      if (surplus <= 0 && record.createdAtMs + this._limits.retentionMs > nowMs) return
      this._evict(record)
      surplus -= 1
    }
  }

  private _evict (record: KeyRecord): void {
    this._records.delete(record.id)
    this._removeResponse(record.id)
    if (record.mintMs === undefined) this._untimedEvicted = true
    else this._evictedMintMs = Math.max(this._evictedMintMs, record.mintMs)
  }

  private _addResponse (id: string, bytes: number): void {
    this._responseSizes.set(id, bytes)
    this._totalResponseBytes += bytes
    while (this._totalResponseBytes > this._limits.totalResponseBytes) this._evictOldestResponse()
  }

  private _evictOldestResponse (): void {
    const [oldest] = this._responseSizes.keys()
    const record = oldest === undefined ? undefined : this._records.get(oldest)
    if (record === undefined) return
    const { response, ...rest } = record
    this._records.set(record.id, rest)
    this._removeResponse(record.id)
  }

  private _removeResponse (id: string): void {
    this._totalResponseBytes -= this._responseSizes.get(id) ?? 0
    this._responseSizes.delete(id)
  }
}
