import { type Booking, type BookingRequest, ErrorKind, ManualClock, RouteClass, SeededRandom, SlotBooker } from '@jaymill/core'
import { expect, test } from 'vitest'
import { PoolQueue } from '../../routing/JaymillPoolQueue.js'
import { BOOKINGS_IN_FLIGHT } from '../../routing/JaymillRoutingTimes.js'

/** Grants nothing. */
class SilentBooker extends SlotBooker {
  book (): Promise<Booking> { return new Promise(() => {}) }
  release (): void {}
}

test('a queue refuses what comes beyond the bound of the settings', () => {
  const maxQueued = 3
  const queue = new PoolQueue(new SilentBooker(), { clock: new ManualClock(), random: new SeededRandom(1), maxQueued })
  const refusals: unknown[] = []
  const offers = Array.from({ length: BOOKINGS_IN_FLIGHT + maxQueued + 2 }, (_, i) => ({
    id: String(i),
    accountId: 'a',
    weight: 1,
    tokens: 1,
    class: RouteClass.Verdict,
    latestStartMs: 1_000,
    req: {} as BookingRequest,
    signal: new AbortController().signal,
    resolve: () => {},
    reject: (err: unknown) => refusals.push(err)
  }))
  offers.forEach(item => queue.offer(item))
  expect(refusals).toHaveLength(2)
  expect(refusals[0]).toMatchObject({ kind: ErrorKind.Overloaded })
})
