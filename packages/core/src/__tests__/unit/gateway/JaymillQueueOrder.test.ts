import { expect, test } from 'vitest'
import {
  callerTimeoutMs, drainMs, FifoOrder, LatencyTargetOrder, refusalRetryAfterMs, SeededRandom, type QueueOrder, type WaitingRequest
} from '../../../index.js'

interface Job extends WaitingRequest {
  readonly holdingTimeMs: number
}

interface Result {
  readonly withinTarget: number
  readonly served: readonly Job[]
}

const TARGET_MS = 900
const FIRST_EVENT_MS = 300
const CALLER_TIMEOUT_MS = 3_240
const RETRY_AFTER_MS = 1_500
const CAPACITY_TOKENS = 258_000
const BURST_MS = 4_000
const STEP_MS = 10

/** Requests of a burst at 1.6 times the memory capacity, after a phase of low load. */
function burst (): readonly Job[] {
  const random = new SeededRandom(17)
  return Array.from({ length: 130 }, (_, i) => {
    const arrivedMs = i < 30 ? i * 130 : 3_900 + (i - 30) / 100 * BURST_MS
    const tokens = 1_500 + random.next() * 8_000
    const holdingTimeMs = 1_000 + random.next() * 5_000
    return {
      id: String(i),
      arrivedMs,
      tokens,
      holdingTimeMs,
      cost: tokens * holdingTimeMs,
      isRetry: false,
      targetDeadlineMs: arrivedMs + TARGET_MS - FIRST_EVENT_MS,
      callerDeadlineMs: arrivedMs + CALLER_TIMEOUT_MS
    }
  })
}

/** A caller that was refused comes back once. */
function retryOf (job: Job, nowMs: number): Job {
  const arrivedMs = nowMs + RETRY_AFTER_MS
  return { ...job, id: `${job.id} again`, arrivedMs, isRetry: true, targetDeadlineMs: Number.NEGATIVE_INFINITY, callerDeadlineMs: arrivedMs + CALLER_TIMEOUT_MS }
}

function simulate (jobs: readonly Job[], order: QueueOrder): Result {
  let pending = jobs
  let waiting: readonly Job[] = []
  let running: ReadonlyArray<{ job: Job, untilMs: number }> = []
  const served: Array<{ job: Job, atMs: number }> = []
  const free = (): number => CAPACITY_TOKENS - running.reduce((sum, { job }) => sum + job.tokens, 0)
  Array.from({ length: 2_000 }, (_, i) => i * STEP_MS).forEach(nowMs => {
    running = running.filter(({ untilMs }) => untilMs > nowMs)
    waiting = [...waiting, ...pending.filter(({ arrivedMs }) => arrivedMs <= nowMs)]
    pending = pending.filter(({ arrivedMs }) => arrivedMs > nowMs)
    const expired = waiting.filter(({ callerDeadlineMs }) => callerDeadlineMs < nowMs)
    pending = [...pending, ...expired.filter(({ isRetry }) => !isRetry).map(job => retryOf(job, nowMs))]
    waiting = waiting.filter(job => !expired.includes(job))
    order.sort(waiting, nowMs).filter(job => job.tokens <= free()).slice(0, 1).forEach(job => {
      running = [...running, { job, untilMs: nowMs + job.holdingTimeMs }]
      waiting = waiting.filter(other => other !== job)
      served.push({ job, atMs: nowMs })
    })
  })
  return { withinTarget: served.filter(({ job, atMs }) => atMs <= job.targetDeadlineMs).length, served: served.map(({ job }) => job) }
}

test('in a burst, more requests are served within their latency target than in order of arrival', () => {
  const jobs = burst()
  const baseline = simulate(jobs, new FifoOrder())
  const targetFirst = simulate(jobs, new LatencyTargetOrder())
  expect(targetFirst.withinTarget).toBeGreaterThan(baseline.withinTarget)
  expect(targetFirst.served.length).toBeGreaterThanOrEqual(baseline.served.length)
})

