import fc from 'fast-check'
import { expect, test } from 'vitest'
import {
  BacklogAdmission, DemandShares, drainMs, LatencyTargetOrder, PROTECTED_SHARE, RefusalReason, SeededRandom, serviceRanks, UrgencyAdmission, urgencyLevel, UrgencyOrder,
  yieldingRoomTokens, yieldsRoom,
  type Admission, type GatewayConfig, type GatewayRoute, type PoolView, type QueueOrder, type Urgency, type WaitingRequest
} from '../../../index.js'

interface Job extends WaitingRequest {
  readonly level: number
  readonly account: string
}

interface Served {
  readonly job: Job
  readonly atMs: number
}

interface Policy {
  readonly order: QueueOrder
  readonly admission: (pool: () => PoolView) => Admission
  /** Whether requests carry their urgency. */
  readonly ranked: boolean
}

const TARGETS_MS = [800, 1_000, 2_000]
const FIRST_EVENT_MS = 300
const CALLER_FACTOR = 4
const HOLDING_MS = 3_500
const CAPACITY_TOKENS = 260_000
const MEAN_TOKENS = 5_000
const STEP_MS = 10
const URGENCY: Urgency = { rank: 1, position: 2, isProtected: false, hasWaited: false }

const BASELINE: Policy = { order: new LatencyTargetOrder(), admission: pool => new BacklogAdmission(() => drainMs(pool())), ranked: false }
const BY_URGENCY: Policy = { order: new UrgencyOrder(), admission: pool => new UrgencyAdmission(pool, new SeededRandom(3)), ranked: true }

interface BurstOptions {
  /** Part of each rank. */
  readonly shares: readonly number[]
  /** Latency target of each rank, in milliseconds. */
  readonly targetsMs: readonly number[]
}

/** Requests of three ranks: 4 s at half of the pool's capacity, then 10 s at a multiple of it. */
function burst (factor: number, { shares = [0.28, 0.4, 0.32], targetsMs = TARGETS_MS }: Partial<BurstOptions> = {}): readonly Job[] {
  const random = new SeededRandom(11)
  const perMs = CAPACITY_TOKENS / MEAN_TOKENS / HOLDING_MS
  const times = [[0, 4_000, 0.5], [4_000, 14_000, factor]].flatMap(([fromMs = 0, toMs = 0, load = 0]) => {
    const count = Math.round((toMs - fromMs) * perMs * load)
    return Array.from({ length: count }, (_, i) => fromMs + (toMs - fromMs) * i / count)
  })
  return times.map((arrivedMs, i) => {
    const draw = random.next()
    const level = draw < (shares[0] ?? 0) ? 0 : draw < (shares[0] ?? 0) + (shares[1] ?? 0) ? 1 : 2
    const tokens = 0.4 * MEAN_TOKENS + random.next() * 1.2 * MEAN_TOKENS
    const targetMs = targetsMs[level] ?? 0
    return {
      id: String(i), level, account: 'a', arrivedMs, tokens, cost: tokens, isRetry: false, targetDeadlineMs: arrivedMs + targetMs - FIRST_EVENT_MS, callerDeadlineMs: arrivedMs + CALLER_FACTOR * targetMs
    }
  })
}

