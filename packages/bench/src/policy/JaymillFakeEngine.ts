import type { LoadReport, RunningRequest } from '@jaymill/core'
import type { EventLoop } from './JaymillEventLoop.js'

/** A request for a fake decode engine. */
export interface FakeDecode {
  readonly requestId: string
  readonly attempt: number
  readonly hostId: string
  readonly incarnation: number
  readonly pieces: number
  readonly tokens: number
  readonly onToken: (index: number) => void
  readonly onEnd: () => void
}

interface RunningDecode extends FakeDecode {
  readonly startedMs: number
  sent: number
}

const STEP_BASE_MS = 18
const STEP_PER_REQUEST_MS = 0.5

/** Decode engine that generates one token per step for each request of its batch and refuses requests beyond its capacity. */
export class FakeDecodeEngine {
  readonly id: string
  readonly zone: string
  /** Speed relative to a healthy engine. */
  speed = 1
  private readonly _loop: EventLoop
  private readonly _slots: number
  private readonly _pieces: number
  private readonly _running = new Map<string, RunningDecode>()
  private _stepping = false

  /**
   * @param loop - Event loop of the run.
   * @param id - Endpoint id.
   * @param zone - Availability zone.
   * @param slots - Largest number of concurrent requests.
   * @param pieces - Size of the KV cache, in pieces.
   */
  constructor (loop: EventLoop, id: string, zone: string, slots: number, pieces: number) {
    this._loop = loop
    this.id = id
    this.zone = zone
    this._slots = slots
    this._pieces = pieces
  }

  /** Number of running requests. */
  get used (): number {
    return this._running.size
  }

  /**
   * Starts a request if a slot and enough KV pieces are free.
   *
   * @param decode - Request to run.
   * @returns Whether the request was started.
   */
  start (decode: FakeDecode): boolean {
    const heldPieces = [...this._running.values()].reduce((sum, other) => sum + other.pieces, decode.pieces)
    if (this._running.size >= this._slots || heldPieces > this._pieces) return false
    this._running.set(decode.requestId, { ...decode, startedMs: this._loop.nowMs, sent: 0 })
    if (!this._stepping) this._schedule()
    return true
  }

  /**
   * Removes a request from the batch.
   *
   * @param requestId - Request to cancel.
   */
  cancel (requestId: string): void {
    this._running.delete(requestId)
  }

  /**
   * Creates a load report.
   *
   * @returns The running requests, with the time since each started.
   */
  report (): LoadReport {
    const running = [...this._running.values()].map<RunningRequest>(decode => ({
      requestId: decode.requestId,
      attempt: decode.attempt,
      hostId: decode.hostId,
      incarnation: decode.incarnation,
      pieces: decode.pieces,
      ageMs: this._loop.nowMs - decode.startedMs
    }))
    return { running, heldPieces: running.reduce((sum, req) => sum + req.pieces, 0), ageMs: 0 }
  }

  private _schedule (): void {
    this._stepping = this._running.size > 0
    const stepMs = (STEP_BASE_MS + STEP_PER_REQUEST_MS * this._running.size) / this.speed
    if (this._stepping) this._loop.after(stepMs, () => this._step())
  }

  private _step (): void {
    [...this._running.values()].forEach(decode => {
      decode.sent += 1
      if (decode.sent >= decode.tokens) this._running.delete(decode.requestId)
      decode.onToken(decode.sent)
      if (decode.sent >= decode.tokens) decode.onEnd()
    })
    this._schedule()
  }
}

interface PrefillJob {
  readonly tokens: number
  readonly onDone: () => void
  cancelled: boolean
}

/** Prefill engine that processes one prompt at a time, in order of arrival. */
export class FakePrefillEngine {
  readonly id: string
  readonly zone: string
  /** Speed relative to a healthy engine. */
  speed = 1
  private readonly _loop: EventLoop
  private readonly _tokensPerMs: number
  private readonly _jobs: PrefillJob[] = []

  /**
   * @param loop - Event loop of the run.
   * @param id - Endpoint id.
   * @param zone - Availability zone.
   * @param tokensPerMs - Prompt tokens processed per millisecond.
   */
  constructor (loop: EventLoop, id: string, zone: string, tokensPerMs: number) {
    this._loop = loop
    this.id = id
    this.zone = zone
    this._tokensPerMs = tokensPerMs
  }

  /** Number of queued and running prompts. */
  get used (): number {
    return this._jobs.length
  }

  /**
   * Queues a prefill.
   *
   * @param tokens - Prompt tokens.
   * @param onDone - Called when the prefill has ended, unless it was cancelled.
   * @returns Cancels the prefill; one that has started keeps the engine busy until it ends.
   */
  run (tokens: number, onDone: () => void): () => void {
    const job: PrefillJob = { tokens, onDone, cancelled: false }
    this._jobs.push(job)
    if (this._jobs.length === 1) this._begin(job)
    return () => { job.cancelled = true }
  }

  private _begin (job: PrefillJob): void {
    const ms = job.cancelled ? 0 : job.tokens / this._tokensPerMs / this.speed
    this._loop.after(ms, () => {
      this._jobs.shift()
      if (!job.cancelled) job.onDone()
      const next = this._jobs[0]
      if (next !== undefined) this._begin(next)
    })
  }
}

/** Shared KV link that carries one transfer at a time at its full rate. */
export class FakeLink {
  private readonly _loop: EventLoop
  private readonly _bytesPerMs: number
  private _freeAtMs = 0

  /**
   * @param loop - Event loop of the run.
   * @param bytesPerSecond - Rate of the link.
   */
  constructor (loop: EventLoop, bytesPerSecond: number) {
    this._loop = loop
    this._bytesPerMs = bytesPerSecond / 1_000
  }

  /**
   * Queues a transfer.
   *
   * @param bytes - Size of the KV cache.
   * @param onDone - Called when the transfer has ended.
   */
  transfer (bytes: number, onDone: () => void): void {
    this._freeAtMs = Math.max(this._freeAtMs, this._loop.nowMs) + bytes / this._bytesPerMs
    this._loop.after(this._freeAtMs - this._loop.nowMs, onDone)
  }
}
