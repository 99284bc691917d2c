import { expect, test } from 'vitest'
import {
  CallOutcome, EndpointLatencyModel, EndpointLoad, EndpointReliability, ExpectedTimeRanking, FleetRetryBudget, LeastRequestsRanking,
  PromptDemand, SeededRandom, type Candidate
} from '../../../index.js'

test('load is the running work of this host plus the last report of each other host', () => {
  const load = new EndpointLoad()
  const work = new AbortController()
  load.add('e', 100, work.signal)
  load.update('h2', [{ endpointId: 'e', requests: 2, tokens: 50 }])
  expect(load.at('e')).toEqual({ requests: 3, tokens: 150 })
  expect(load.own()).toEqual([{ endpointId: 'e', requests: 1, tokens: 100 }])
  load.update('h2', [])
  work.abort()
  work.abort()
  expect(load.at('e')).toEqual({ requests: 0, tokens: 0 })
  expect(load.own()).toEqual([])
})

test('load drops the work of a host that has timed out', () => {
  const load = new EndpointLoad()
  load.update('h2', [{ endpointId: 'e', requests: 2, tokens: 50 }])
  load.forget('h2')
  expect(load.at('e').requests).toBe(0)
})

test('an unreachable endpoint is suspect for longer each time, until a call succeeds', () => {
  const reliability = new EndpointReliability()
  reliability.recordOutcome('e', CallOutcome.Unreachable, 0)
  expect(reliability.isSuspect('e', 499)).toBe(true)
  expect(reliability.isSuspect('e', 500)).toBe(false)
  reliability.recordOutcome('e', CallOutcome.Unreachable, 500)
  expect(reliability.isSuspect('e', 1_499)).toBe(true)
  reliability.recordOutcome('e', CallOutcome.Success, 1_000)
  expect(reliability.isSuspect('e', 1_000)).toBe(false)
  reliability.recordOutcome('e', CallOutcome.Unreachable, 2_000)
  expect(reliability.isSuspect('e', 2_500)).toBe(false)
})

test('the share of failures decays over time', () => {
  const reliability = new EndpointReliability()
  Array.from({ length: 9 }).forEach(() => reliability.recordOutcome('e', CallOutcome.Failure, 0))
  expect(reliability.failureShare('e', 0)).toBeCloseTo(0.9)
  expect(reliability.failureShare('e', 40_000)).toBeLessThan(0.01)
})

test('the latency model separates the fixed time of a prompt from the time per token', () => {
  const model = new EndpointLatencyModel()
  const random = new SeededRandom(3)
  Array.from({ length: 60 }).forEach(() => {
    const tokens = 1_000 + random.next() * 8_000
    model.addMeasurement('e', tokens, 120 + tokens / 45)
  })
  expect(model.expectedMs('e', 9_000, 1)).toBeCloseTo(320, 0)
  expect(model.unitMs('e', 1)).toBeCloseTo(1 / 45, 3)
})

test('the latency model fits a line through the origin while all measurements are alike', () => {
  const model = new EndpointLatencyModel()
  model.addMeasurement('e', 1, 40)
  model.addMeasurement('e', 1, 60)
  expect(model.expectedMs('e', 2, 7)).toBeCloseTo(100, -1)
  expect(model.expectedMs('other', 2, 7)).toBe(14)
})

test('retries of all hosts together stay within the fleet\'s budget, even with an uneven distribution of requests', () => {
  const bounds = { ratio: 0.2, minRetries: 54, windowMs: 10_000 }
  const hosts = 7
  const budgets = Array.from({ length: hosts }, () => new FleetRetryBudget(bounds, 0))
  const random = new SeededRandom(9)
  const events = Array.from({ length: 4_000 }, (_, i) => {
    const host = Math.floor(random.next() ** 3 * hosts)
    const atMs = i * 10
    budgets[host]?.countRequest('s', atMs)
    return { atMs, retried: budgets[host]?.tryCharge('s', hosts, atMs) !== undefined }
  })
  const windows = Array.from({ length: 30 }, (_, i) => events.filter(({ atMs }) => atMs >= i * 1_000 && atMs < i * 1_000 + bounds.windowMs))
  windows.forEach(window => {
    const retries = window.filter(({ retried }) => retried).length
    expect(retries).toBeGreaterThan(0)
    expect(retries).toBeLessThanOrEqual(bounds.ratio * window.length + bounds.minRetries)
  })
})

function candidate (id: string, overrides: Partial<Candidate> = {}): Candidate {
  const record = { id, service: 's', address: '10.0.0.1:80', zone: 'z1', slots: 6, leaving: false, warmupMs: 0 }
  return { record, work: { requests: 0, tokens: 0 }, expectedMs: 50, failureShare: 0, suspect: false, ...overrides }
}

test('slow, failing and suspect endpoints rank after a fast and reliable one', () => {
  const candidates = [
    candidate('suspect', { suspect: true, expectedMs: 1 }), candidate('slow', { expectedMs: 200 }), candidate('failing', { failureShare: 0.5 }), candidate('good')
  ]
  expect(new ExpectedTimeRanking().rank(candidates, 'z1', new SeededRandom(1)).map(({ id }) => id)).toEqual(['good', 'slow', 'failing', 'suspect'])
})

test('the baseline detects a slow endpoint only by its outstanding requests', () => {
  const candidates = [candidate('slow', { expectedMs: 500 }), candidate('busy', { work: { requests: 4, tokens: 0 } })]
  expect(new LeastRequestsRanking().rank(candidates, 'z1', new SeededRandom(1)).map(({ id }) => id)).toEqual(['slow', 'busy'])
})

test('demand sums the prompts of all hosts, and that of this host decays over time', () => {
  const demand = new PromptDemand()
  Array.from({ length: 100 }, (_, i) => i * 100).forEach(atMs => demand.add('s', 2_000, 2_500, atMs))
  demand.registerWaitingTokens('s', () => 700)
  demand.update('h2', [{ service: 's', promptRate: 5, kvRate: 6, waitingTokens: 300 }])
  const { promptRate, kvRate, waitingTokens } = demand.total('s', 9_900)
  expect(promptRate).toBeGreaterThan(5 + 18)
  expect(promptRate).toBeLessThan(5 + 22)
  expect(kvRate - 6).toBeCloseTo((promptRate - 5) * 1.25)
  expect(waitingTokens).toBe(1_000)
  expect(demand.total('s', 30_000).promptRate).toBeLessThan(5.1)
})

test('demand keeps a moving average of the KV cache holding time', () => {
  const demand = new PromptDemand()
  const initialMs = demand.holdingTimeMs('s')
  Array.from({ length: 60 }).forEach(() => demand.recordHoldingTime('s', 1_000))
  expect(initialMs).toBeGreaterThan(1_000)
  expect(demand.holdingTimeMs('s')).toBeCloseTo(1_000, -1)
})
