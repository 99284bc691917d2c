import { comeBackAfterMs, comeBackMs, OnTimeFirstOrder, type Clock, type Waiting, type WaitingOrder } from '@jaymill/core'
import type { Reservation } from '../ports/JaymillEngineControl.js'
import { ROOM_RETRY_MS } from './constants.js'

/** A request in the queue. */
export interface RoomRequest extends Waiting {
  /** Aborts when the request no longer needs room. */
  readonly signal: AbortSignal
  /** Tries to reserve room now; resolves to `undefined` when no engine has any. */
  readonly reserve: () => Promise<Reservation | undefined>
}

/** How the wait for room has ended. */
export interface RoomOutcome {
  readonly reservation?: Reservation
  /** Time after which the caller should come back, in milliseconds, when it has found no room. */
  readonly comeBackMs?: number
}

interface QueuedRequest extends RoomRequest {
  readonly resolve: (outcome: RoomOutcome) => void
}

/** Queue of one service's requests on this host that wait for room at its engines. One is tried at a time. */
export class RoomQueue {
  private readonly _clock: Clock
  private readonly _order: WaitingOrder
  private readonly _backlogMs: () => number
  private _waiting: readonly QueuedRequest[] = []
  private _pumping = false
  private _timer: NodeJS.Timeout | undefined

  /**
   * @param clock - Source of time.
   * @param backlogMs - Tells the time until all that wait now, on every host, will have got room, in milliseconds.
   * @param order - Order of the requests.
   */
  constructor (clock: Clock, backlogMs: () => number, order: WaitingOrder = new OnTimeFirstOrder()) {
    this._clock = clock
    this._backlogMs = backlogMs
    this._order = order
  }

  /** KV cache that waiting requests need, in tokens. */
  get tokens (): number {
    return this._waiting.reduce((sum, { tokens }) => sum + tokens, 0)
  }

  /** Requests that wait. */
  get size (): number {
    return this._waiting.length
  }

  /**
   * Waits for room.
   *
   * @param request - Request that needs it.
   * @returns The reservation; none when the request's patience or signal has ended, or the wait would be in vain.
   */
  async acquire (request: RoomRequest): Promise<RoomOutcome> {
    return await new Promise(resolve => {
      const queued = { ...request, resolve }
      this._waiting = [...this._waiting, queued]
      request.signal.addEventListener('abort', () => this._leave(queued, {}), { once: true })
      this.roomFreed()
    })
  }

  /** Tries again now, since room may have been freed. */
  roomFreed (): void {
    if (this._pumping || this._waiting.length === 0) return
    clearTimeout(this._timer)
    this._pumping = true
    this._pump().finally(() => {
      this._pumping = false
      if (this._waiting.length > 0) this._timer = setTimeout(() => this.roomFreed(), ROOM_RETRY_MS)
    })
  }

  private async _pump (): Promise<void> {
    const nowMs = this._clock.nowMs()
    const backlogMs = this._backlogMs()
    this._waiting.filter(({ patientUntilMs }) => patientUntilMs < nowMs).forEach(queued => this._leave(queued, { comeBackMs: comeBackAfterMs(backlogMs) }))
    this._waiting.forEach(queued => {
      const ms = comeBackMs(queued, backlogMs, nowMs)
      if (ms !== undefined) this._leave(queued, { comeBackMs: ms })
    })
    await this._tryInOrder(this._order.sort(this._waiting, nowMs), Number.POSITIVE_INFINITY)
  }

  /** A request that needs as much as one that found no room is not tried in the same pass. */
  private async _tryInOrder (ordered: readonly QueuedRequest[], tooMany: number): Promise<void> {
    const [queued, ...rest] = ordered
    if (queued === undefined) return
    const skipped = queued.signal.aborted || queued.tokens >= tooMany
    const reservation = skipped ? undefined : await queued.reserve()
    if (reservation !== undefined) this._leave(queued, { reservation })
    await this._tryInOrder(rest, skipped || reservation !== undefined ? tooMany : queued.tokens)
  }

  private _leave (queued: QueuedRequest, outcome: RoomOutcome): void {
    this._waiting = this._waiting.filter(other => other !== queued)
    queued.resolve(outcome)
  }
}
