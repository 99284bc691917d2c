import { expect, test } from 'vitest'
import { FleetRetryBudget, SeededRandom } from '../../../index.js'

const BOUNDS = { ratio: 0.2, minRetries: 210, windowMs: 10_000 }
const STEP_MS = 20
const END_MS = 60_000
const WINDOW_STEP_MS = 500
/** Time by which a host knows the number of hosts late. */
const COUNT_LAG_MS = 4_000

interface ModelHost {
  budget: FleetRetryBudget
  startedMs: number
}

interface ModelEvent {
  readonly atMs: number
  readonly retry: boolean
}

/** Retries everything that it is asked to, while hosts join and restart and know the number of hosts late. */
function play (hosts: number, seed: number, requestsPerSecond: number): readonly ModelEvent[] {
  const random = new SeededRandom(seed)
  const first = Math.max(1, Math.floor(hosts * 0.7))
  const hostsAt = (nowMs: number): number => Math.min(hosts, first + Math.floor(Math.max(0, nowMs - 15_000) / 20_000 * (hosts - first)))
  const fleet: ModelHost[] = Array.from({ length: first }, () => ({ budget: new FleetRetryBudget(BOUNDS, -12_000), startedMs: -12_000 }))
  const events: ModelEvent[] = []
  Array.from({ length: END_MS / STEP_MS }, (_, i) => i * STEP_MS).forEach(nowMs => {
    Array.from({ length: hostsAt(nowMs) - fleet.length }).forEach(() => fleet.push({ budget: new FleetRetryBudget(BOUNDS, nowMs), startedMs: nowMs }))
    const restartsAll = nowMs === 20_000 || nowMs === 27_000
    fleet.filter(() => restartsAll ? random.next() < 0.6 : random.next() < 0.0005).forEach(host => {
      Object.assign(host, { budget: new FleetRetryBudget(BOUNDS, nowMs), startedMs: nowMs })
    })
    const knownHosts = ({ startedMs }: ModelHost): number => nowMs - startedMs < COUNT_LAG_MS
      ? 1 + Math.floor(random.next() * fleet.length)
      : hostsAt(Math.max(0, nowMs - COUNT_LAG_MS))
    Array.from({ length: Math.round(requestsPerSecond * STEP_MS / 1_000) }).forEach(() => {
      const host = fleet[Math.floor(random.next() ** 2 * fleet.length)]
      if (host === undefined) return
      host.budget.countRequest('s', nowMs)
      events.push({ atMs: nowMs, retry: false })
      if (host.budget.tryCharge('s', knownHosts(host), nowMs) !== undefined) events.push({ atMs: nowMs, retry: true })
    })
  })
  return events
}

function countIn (events: readonly ModelEvent[], retry: boolean, fromMs: number): number {
  return events.filter(event => event.retry === retry && event.atMs >= fromMs && event.atMs < fromMs + BOUNDS.windowMs).length
}

test.each([2, 7, 30, 87, 195, 420])('the retries of %i hosts stay within the budget while hosts join, restart together and know the fleet late', hosts => {
  const events = play(hosts, hosts, 200)
  const windows = Array.from({ length: (END_MS - BOUNDS.windowMs) / WINDOW_STEP_MS }, (_, i) => i * WINDOW_STEP_MS)
  windows.forEach(fromMs => {
    const requests = Math.max(...[0, BOUNDS.windowMs / 2, BOUNDS.windowMs].map(earlierMs => countIn(events, false, fromMs - earlierMs)))
    expect(countIn(events, true, fromMs)).toBeLessThanOrEqual(BOUNDS.ratio * requests + BOUNDS.minRetries)
  })
  expect(events.filter(({ retry }) => retry).length).toBeGreaterThan(0)
})

test('a host that has lost sight of the others keeps its part of the minimum for some time', () => {
  const budget = new FleetRetryBudget(BOUNDS, -20_000)
  const spend = (hosts: number, nowMs: number): number => Array.from({ length: 300 }).filter(() => budget.tryCharge('s', hosts, nowMs) !== undefined).length
  expect(spend(70, 0)).toBe(3)
  expect(spend(1, 30_000)).toBe(3)
  expect(spend(1, 200_000)).toBe(210)
})

test('a window of zero allows no retries', () => {
  const budget = new FleetRetryBudget({ ratio: 0.2, minRetries: 10, windowMs: 0 }, -20_000)
  budget.countRequest('s', 0)
  expect(budget.tryCharge('s', 1, 0) !== undefined).toBe(false)
})

test('a refunded charge is left for another retry, and one that was not asked for is missing', () => {
  const budget = new FleetRetryBudget({ ratio: 0.2, minRetries: 0, windowMs: 10_000 }, 0)
  Array.from({ length: 10 }).forEach(() => budget.countRequest('s', 20_000))
  const charge = budget.tryCharge('s', 1, 20_000)
  expect(budget.tryCharge('s', 1, 20_000)).toBeDefined()
  expect(budget.tryCharge('s', 1, 20_000)).toBeUndefined()
  charge?.refund()
  expect(budget.tryCharge('s', 1, 20_100) !== undefined).toBe(true)
  budget.charge('s', 20_200)
  Array.from({ length: 5 }).forEach(() => budget.countRequest('s', 20_300))
  expect(budget.tryCharge('s', 1, 20_300) !== undefined).toBe(false)
})
