import {
  RefusedAdmission, AdmissionItem, AdmissionQueue, CapacityRequest, Clock, ErrorKind, JaymillError, Random, RequestError,
  ReservationHandle, ReservationWindow, SlotAllocator
} from '@jaymill/core'
import type { RoutingContext } from './JaymillRoutingContext.js'
import { REFUSED_RESERVATION_RETRY_MS } from './JaymillRoutingTimes.js'

/** A request that waits for a reservation. */
export interface PendingReservation extends AdmissionItem {
  readonly req: CapacityRequest
  readonly signal: AbortSignal
  readonly resolve: (reservation: ReservationHandle) => void
  readonly reject: (err: unknown) => void
}

/** Admission queue of one pool: reserves capacity for requests in queue order, and refuses requests that would start too late. */
export class PoolQueue {
  private readonly _queue: AdmissionQueue<PendingReservation>
  private readonly _allocator: SlotAllocator
  private readonly _clock: Clock
  private readonly _random: Random
  private readonly _window = new ReservationWindow()
  private _inFlight = 0

  /**
   * @param allocator - Requests reservations from the owners.
   * @param ctx - Clock, random numbers for the jitter of retries, and the maximum length of the queue.
   */
  constructor (allocator: SlotAllocator, { clock, random, maxQueued }: Pick<RoutingContext, 'clock' | 'random' | 'maxQueued'>) {
    this._queue = new AdmissionQueue(maxQueued)
    this._allocator = allocator
    this._clock = clock
    this._random = random
  }

  /**
   * Queues a request; it is settled by a reservation, a refusal or the abort of its signal.
   *
   * @param item - Request to queue.
   */
  offer (item: PendingReservation): void {
    const refused = this._queue.offer(item, this._clock.nowMs())
    if (refused !== null) {
      item.reject(refusalError(item, refused))
      return
    }
    item.signal.addEventListener('abort', () => this._cancel(item), { once: true })
    this._pump()
  }

  private _cancel (item: PendingReservation): void {
    this._queue.drop(item)
    item.reject(item.signal.reason)
  }

  private _pump (): void {
    this._expire()
    const item = this._inFlight < this._window.size ? this._queue.take() : undefined
    if (item === undefined) return
    this._inFlight++
    this._reserve(item).catch(item.reject)
    this._pump()
  }

  private _expire (): void {
    const { retryAfterMs } = this._queue
    this._queue.expire(this._clock.nowMs()).forEach(item => item.reject(expiryError(item, retryAfterMs)))
  }

  private async _reserve (item: PendingReservation): Promise<void> {
    try {
      const reservation = await this._allocator.reserve(item.req, item.signal)
      this._window.recordGranted()
      this._queue.markStarted(item, this._clock.nowMs())
      this._settle(item, reservation)
      this._endAttempt()
    } catch (err) {
      this._handleFailure(item, err)
    }
  }

  private _settle (item: PendingReservation, reservation: ReservationHandle): void {
    if (item.signal.aborted) this._allocator.release(reservation)
    else item.resolve(reservation)
  }

  private _handleFailure (item: PendingReservation, err: unknown): void {
    const full = err instanceof JaymillError && err.kind === ErrorKind.Overloaded && !item.signal.aborted
    if (!full) {
      this._queue.drop(item)
      item.reject(err)
      this._endAttempt()
      return
    }
    this._window.recordRefused()
    this._queue.requeue(item)
    setTimeout(() => this._endAttempt(), REFUSED_RESERVATION_RETRY_MS * (0.5 + this._random.next()))
  }

  private _endAttempt (): void {
    this._inFlight--
    this._pump()
  }
}

function refusalError (item: PendingReservation, { refusal, retryAfterMs }: RefusedAdmission): RequestError {
  return new RequestError(ErrorKind.Overloaded, `pool ${item.req.poolId} refused the request early: ${refusal}`, { retryAfterMs })
}

function expiryError (item: PendingReservation, retryAfterMs: number): RequestError {
  return new RequestError(ErrorKind.Overloaded, `pool ${item.req.poolId} had no free capacity in time`, { retryAfterMs })
}
