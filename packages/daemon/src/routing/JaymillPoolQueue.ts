import {
  AdmissionDenial, AdmissionItem, AdmissionQueue, ReservationHandle, CapacityRequest, ReservationWindow, Clock, ErrorKind, JaymillError, Random, RequestError,
  SlotAllocator
} from '@jaymill/core'
import type { RoutingParts } from './JaymillRoutingParts.js'
import { BOOK_RETRY_MS } from './JaymillRoutingTimes.js'

/** A request that waits for a booking. */
export interface WaitingBooking extends AdmissionItem {
  readonly req: CapacityRequest
  readonly signal: AbortSignal
  readonly resolve: (booking: ReservationHandle) => void
  readonly reject: (err: unknown) => void
}

/** Admission queue before one pool: books for waiting requests in their order, and refuses what would be late. */
export class PoolQueue {
  private readonly _queue: AdmissionQueue<WaitingBooking>
  private readonly _booker: SlotAllocator
  private readonly _clock: Clock
  private readonly _random: Random
  private readonly _window = new ReservationWindow()
  private _inFlight = 0

  /**
   * @param booker - Books at the owners.
   * @param parts - Time, randomness that spreads retries, and the bound of the queue.
   */
  constructor (booker: SlotAllocator, { clock, random, maxQueued }: Pick<RoutingParts, 'clock' | 'random' | 'maxQueued'>) {
    this._queue = new AdmissionQueue(maxQueued)
    this._booker = booker
    this._clock = clock
    this._random = random
  }

  /**
   * Queues a request; its promise is settled by the booking, a refusal or its signal.
   *
   * @param item - Request.
   */
  offer (item: WaitingBooking): void {
    const denial = this._queue.offer(item, this._clock.nowMs())
    if (denial !== null) {
      item.reject(refusalOf(item, denial))
      return
    }
    item.signal.addEventListener('abort', () => this._abandon(item), { once: true })
    this._pump()
  }

  private _abandon (item: WaitingBooking): void {
    this._queue.drop(item)
    item.reject(item.signal.reason)
  }

  private _pump (): void {
    this._expire()
    const item = this._inFlight < this._window.size ? this._queue.take() : undefined
    if (item === undefined) return
    this._inFlight++
    this._book(item).catch(item.reject)
    this._pump()
  }

  private _expire (): void {
    const { retryAfterMs } = this._queue
    this._queue.expire(this._clock.nowMs()).forEach(item => item.reject(lateRefusal(item, retryAfterMs)))
  }

  private async _book (item: WaitingBooking): Promise<void> {
    try {
      const booking = await this._booker.reserve(item.req, item.signal)
      this._window.granted()
      this._queue.started(item, this._clock.nowMs())
      this._settle(item, booking)
      this._end()
    } catch (err) {
      this._afterFailure(item, err)
    }
  }

  private _settle (item: WaitingBooking, booking: ReservationHandle): void {
    if (item.signal.aborted) this._booker.release(booking)
    else item.resolve(booking)
  }

  private _afterFailure (item: WaitingBooking, err: unknown): void {
    const full = err instanceof JaymillError && err.kind === ErrorKind.Overloaded && !item.signal.aborted
    if (!full) {
      this._queue.drop(item)
      item.reject(err)
      this._end()
      return
    }
    this._window.refused()
    this._queue.requeue(item)
    setTimeout(() => this._end(), BOOK_RETRY_MS * (0.5 + this._random.next()))
  }

  private _end (): void {
    this._inFlight--
    this._pump()
  }
}

function refusalOf (item: WaitingBooking, { refusal, retryAfterMs }: AdmissionDenial): RequestError {
  return new RequestError(ErrorKind.Overloaded, `pool ${item.req.poolId} refused the request early: ${refusal}`, { retryAfterMs })
}

function lateRefusal (item: WaitingBooking, retryAfterMs: number): RequestError {
  return new RequestError(ErrorKind.Overloaded, `pool ${item.req.poolId} had no free capacity in time`, { retryAfterMs })
}