/** Plays one pool with one queue; a caller that is refused comes back once, as late as it is told. */
function play (jobs: readonly Job[], { order, admission, ranked }: Policy): { readonly served: readonly Served[], readonly refusals: readonly RefusalReason[] } {
  const random = new SeededRandom(5)
  const shares = new DemandShares()
  const refusals: RefusalReason[] = []
  const served: Served[] = []
  let pending = jobs
  let waiting: readonly Job[] = []
  let running: ReadonlyArray<{ readonly tokens: number, readonly untilMs: number }> = []
  let arrived: readonly Job[] = []
  let nowMs = 0
  const sum = (items: ReadonlyArray<{ readonly tokens: number }>): number => items.reduce((total, { tokens }) => total + tokens, 0)
  const pool = (): PoolView => ({
    capacityTokens: CAPACITY_TOKENS,
    usedTokens: sum(running),
    waitingTokens: sum(waiting),
    arrivalRate: sum(arrived.filter(({ arrivedMs }) => arrivedMs > nowMs - 2_000)) / 2_000,
    holdingTimeMs: HOLDING_MS,
    shareUpTo: position => shares.upTo(position, nowMs)
  })
  const admitting = admission(pool)
  const withUrgency = (job: Job): Job => {
    const position = shares.add(job, nowMs)
    return ranked ? { ...job, urgency: { rank: job.level, position, isProtected: job.isRetry && random.next() < PROTECTED_SHARE, hasWaited: job.isRetry } } : job
  }
  const refuse = (job: Job, retryAfterMs: number): void => {
    waiting = waiting.filter(other => other !== job)
    const backMs = nowMs + retryAfterMs
    if (!job.isRetry) pending = [...pending, { ...job, isRetry: true, arrivedMs: backMs, targetDeadlineMs: Number.NEGATIVE_INFINITY, callerDeadlineMs: backMs + job.callerDeadlineMs - job.arrivedMs }]
  }
  Array.from({ length: 2_600 }, (_, i) => i * STEP_MS).forEach(atMs => {
    nowMs = atMs
    running = running.filter(({ untilMs }) => untilMs > nowMs)
    const fresh = pending.filter(({ arrivedMs }) => arrivedMs <= nowMs).map(withUrgency)
    pending = pending.filter(({ arrivedMs }) => arrivedMs > nowMs)
    arrived = [...arrived, ...fresh]
    waiting = [...waiting, ...fresh]
    admitting.refusals(waiting, nowMs).forEach(({ reason, retryAfterMs }, job) => {
      refusals.push(reason)
      refuse(job, retryAfterMs)
    })
    let refusedPosition = Number.POSITIVE_INFINITY
    order.sort(waiting, nowMs).forEach(job => {
      const { position } = job.urgency ?? { position: 0 }
      if (position > refusedPosition) return
      if (sum(running) + job.tokens > CAPACITY_TOKENS) {
        refusedPosition = Math.min(refusedPosition, position)
        return
      }
      running = [...running, { tokens: job.tokens, untilMs: nowMs + HOLDING_MS }]
      waiting = waiting.filter(other => other !== job)
      served.push({ job, atMs: nowMs })
    })
  })
  return { served, refusals }
}

function shareOf (jobs: readonly Job[], served: readonly Served[], isCounted: (job: Job) => boolean, inTime = false): number {
  const counted = served.filter(({ job, atMs }) => isCounted(job) && (!inTime || atMs <= job.targetDeadlineMs))
  return counted.length / Math.max(1, jobs.filter(isCounted).length)
}

function sharesByLevel (jobs: readonly Job[], served: readonly Served[], inTime = false): readonly number[] {
  return [0, 1, 2].map(level => shareOf(jobs, served, job => job.level === level, inTime))
}

function expectByUrgency ([first = 0, second = 0, third = 0]: readonly number[], tolerance: number): void {
  expect(first).toBeGreaterThanOrEqual(second - tolerance)
  expect(second).toBeGreaterThanOrEqual(third - tolerance)
}

test.each([1.2, 1.5, 2, 3])('in a burst at %f times the memory, no rank whose callers wait as long is served more often than a more urgent one', factor => {
  const jobs = burst(factor, { targetsMs: [1_000, 1_000, 1_000] })
  const { served } = play(jobs, BY_URGENCY)
  expectByUrgency(sharesByLevel(jobs, served), 0.05)
  expectByUrgency(sharesByLevel(jobs, served, true), 0.05)
})

// At three times the memory, callers that wait longer are still there when the burst is over; only service in time is compared.
test.each([1.2, 1.5, 2, 3])('in a burst at %f times the memory, a more urgent rank with a shorter target is served in time no less often', factor => {
  const jobs = burst(factor)
  const { served } = play(jobs, BY_URGENCY)
  expectByUrgency(sharesByLevel(jobs, served, true), 0.15)
  if (factor <= 2) expectByUrgency(sharesByLevel(jobs, served), 0.05)
})

test('in a burst of three ranks the baseline serves the least urgent most often in time, and urgency serves the most urgent more often', () => {
  const jobs = burst(2)
  const [before = 0, , lastBefore = 0] = sharesByLevel(jobs, play(jobs, BASELINE).served, true)
  const [after = 0] = sharesByLevel(jobs, play(jobs, BY_URGENCY).served, true)
  expect(lastBefore).toBeGreaterThan(before)
  expect(after).toBeGreaterThan(before + 0.1)
})

test('while urgent requests alone exceed the memory, the least urgent rank is served at least a quarter as often', () => {
  const jobs = burst(3, { shares: [0.5, 0.3, 0.2] })
  const { served } = play(jobs, BY_URGENCY)
  expect(sharesByLevel(jobs, served)[2]).toBeGreaterThanOrEqual(served.length / jobs.length / 4)
})

test('in a burst the largest tenth of the requests is served at least half as often as all', () => {
  const jobs = burst(2)
  const { served } = play(jobs, BY_URGENCY)
  const limit = jobs.map(({ tokens }) => tokens).sort((a, b) => b - a)[Math.floor(jobs.length / 10)] ?? 0
  expect(shareOf(jobs, served, ({ tokens }) => tokens >= limit)).toBeGreaterThanOrEqual(served.length / jobs.length / 2)
})

