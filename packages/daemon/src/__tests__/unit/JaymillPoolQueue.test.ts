import {
  type CapacityRequest, ErrorKind, ManualClock, MAX_RESERVATIONS_IN_FLIGHT, RequestError, type ReservationHandle, RouteClass,
  SeededRandom, SlotAllocator
} from '@jaymill/core'
import { afterEach, expect, test, vi } from 'vitest'
import { PendingReservation, PoolQueue } from '../../routing/JaymillPoolQueue.js'
import { REFUSED_RESERVATION_RETRY_MS } from '../../routing/JaymillRoutingTimes.js'

afterEach(() => { vi.useRealTimers() })

/** Never responds. */
class UnresponsiveAllocator extends SlotAllocator {
  reserve (): Promise<ReservationHandle> { return new Promise(() => {}) }
  release (): void {}
}

/** Counts the reservation requests, and refuses each when the test calls its entry in `refusals`. */
class FullAllocator extends SlotAllocator {
  requests = 0
  readonly refusals: Array<() => void> = []
  reserve (): Promise<ReservationHandle> {
    this.requests++
    return new Promise((resolve, reject) => this.refusals.push(() => reject(new RequestError(ErrorKind.Overloaded, 'full'))))
  }

  release (): void {}
}

function pendingReservation (index: number, reject: (err: unknown) => void): PendingReservation {
  return {
    id: String(index),
    accountId: 'a',
    weight: 1,
    tokens: 1,
    class: RouteClass.Verdict,
    latestStartMs: 1_000,
    req: {} as CapacityRequest,
    signal: new AbortController().signal,
    resolve: () => {},
    reject
  }
}

test('a queue requests one reservation at a time after a refusal, so that its order decides', async () => {
  vi.useFakeTimers()
  const allocator = new FullAllocator()
  const queue = new PoolQueue(allocator, { clock: new ManualClock(), random: new SeededRandom(1), maxQueued: 20 })
  Array.from({ length: 10 }, (_, i) => pendingReservation(i, () => {})).forEach(item => queue.offer(item))
  expect(allocator.requests).toBe(MAX_RESERVATIONS_IN_FLIGHT)
  allocator.refusals.splice(0).forEach(refuse => refuse())
  await vi.advanceTimersByTimeAsync(10 * REFUSED_RESERVATION_RETRY_MS)
  expect(allocator.refusals).toHaveLength(1)
})

test('a queue refuses requests beyond its configured maximum', () => {
  const maxQueued = 3
  const queue = new PoolQueue(new UnresponsiveAllocator(), { clock: new ManualClock(), random: new SeededRandom(1), maxQueued })
  const refusals: unknown[] = []
  const offers = Array.from(
    { length: MAX_RESERVATIONS_IN_FLIGHT + maxQueued + 2 }, (_, i) => pendingReservation(i, err => refusals.push(err))
  )
  offers.forEach(item => queue.offer(item))
  expect(refusals).toHaveLength(2)
  expect(refusals[0]).toMatchObject({ kind: ErrorKind.Overloaded })
})
