import { ErrorKind, RanState } from '../errors/JaymillError.js'
import { RequestError } from '../errors/JaymillRequestError.js'
import { RESPONSE_RETENTION_MS, MAX_STORED_BYTES, MAX_STORED_RESPONSES } from './constants.js'
import { ResponseBuffer, ResponseState } from './JaymillResponseBuffer.js'

/** Limits of a response store. */
export interface ResponseStoreLimits {
  readonly maxBytes: number
  readonly maxResponses: number
  /** Retention time of an ended response, in milliseconds. */
  readonly retentionMs: number
}

/** Whether the opened response was already stored, and in which state. */
export enum ResponseOpenOutcome {
  /** It is new and has to be run. */
  New = 'new',
  /** It is running or complete and only has to be read. */
  Joined = 'joined',
  /** It failed part-way and has to be continued after the existing tokens. */
  Continued = 'continued'
}

/** A response and how the request has to proceed. */
export interface OpenedResponse {
  readonly outcome: ResponseOpenOutcome
  readonly buffer: ResponseBuffer
  /** Buffer of the failed run, whose tokens the new run continues; `null` otherwise. */
  readonly previous: ResponseBuffer | null
}

interface Entry {
  readonly fingerprint: string
  readonly buffer: ResponseBuffer
  readonly endedAtMs: number
}

const DEFAULT_LIMITS: ResponseStoreLimits = {
  maxBytes: MAX_STORED_BYTES,
  maxResponses: MAX_STORED_RESPONSES,
  retentionMs: RESPONSE_RETENTION_MS
}

/** Responses of a host by caller key, so that a retry joins, continues or replays a response instead of running twice. */
export class ResponseStore {
  private readonly _limits: ResponseStoreLimits
  private readonly _running = new Map<string, Entry>()
  /** Ordered by the time they ended. */
  private readonly _ended = new Map<string, Entry>()
  private _bytes = 0

  /**
   * @param limits - Limits that override the defaults.
   */
  constructor (limits: Partial<ResponseStoreLimits> = {}) {
    this._limits = { ...DEFAULT_LIMITS, ...limits }
  }

  /**
   * @returns Number of stored responses.
   */
  get size (): number {
    return this._running.size + this._ended.size
  }

  /**
   * @returns Memory used, in bytes.
   */
  get bytes (): number {
    return this._bytes
  }

  /**
   * Opens the response of a request, or creates it.
   *
   * @param key - Account and idempotency key, or the id of the request.
   * @param fingerprint - Fingerprint of the request.
   * @param nowMs - Monotonic time in milliseconds.
   * @returns The response to read, and whether it has to be run.
   * @throws RequestError of kind `KeyConflict` if the key belongs to another request, `Overloaded` if the store is full.
   */
  open (key: string, fingerprint: string, nowMs: number): OpenedResponse {
    this._dropEnded(entry => nowMs - entry.endedAtMs >= this._limits.retentionMs)
    const existing = this._running.get(key) ?? this._ended.get(key)
    if (existing !== undefined && existing.fingerprint !== fingerprint) {
      throw new RequestError(ErrorKind.KeyConflict, 'the idempotency key belongs to another request', { ran: RanState.No })
    }
    if (existing !== undefined && existing.buffer.state !== ResponseState.Failed) {
      return { outcome: ResponseOpenOutcome.Joined, buffer: existing.buffer, previous: null }
    }
    if (existing !== undefined) this._drop(key, existing)
    this._dropEnded(() => this._isFull())
    if (this._isFull()) throw new RequestError(ErrorKind.Overloaded, 'too many responses are stored')
    const buffer = new ResponseBuffer(bytes => { this._bytes += bytes })
    this._running.set(key, { fingerprint, buffer, endedAtMs: Infinity })
    const outcome = existing === undefined ? ResponseOpenOutcome.New : ResponseOpenOutcome.Continued
    return { outcome, buffer, previous: existing?.buffer ?? null }
  }

  /**
   * Marks a response as ended; it is retained for retries by the caller while capacity permits.
   *
   * @param key - Key given to `open`.
   * @param buffer - Buffer of the response.
   * @param nowMs - Monotonic time in milliseconds.
   */
  markEnded (key: string, buffer: ResponseBuffer, nowMs: number): void {
    const entry = this._running.get(key)
    if (entry?.buffer !== buffer) return
    this._running.delete(key)
    this._ended.set(key, { ...entry, endedAtMs: nowMs })
    this._dropEnded(() => this._bytes >= this._limits.maxBytes)
  }

  /**
   * @param key - Key given to `open`.
   * @returns Whether a response is stored for it.
   */
  has (key: string): boolean {
    return this._running.has(key) || this._ended.has(key)
  }

  /**
   * Removes a response that no retry can request.
   *
   * @param key - Key given to `open`.
   */
  remove (key: string): void {
    const entry = this._running.get(key) ?? this._ended.get(key)
    if (entry !== undefined) this._drop(key, entry)
  }

  private _isFull (): boolean {
    return this.size >= this._limits.maxResponses || this._bytes >= this._limits.maxBytes
  }

  private _dropEnded (shouldDrop: (entry: Entry) => boolean): void {
    for (const [key, entry] of this._ended) {
      if (!shouldDrop(entry)) return
      this._drop(key, entry)
    }
  }

  private _drop (key: string, entry: Entry): void {
    this._running.delete(key)
    this._ended.delete(key)
    this._bytes -= entry.buffer.bytes
  }
}