test('an account that asks for seven times its part yields to accounts of the same rank', () => {
  const jobs = burst(2, { shares: [1, 0, 0] }).map((job, i) => ({ ...job, account: i % 10 < 5 ? 'hot' : `a${i % 10}` }))
  const { served } = play(jobs, BY_URGENCY)
  const hot = shareOf(jobs, served, ({ account }) => account === 'hot', true)
  expect(shareOf(jobs, served, ({ account }) => account !== 'hot', true)).toBeGreaterThan(hot + 0.2)
  expect(hot).toBeGreaterThan(0)
})

test('callers that were refused together come back at different times, no later than the longest retry delay', () => {
  const pool: PoolView = { capacityTokens: 100, usedTokens: 100, waitingTokens: 500, arrivalRate: 1, holdingTimeMs: HOLDING_MS, shareUpTo: () => 1 }
  const waiting = Array.from({ length: 200 }, (_, i) => item({ id: String(i), targetDeadlineMs: -1, urgency: URGENCY }))
  const refusals = [...new UrgencyAdmission(() => pool, new SeededRandom(1)).refusals(waiting, 0).values()]
  expect(refusals.length).toBe(200)
  expect(new Set(refusals.map(({ retryAfterMs }) => Math.round(retryAfterMs / 100))).size).toBeGreaterThan(8)
  expect(refusals.every(({ reason, retryAfterMs }) => reason === RefusalReason.Backlog && retryAfterMs >= 1_500 && retryAfterMs <= 4_000)).toBe(true)
})

test('a late request is refused for the demand that goes first, not for what comes after it', () => {
  const pool: PoolView = { capacityTokens: 1_000, usedTokens: 1_000, waitingTokens: 900, arrivalRate: 0.5, holdingTimeMs: 3_000, shareUpTo: position => [0.2, 0.2, 1][position] ?? 1 }
  const urgent = item({ id: 'urgent', targetDeadlineMs: -1, urgency: { ...URGENCY, position: 0 } })
  const other = item({ id: 'other', targetDeadlineMs: -1, urgency: URGENCY })
  const refusals = new UrgencyAdmission(() => pool, new SeededRandom(1)).refusals([urgent, other], 0)
  expect([...refusals.keys()].map(({ id }) => id)).toEqual(['other'])
  expect(new BacklogAdmission(() => drainMs(pool)).refusals([urgent, other], 0).size).toBe(2)
})

test('among late requests of a rank, a caller that was refused and has waited goes before newcomers', () => {
  const back = item({ id: 'back', isRetry: true, targetDeadlineMs: -1, callerDeadlineMs: 9_000, urgency: { ...URGENCY, hasWaited: true } })
  const late = item({ id: 'late', targetDeadlineMs: -1, urgency: URGENCY })
  const urgent = item({ id: 'urgent', targetDeadlineMs: -1, urgency: { ...URGENCY, position: 0 } })
  expect(new UrgencyOrder().sort([late, back, urgent], 0).map(({ id }) => id)).toEqual(['urgent', 'back', 'late'])
})

test('the last chance of a caller that has come back goes before newcomers of its rank, and a protected one before all', () => {
  const back = item({ id: 'back', isRetry: true, targetDeadlineMs: -1, callerDeadlineMs: 500, urgency: { ...URGENCY, hasWaited: true } })
  const fresh = item({ id: 'fresh', urgency: URGENCY })
  const urgent = item({ id: 'urgent', urgency: { ...URGENCY, position: 0 } })
  const sorted = (isProtected: boolean): readonly string[] => new UrgencyOrder().sort([fresh, urgent, { ...back, urgency: { ...URGENCY, hasWaited: true, isProtected } }], 0).map(({ id }) => id)
  expect(sorted(false)).toEqual(['urgent', 'back', 'fresh'])
  expect(sorted(true)).toEqual(['back', 'urgent', 'fresh'])
})

test('a late urgent request waits until its caller is about to disconnect', () => {
  const late = item({ id: 'late', targetDeadlineMs: -1, callerDeadlineMs: 3_000, urgency: { ...URGENCY, position: 0 } })
  const fresh = item({ id: 'fresh', targetDeadlineMs: 9_000, callerDeadlineMs: 12_000, urgency: URGENCY })
  const first = (nowMs: number): string | undefined => new UrgencyOrder().sort([late, fresh], nowMs)[0]?.id
  expect([0, 2_300, 2_500].map(first)).toEqual(['fresh', 'fresh', 'late'])
})

