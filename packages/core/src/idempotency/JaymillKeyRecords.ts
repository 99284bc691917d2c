import { MAX_ANSWERS_BYTES, MAX_ANSWER_BYTES, MAX_RECORDS, RECORD_RETENTION_MS } from './constants.js'
import { KeptAnswer } from './JaymillKeyDecision.js'

/** How far a request has come. */
export enum RecordState {
  /** Permitted, and not sent yet. */
  Permitted = 'permitted',
  /** Sent; the outcome is open. */
  Sent = 'sent',
  Ran = 'ran',
  /** Truly not run, and never to be run. */
  Refused = 'refused',
  /** Sent; the outcome was never learned. */
  Lost = 'lost'
}

/** What the owner remembers of one request. */
export interface KeyRecord {
  readonly id: string
  readonly fingerprint: string
  /** Mint time in wall-clock milliseconds; `undefined` for a key without a time. */
  readonly mintMs: number | undefined
  /** Monotonic time of the first arrival, in milliseconds. */
  readonly createdAtMs: number
  readonly state: RecordState
  readonly answer?: KeptAnswer
}

/** Limits of what is remembered. */
export interface RecordLimits {
  readonly records: number
  readonly retentionMs: number
  readonly answerBytes: number
  readonly answersBytes: number
}

const DEFAULT_LIMITS: RecordLimits = {
  records: MAX_RECORDS,
  retentionMs: RECORD_RETENTION_MS,
  answerBytes: MAX_ANSWER_BYTES,
  answersBytes: MAX_ANSWERS_BYTES
}

/**
 * Outcomes remembered for a bounded time and size. A record that falls out raises the horizon to its mint time, so that
 * a key that may have been forgotten is never taken for a new one.
 */
export class KeyRecords {
  private readonly _limits: RecordLimits
  private readonly _records = new Map<string, KeyRecord>()
  private readonly _answers = new Map<string, number>()
  private _answersBytes = 0
  private _horizonMs = -Infinity
  private _untimedForgotten = false

  /**
   * @param limits - Limits that differ from the constants of the room.
   */
  constructor (limits: Partial<RecordLimits> = {}) {
    this._limits = { ...DEFAULT_LIMITS, ...limits }
  }

  /** Records held. */
  get size (): number {
    return this._records.size
  }

  /** Bytes of answers held. */
  get answersBytes (): number {
    return this._answersBytes
  }

  /**
   * @param id - Key with its scope.
   * @returns The record, or `undefined`.
   */
  get (id: string): KeyRecord | undefined {
    return this._records.get(id)
  }

  /**
   * Tells whether a key without a record is truly new here.
   *
   * @param mintMs - Mint time in wall-clock milliseconds; `undefined` for a key without a time.
   * @returns False when its record may have fallen out.
   */
  remembersSince (mintMs: number | undefined): boolean {
    return mintMs === undefined ? !this._untimedForgotten : mintMs > this._horizonMs
  }

  /**
   * Adds a record and drops what exceeds the limits.
   *
   * @param record - New record.
   */
  add (record: KeyRecord): void {
    this._records.set(record.id, record)
    this.expire(record.createdAtMs)
  }

  /**
   * Moves a record on.
   *
   * @param id - Key with its scope.
   * @param state - New state.
   * @param answer - Answer of the endpoint, for `Ran`.
   */
  settle (id: string, state: RecordState, answer?: KeptAnswer): void {
    const record = this._records.get(id)
    if (record === undefined) return
    const kept = answer !== undefined && answer.body.byteLength <= this._limits.answerBytes ? { answer } : {}
    this._records.set(id, { ...record, state, ...kept })
    if (kept.answer !== undefined) this._keepAnswer(id, kept.answer.body.byteLength)
  }

  /**
   * Drops what exceeds the limits.
   *
   * @param nowMs - Monotonic time in milliseconds.
   */
  expire (nowMs: number): void {
    let surplus = this._records.size - this._limits.records
    for (const record of this._records.values()) {
      if (surplus <= 0 && record.createdAtMs + this._limits.retentionMs > nowMs) return
      this._forget(record)
      surplus -= 1
    }
  }

  private _forget (record: KeyRecord): void {
    this._records.delete(record.id)
    this._dropAnswer(record.id)
    if (record.mintMs === undefined) this._untimedForgotten = true
    else this._horizonMs = Math.max(this._horizonMs, record.mintMs)
  }

  private _keepAnswer (id: string, bytes: number): void {
    this._answers.set(id, bytes)
    this._answersBytes += bytes
    while (this._answersBytes > this._limits.answersBytes) this._stripOldest()
  }

  private _stripOldest (): void {
    const [oldest] = this._answers.keys()
    const record = oldest === undefined ? undefined : this._records.get(oldest)
    if (record === undefined) return
    const { answer, ...rest } = record
    this._records.set(record.id, rest)
    this._dropAnswer(record.id)
  }

  private _dropAnswer (id: string): void {
    this._answersBytes -= this._answers.get(id) ?? 0
    this._answers.delete(id)
  }
}
