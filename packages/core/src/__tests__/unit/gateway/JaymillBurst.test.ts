import { expect, test } from 'vitest'
import { ArrivalOrder, callerPatienceMs, comeBackMs, drainMs, OnTimeFirstOrder, SeededRandom, type Waiting, type WaitingOrder } from '../../../index.js'

interface Job extends Waiting {
  readonly holdMs: number
}

interface Result {
  readonly onTime: number
  readonly served: readonly Job[]
}

const TARGET_MS = 900
const FIRST_EVENT_MS = 300
const PATIENCE_MS = 3_240
const CAPACITY_TOKENS = 258_000
const BURST_MS = 4_000
const STEP_MS = 10

/** Requests of a burst at 1.6 times what the memory can serve, after a calm start. */
function burst (): readonly Job[] {
  const random = new SeededRandom(17)
  return Array.from({ length: 130 }, (_, i) => {
    const arrivedMs = i < 30 ? i * 130 : 3_900 + (i - 30) / 100 * BURST_MS
    const tokens = 1_500 + random.next() * 8_000
    const holdMs = 1_000 + random.next() * 5_000
    return {
      id: String(i),
      arrivedMs,
      tokens,
      holdMs,
      cost: tokens * holdMs,
      returned: false,
      onTimeUntilMs: arrivedMs + TARGET_MS - FIRST_EVENT_MS,
      patientUntilMs: arrivedMs + PATIENCE_MS
    }
  })
}

function play (jobs: readonly Job[], order: WaitingOrder): Result {
  let waiting: readonly Job[] = []
  let running: ReadonlyArray<{ job: Job, untilMs: number }> = []
  const served: Array<{ job: Job, atMs: number }> = []
  const free = (): number => CAPACITY_TOKENS - running.reduce((sum, { job }) => sum + job.tokens, 0)
  Array.from({ length: 2_000 }, (_, i) => i * STEP_MS).forEach(nowMs => {
    running = running.filter(({ untilMs }) => untilMs > nowMs)
    waiting = [...waiting, ...jobs.filter(({ arrivedMs }) => arrivedMs > nowMs - STEP_MS && arrivedMs <= nowMs)]
    waiting = waiting.filter(({ patientUntilMs }) => patientUntilMs >= nowMs)
    order.sort(waiting, nowMs).filter(job => job.tokens <= free()).slice(0, 1).forEach(job => {
      running = [...running, { job, untilMs: nowMs + job.holdMs }]
      waiting = waiting.filter(other => other !== job)
      served.push({ job, atMs: nowMs })
    })
  })
  return { onTime: served.filter(({ job, atMs }) => atMs <= job.onTimeUntilMs).length, served: served.map(({ job }) => job) }
}

test('in a burst, more callers are served on time than in order of arrival', () => {
  const jobs = burst()
  const baseline = play(jobs, new ArrivalOrder())
  const onTimeFirst = play(jobs, new OnTimeFirstOrder())
  expect(onTimeFirst.onTime).toBeGreaterThan(baseline.onTime)
  expect(onTimeFirst.served.length).toBeGreaterThanOrEqual(baseline.served.length)
})

test('in a burst, large requests are served at least half as often as all', () => {
  const jobs = burst()
  const { served } = play(jobs, new OnTimeFirstOrder())
  const large = [...jobs].sort((a, b) => b.tokens - a.tokens).slice(0, jobs.length / 10)
  const share = large.filter(job => served.includes(job)).length / large.length
  expect(share).toBeGreaterThanOrEqual(served.length / jobs.length / 2)
})

function waiting (over: Partial<Waiting>): Waiting {
  return { id: 'r', arrivedMs: 0, onTimeUntilMs: 600, patientUntilMs: 3_240, tokens: 100, cost: 100, returned: false, ...over }
}

test('a late request gets room before its caller gives up', () => {
  const late = waiting({ id: 'late' })
  const fresh = waiting({ id: 'fresh', onTimeUntilMs: 9_000, patientUntilMs: 12_000 })
  const first = (nowMs: number): string | undefined => new OnTimeFirstOrder().sort([late, fresh], nowMs)[0]?.id
  expect(first(1_000)).toBe('fresh')
  expect(first(2_600)).toBe('fresh')
  expect(first(2_700)).toBe('late')
})

test('a request whose caller has come back yields to those that can be on time', () => {
  const back = waiting({ id: 'back', onTimeUntilMs: Number.NEGATIVE_INFINITY })
  const fresh = waiting({ id: 'fresh', cost: 1_000 })
  expect(new OnTimeFirstOrder().sort([back, fresh], 100).map(({ id }) => id)).toEqual(['fresh', 'back'])
})

test('while more arrives than the engines can serve, late callers come back after the longest time', () => {
  const pool = { waitingTokens: 50_000, capacityTokens: 250_000, heldMs: 3_500 }
  expect(drainMs({ ...pool, waitingTokens: 0, arrivingRate: 500 })).toBe(0)
  expect(drainMs({ ...pool, arrivingRate: 0 })).toBeCloseTo(700)
  expect(drainMs({ ...pool, arrivingRate: 50 })).toBeCloseTo(2_333, 0)
  expect(drainMs({ ...pool, arrivingRate: 80 })).toBe(Number.POSITIVE_INFINITY)
  expect(comeBackMs(waiting({}), Number.POSITIVE_INFINITY, 700)).toBe(4_000)
})

test('callers wait for the next event for the longest of three times', () => {
  const route = { targetLatencyMs: 900, gapTargetMs: 300 }
  expect([route, { targetLatencyMs: 100 }, { targetLatencyMs: 100, gapTargetMs: 500 }].map(callerPatienceMs)).toEqual([3_600, 2_000, 4_000])
})

test('a request that would wait in vain is asked to come back, once', () => {
  expect(comeBackMs(waiting({}), 3_000, 500)).toBeUndefined()
  expect(comeBackMs(waiting({}), 3_000, 700)).toBe(3_000)
  expect(comeBackMs(waiting({}), 100, 700)).toBeUndefined()
  expect(comeBackMs(waiting({ returned: true }), 3_000, 700)).toBeUndefined()
  expect(comeBackMs(waiting({}), 60_000, 700)).toBe(4_000)
})
