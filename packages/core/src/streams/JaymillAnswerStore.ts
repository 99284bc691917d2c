import { ErrorKind, RanState } from '../errors/JaymillError.js'
import { RequestError } from '../errors/JaymillRequestError.js'
import { KEEP_ANSWER_MS, MAX_KEPT_ANSWERS, MAX_KEPT_BYTES } from './constants.js'
import { AnswerBuffer, AnswerState } from './JaymillAnswerBuffer.js'

/** Bounds of the kept answers. */
export interface AnswerStoreLimits {
  readonly maxBytes: number
  readonly maxAnswers: number
  /** Time for which an ended answer stays, in milliseconds. */
  readonly keepMs: number
}

/** How a request relates to what the host already runs. */
export enum AnswerJoin {
  /** Nothing is known of it: run it. */
  New = 'new',
  /** It runs or has completed: only read it. */
  Joined = 'joined',
  /** It stopped half-way: run it again from the tokens that are there. */
  Continued = 'continued'
}

/** An answer and what the request has to do for it. */
export interface OpenedAnswer {
  readonly join: AnswerJoin
  readonly buffer: AnswerBuffer
  /** Buffer of the stopped run, whose tokens the new run starts from. */
  readonly previous: AnswerBuffer | null
}

interface Entry {
  readonly fingerprint: string
  readonly buffer: AnswerBuffer
  readonly endedAtMs: number
}

const DEFAULT_LIMITS: AnswerStoreLimits = {
  maxBytes: MAX_KEPT_BYTES,
  maxAnswers: MAX_KEPT_ANSWERS,
  keepMs: KEEP_ANSWER_MS
}

/** Answers of a host by caller key, so that a resend joins, resumes or replays instead of running twice. */
export class AnswerStore {
  private readonly _limits: AnswerStoreLimits
  private readonly _running = new Map<string, Entry>()
  /** In the order in which they ended. */
  private readonly _ended = new Map<string, Entry>()
  private _bytes = 0

  /**
   * @param limits - Bounds that differ from the defaults.
   */
  constructor (limits: Partial<AnswerStoreLimits> = {}) {
    this._limits = { ...DEFAULT_LIMITS, ...limits }
  }

  /**
   * @returns Answers that are held now.
   */
  get size (): number {
    return this._running.size + this._ended.size
  }

  /**
   * @returns Memory held, in bytes.
   */
  get bytes (): number {
    return this._bytes
  }

  /**
   * @param key - Account and idempotency key, or the request's own id.
   * @param fingerprint - Hash of what is asked.
   * @param nowMs - Monotonic time in milliseconds.
   * @returns The answer to read, and whether it has to be run.
   * @throws RequestError of kind `KeyConflict` when the key was used for something else, `Overloaded` when full.
   */
  open (key: string, fingerprint: string, nowMs: number): OpenedAnswer {
    this._dropEnded(entry => nowMs - entry.endedAtMs >= this._limits.keepMs)
    const known = this._running.get(key) ?? this._ended.get(key)
    if (known !== undefined && known.fingerprint !== fingerprint) {
      throw new RequestError(ErrorKind.KeyConflict, 'the idempotency key belongs to another request', { ran: RanState.No })
    }
    if (known !== undefined && known.buffer.state !== AnswerState.Failed) {
      return { join: AnswerJoin.Joined, buffer: known.buffer, previous: null }
    }
    if (known !== undefined) this._drop(key, known)
    this._dropEnded(() => this._full())
    if (this._full()) throw new RequestError(ErrorKind.Overloaded, 'too many answers are held')
    const buffer = new AnswerBuffer(bytes => { this._bytes += bytes })
    this._running.set(key, { fingerprint, buffer, endedAtMs: Infinity })
    const join = known === undefined ? AnswerJoin.New : AnswerJoin.Continued
    return { join, buffer, previous: known?.buffer ?? null }
  }

  /**
   * Notes that an answer has ended; it stays for a resend while there is room.
   *
   * @param key - Key given to `open`.
   * @param buffer - Buffer that ended.
   * @param nowMs - Monotonic time in milliseconds.
   */
  ended (key: string, buffer: AnswerBuffer, nowMs: number): void {
    const entry = this._running.get(key)
    if (entry?.buffer !== buffer) return
    this._running.delete(key)
    this._ended.set(key, { ...entry, endedAtMs: nowMs })
    this._dropEnded(() => this._bytes >= this._limits.maxBytes)
  }

  /**
   * @param key - Key given to `open`.
   * @returns Whether an answer is held for it.
   */
  has (key: string): boolean {
    return this._running.has(key) || this._ended.has(key)
  }

  /**
   * Drops an answer that nobody can ask for again.
   *
   * @param key - Key given to `open`.
   */
  forget (key: string): void {
    const entry = this._running.get(key) ?? this._ended.get(key)
    if (entry !== undefined) this._drop(key, entry)
  }

  private _full (): boolean {
    return this.size >= this._limits.maxAnswers || this._bytes >= this._limits.maxBytes
  }

  private _dropEnded (mustGo: (entry: Entry) => boolean): void {
    for (const [key, entry] of this._ended) {
      if (!mustGo(entry)) return
      this._drop(key, entry)
    }
  }

  private _drop (key: string, entry: Entry): void {
    this._running.delete(key)
    this._ended.delete(key)
    this._bytes -= entry.buffer.bytes
  }
}
