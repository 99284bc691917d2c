import {
  type ReservationHandle, type CapacityRequest, ErrorKind, ManualClock, MAX_RESERVATIONS_IN_FLIGHT, RequestError, RouteClass, SeededRandom, SlotAllocator
} from '@jaymill/core'
import { afterEach, expect, test, vi } from 'vitest'
import { PoolQueue, WaitingBooking } from '../../routing/JaymillPoolQueue.js'
import { BOOK_RETRY_MS } from '../../routing/JaymillRoutingTimes.js'

afterEach(() => { vi.useRealTimers() })

/** Grants nothing. */
class SilentBooker extends SlotAllocator {
  reserve (): Promise<ReservationHandle> { return new Promise(() => {}) }
  release (): void {}
}

/** Refuses until told to grant; counts what it is asked for at once. */
class FullBooker extends SlotAllocator {
  asked = 0
  readonly refuse: Array<() => void> = []
  reserve (): Promise<ReservationHandle> {
    this.asked++
    return new Promise((resolve, reject) => this.refuse.push(() => reject(new RequestError(ErrorKind.Overloaded, 'full'))))
  }

  release (): void {}
}

function waiting (index: number, reject: (err: unknown) => void): WaitingBooking {
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

test('a queue tries one booking at a time once one was refused, so that its order decides', async () => {
  vi.useFakeTimers()
  const booker = new FullBooker()
  const queue = new PoolQueue(booker, { clock: new ManualClock(), random: new SeededRandom(1), maxQueued: 20 })
  Array.from({ length: 10 }, (_, i) => waiting(i, () => {})).forEach(item => queue.offer(item))
  expect(booker.asked).toBe(MAX_RESERVATIONS_IN_FLIGHT)
  booker.refuse.splice(0).forEach(refuse => refuse())
  await vi.advanceTimersByTimeAsync(10 * BOOK_RETRY_MS)
  expect(booker.refuse).toHaveLength(1)
})

test('a queue refuses what comes beyond the bound of the settings', () => {
  const maxQueued = 3
  const queue = new PoolQueue(new SilentBooker(), { clock: new ManualClock(), random: new SeededRandom(1), maxQueued })
  const refusals: unknown[] = []
  const offers = Array.from({ length: MAX_RESERVATIONS_IN_FLIGHT + maxQueued + 2 }, (_, i) => waiting(i, err => refusals.push(err)))
  offers.forEach(item => queue.offer(item))
  expect(refusals).toHaveLength(2)
  expect(refusals[0]).toMatchObject({ kind: ErrorKind.Overloaded })
})