// Answers a burst over many hosts, each with few requests, where no queue shows a more urgent request of another host.
test('at nearly full engines a less urgent request leaves room, and a large one still fits an idle engine', () => {
  const full = { usedTokens: 850, capacityTokens: 1_000, shareUpTo: () => 1 }
  const random = new SeededRandom(1)
  const urgencies = [undefined, { ...URGENCY, position: 0 }, URGENCY, { ...URGENCY, isProtected: true }]
  expect(urgencies.map(urgency => yieldsRoom(urgency, full, random))).toEqual([false, false, true, false])
  expect(yieldsRoom(URGENCY, { ...full, usedTokens: 700 }, random)).toBe(false)
  expect([40, 80, 120].map(tokens => yieldingRoomTokens(tokens, 50, 100))).toEqual([90, 100, 120])
})

// Answers a burst in which nearly all requests have the same rank: what they leave for the few others would stay unused.
test('a request leaves room as often as more urgent ones are part of the demand', () => {
  const random = new SeededRandom(1)
  const oftenFor = (share: number): number => Array.from({ length: 1_000 }, () => yieldsRoom(URGENCY, { usedTokens: 850, capacityTokens: 1_000, shareUpTo: position => position < URGENCY.position ? share : 1 }, random)).filter(Boolean).length
  expect(oftenFor(0)).toBe(0)
  expect(oftenFor(0.1)).toBeGreaterThan(60)
  expect(oftenFor(0.1)).toBeLessThan(140)
  expect(oftenFor(0.7)).toBeGreaterThan(640)
})

// Deployments without ranks and accounts are served as before.
test('without ranks and accounts, order and refusals are those of the baseline', () => {
  const times = fc.integer({ min: 0, max: 4_000 })
  const items = fc.array(fc.record({
    id: fc.string(), arrivedMs: fc.constant(0), targetDeadlineMs: times, callerDeadlineMs: times, tokens: times, cost: fc.integer({ min: 0, max: 9 }), isRetry: fc.boolean()
  }), { maxLength: 12 })
  fc.assert(fc.property(items, times, fc.integer({ min: 0, max: 9_000 }), (waiting, nowMs, waitingTokens) => {
    expect(new UrgencyOrder().sort(waiting, nowMs)).toEqual(new LatencyTargetOrder().sort(waiting, nowMs))
    const pool: PoolView = { capacityTokens: 5_000, usedTokens: 5_000, waitingTokens, arrivalRate: 0.5, holdingTimeMs: 2_000, shareUpTo: () => 1 }
    const baseline = new BacklogAdmission(() => drainMs(pool)).refusals(waiting, nowMs)
    expect([...new UrgencyAdmission(() => pool, new SeededRandom(1)).refusals(waiting, nowMs)]).toEqual([...baseline])
  }))
})

test('the ranks of a service are those of its routes and of the accounts that may use them', () => {
  const route = (priority: number, service: string, isPublic = false): GatewayRoute => ({ priority, isPublic, targets: [{ service, weight: 1 }] } as unknown as GatewayRoute)
  const config = { routes: [route(2, 's'), route(0, 's'), route(7, 't'), route(3, 'u', true)] } as unknown as GatewayConfig
  const ranksOf = (published: GatewayConfig, service: string): ReadonlyArray<readonly number[]> => serviceRanks(published, service).map(({ rank, routeRank }) => [rank, routeRank])
  expect(ranksOf(config, 's')).toEqual([[0, 0], [2, 2]])
  const accounts = [{ name: 'a', keys: [], priority: 5 }]
  expect(['s', 't', 'u'].map(service => ranksOf({ ...config, accounts }, service))).toEqual([[[5, 0], [5, 2]], [[5, 7]], [[3, 3], [5, 3]]])
  expect(ranksOf({ ...config, accounts: [...accounts, { name: 'b', keys: [] }] }, 's')).toEqual([[0, 0], [2, 2], [5, 0], [5, 2]])
})

// Answers a burst in which all accounts have the same rank and only the routes differ.
test('among requests of accounts with the same rank, that of the route counts', () => {
  const ranks = serviceRanks({ routes: [2, 0, 1].map(priority => ({ priority, targets: [{ service: 's', weight: 1 }] })), accounts: [{ name: 'a', keys: [], priority: 1 }] } as unknown as GatewayConfig, 's')
  expect([0, 1, 2].map(routeRank => urgencyLevel(ranks, { rank: 1, routeRank }))).toEqual([0, 1, 2])
})

function item (overrides: Partial<WaitingRequest>): WaitingRequest {
  return { id: 'r', arrivedMs: 0, targetDeadlineMs: 600, callerDeadlineMs: 3_240, tokens: 100, cost: 100, isRetry: false, ...overrides }
}