test('in a burst, the share of large requests that are served is at least half the overall share', () => {
  const jobs = burst()
  const { served } = simulate(jobs, new LatencyTargetOrder())
  const large = [...jobs].sort((a, b) => b.tokens - a.tokens).slice(0, jobs.length / 10)
  const share = large.filter(job => served.some(({ tokens }) => tokens === job.tokens)).length / large.length
  expect(share).toBeGreaterThanOrEqual(served.length / jobs.length / 2)
})

function waiting (overrides: Partial<WaitingRequest>): WaitingRequest {
  return { id: 'r', arrivedMs: 0, targetDeadlineMs: 600, callerDeadlineMs: 3_240, tokens: 100, cost: 100, isRetry: false, ...overrides }
}

test('a late retry, whose caller does not come back again, gets capacity before its caller disconnects', () => {
  const late = waiting({ id: 'late', isRetry: true })
  const fresh = waiting({ id: 'fresh', targetDeadlineMs: 9_000, callerDeadlineMs: 12_000 })
  const first = (nowMs: number): string | undefined => new LatencyTargetOrder().sort([late, fresh], nowMs)[0]?.id
  expect(first(1_000)).toBe('fresh')
  expect(first(2_600)).toBe('fresh')
  expect(first(2_700)).toBe('late')
})

test('a late request that can come back does not take capacity from one that can still meet its target', () => {
  const late = waiting({ id: 'late' })
  const fresh = waiting({ id: 'fresh', targetDeadlineMs: 9_000, callerDeadlineMs: 12_000 })
  const first = (nowMs: number): string | undefined => new LatencyTargetOrder().sort([late, fresh], nowMs)[0]?.id
  expect([1_000, 2_700, 3_200].map(first)).toEqual(['fresh', 'fresh', 'fresh'])
})

test('a retry comes after requests that can still meet their latency target', () => {
  const retry = waiting({ id: 'back', targetDeadlineMs: Number.NEGATIVE_INFINITY })
  const fresh = waiting({ id: 'fresh', cost: 1_000 })
  expect(new LatencyTargetOrder().sort([retry, fresh], 100).map(({ id }) => id)).toEqual(['fresh', 'back'])
})

test('late callers are refused with the longest retry delay while the arrival rate exceeds the capacity', () => {
  const pool = { waitingTokens: 50_000, capacityTokens: 250_000, holdingTimeMs: 3_500 }
  expect(drainMs({ ...pool, waitingTokens: 0, arrivalRate: 500 })).toBe(0)
  expect(drainMs({ ...pool, arrivalRate: 0 })).toBeCloseTo(700)
  expect(drainMs({ ...pool, arrivalRate: 50 })).toBeCloseTo(2_333, 0)
  expect(drainMs({ ...pool, arrivalRate: 80 })).toBe(Number.POSITIVE_INFINITY)
  expect(refusalRetryAfterMs(waiting({}), Number.POSITIVE_INFINITY, 700)).toBe(4_000)
})

test('the caller timeout is the longest of three times', () => {
  const route = { targetLatencyMs: 900, gapTargetMs: 300 }
  expect([route, { targetLatencyMs: 100 }, { targetLatencyMs: 100, gapTargetMs: 500 }].map(callerTimeoutMs)).toEqual([3_600, 2_000, 4_000])
})

test('a request that would time out in the queue is refused with a retry delay, but a retry is not', () => {
  expect(refusalRetryAfterMs(waiting({}), 3_000, 500)).toBeUndefined()
  expect(refusalRetryAfterMs(waiting({}), 3_000, 700)).toBe(3_000)
  expect(refusalRetryAfterMs(waiting({}), 100, 700)).toBeUndefined()
  expect(refusalRetryAfterMs(waiting({ isRetry: true }), 3_000, 700)).toBeUndefined()
  expect(refusalRetryAfterMs(waiting({}), 60_000, 700)).toBe(4_000)
})
