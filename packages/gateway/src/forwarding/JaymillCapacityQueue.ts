import { LatencyTargetOrder, type Admission, type Clock, type QueueOrder, type Refusal, type WaitingRequest } from '@jaymill/core'
import type { Reservation } from '../ports/JaymillEngineControl.js'
import { CAPACITY_RETRY_MS } from './constants.js'

/** A request that waits for a reservation at an engine. */
export interface CapacityRequest extends WaitingRequest {
  /** Aborts when the request no longer needs capacity. */
  readonly signal: AbortSignal
  /** Tries to reserve capacity now; resolves to `undefined` when no engine has capacity for the request. */
  readonly reserve: () => Promise<Reservation | undefined>
}

/** Result of waiting for capacity. */
export interface CapacityOutcome {
  readonly reservation?: Reservation
  /** Present when the request is refused. */
  readonly refusal?: Refusal
}

interface QueuedRequest extends CapacityRequest {
  readonly resolve: (outcome: CapacityOutcome) => void
}

/** What the requests that were refused in one pass still need. */
interface RefusedInPass {
  /** Smallest need, in tokens. */
  readonly tokens: number
  /** Position of the most urgent one. */
  readonly position: number
}

/** Queue of one service's requests on this host that wait for capacity at its engines. Reservations are attempted one at a time. */
export class CapacityQueue {
  private readonly _clock: Clock
  private readonly _admission: Admission
  private readonly _order: QueueOrder
  private _waiting: readonly QueuedRequest[] = []
  private _processing = false
  private _timer: NodeJS.Timeout | undefined

  /**
   * @param clock - Source of time.
   * @param admission - Decides which requests are refused.
   * @param order - Order of the requests.
   */
  constructor (clock: Clock, admission: Admission, order: QueueOrder = new LatencyTargetOrder()) {
    this._clock = clock
    this._admission = admission
    this._order = order
  }

  /** KV cache that waiting requests need, in tokens. */
  get waitingTokens (): number {
    return this._waiting.reduce((sum, { tokens }) => sum + tokens, 0)
  }

  /** Number of waiting requests. */
  get size (): number {
    return this._waiting.length
  }

  /**
   * Waits for capacity.
   *
   * @param request - Request that needs it.
   * @returns The reservation; none when the request has timed out, its signal has aborted, it would time out while waiting, or all
   * requests were released.
   */
  async acquire (request: CapacityRequest): Promise<CapacityOutcome> {
    return await new Promise(resolve => {
      const queued = { ...request, resolve }
      this._waiting = [...this._waiting, queued]
      request.signal.addEventListener('abort', () => this._settle(queued, {}), { once: true })
      this.capacityFreed()
    })
  }

  /** Ends the wait of all requests without a reservation, because another host has to serve them. */
  releaseAll (): void {
    this._waiting.forEach(queued => this._settle(queued, {}))
  }

  /** Retries waiting requests now, because capacity may have been released. */
  capacityFreed (): void {
    if (this._processing || this._waiting.length === 0) return
    clearTimeout(this._timer)
    this._processing = true
    this._process().finally(() => {
      this._processing = false
      if (this._waiting.length > 0) this._timer = setTimeout(() => this.capacityFreed(), CAPACITY_RETRY_MS)
    })
  }

  private async _process (): Promise<void> {
    const nowMs = this._clock.nowMs()
    this._admission.refusals(this._waiting, nowMs).forEach((refusal, queued) => this._settle(queued, { refusal }))
    await this._tryInOrder(this._order.sort(this._waiting, nowMs), { tokens: Number.POSITIVE_INFINITY, position: Number.POSITIVE_INFINITY })
  }

  /** Skips requests that need at least as many tokens as one that was refused in the same pass, or that yield to it. */
  private async _tryInOrder (ordered: readonly QueuedRequest[], refused: RefusedInPass): Promise<void> {
    const [queued, ...rest] = ordered
    if (queued === undefined) return
    const { tokens, signal, urgency } = queued
    const yields = urgency !== undefined && urgency.position > refused.position
    const skipped = signal.aborted || !this._waiting.includes(queued) || tokens >= refused.tokens || yields
    const reservation = skipped ? undefined : await queued.reserve()
    if (reservation !== undefined) this._settle(queued, { reservation })
    const isRefused = !skipped && reservation === undefined && !signal.aborted
    await this._tryInOrder(rest, isRefused ? { tokens, position: Math.min(refused.position, urgency?.position ?? Number.POSITIVE_INFINITY) } : refused)
  }

  private _settle (queued: QueuedRequest, outcome: CapacityOutcome): void {
    this._waiting = this._waiting.filter(other => other !== queued)
    queued.resolve(outcome)
  }
}
