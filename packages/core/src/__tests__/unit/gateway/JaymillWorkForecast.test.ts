import { expect, test } from 'vitest'
import {
  earliestAnswerMs, ExpectedTimeRanking, LateReportForecast, ReportedLoads, sampleEndpoints, SeededRandom, UnchangedWorkForecast, type EndpointRecord, type KnownWork, type WorkForecast
} from '../../../index.js'

const ZONES = ['a', 'b', 'c', 'd']
const HOSTS = 77
const SLOTS = 6
const SERVICE_MS = 35
const REPORT_INTERVAL_MS = 1_000
const DURATION_MS = 20_000
const WARM_UP_MS = 3_000

const RECORDS: readonly EndpointRecord[] = ZONES.map((zone, i) => ({ id: `e${i}`, service: 's', address: `10.0.0.${i}:1`, zone, slots: SLOTS, leaving: false, warmupMs: 0 }))

/** One endpoint, which runs as many requests at a time as it has slots. */
interface PlayedEndpoint {
  /** Times at which its slots are free, in milliseconds. */
  readonly freeAtMs: number[]
  /** Hosts and end times of its requests. */
  requests: ReadonlyArray<{ readonly host: number, readonly endMs: number }>
  served: number
}

/** Load of the endpoints. */
interface Load {
  readonly ratePerS: number
  readonly speedOf?: (endpoint: number, nowMs: number) => number
  /** Time from which requests count, in milliseconds. */
  readonly fromMs?: number
}

interface Outcome {
  readonly longestWaitMs: number
  readonly meanMs: number
  /** Share of the requests by endpoint. */
  readonly shares: readonly number[]
}

/** Plays hosts that learn each other's work up to two seconds late, and the work at an endpoint from each of its responses. */
function play (forecast: WorkForecast, sampleSize: number, { ratePerS, speedOf = () => 1, fromMs = WARM_UP_MS }: Load): Outcome {
  const random = new SeededRandom(5)
  const endpoints: PlayedEndpoint[] = RECORDS.map(() => ({ freeAtMs: Array(SLOTS).fill(0), requests: [], served: 0 }))
  const responses: Array<{ readonly host: number, readonly endpoint: number, readonly endMs: number }> = []
  const seen = Array.from({ length: HOSTS }, () => new ReportedLoads())
  const outstanding = (endpoint: number, nowMs: number): PlayedEndpoint['requests'] => endpoints[endpoint]?.requests.filter(({ endMs }) => endMs > nowMs) ?? []
  let reports: ReadonlyArray<PlayedEndpoint['requests']> = RECORDS.map(() => [])
  let nextReports = reports
  let nextReportMs = 0
  const waits: number[] = []
  const times: number[] = []
  const respond = (untilMs: number): void => {
    responses.sort((a, b) => a.endMs - b.endMs).splice(0, responses.findLastIndex(({ endMs }) => endMs <= untilMs) + 1).forEach(({ host, endpoint, endMs }) => {
      const requests = outstanding(endpoint, endMs)
      const load = { running: Math.min(SLOTS, requests.length), waiting: Math.max(0, requests.length - SLOTS), slots: SLOTS, slowness: 1 }
      seen[host]?.record(`e${endpoint}`, load, requests.filter(request => request.host === host).length, endMs)
    })
  }
  const arrive = (nowMs: number): void => {
    if (nowMs >= nextReportMs) {
      reports = nextReports
      nextReports = RECORDS.map((_, i) => outstanding(i, nowMs))
      nextReportMs += REPORT_INTERVAL_MS
    }
    const host = Math.floor(random.next() ** 2 * HOSTS)
    const zone = ZONES[host % ZONES.length] ?? ''
    respond(nowMs)
    const sampled = sampleEndpoints(RECORDS, zone, sampleSize, random).sampled
    const known = sampled.map(({ id }): KnownWork => {
      const i = Number(id.slice(1))
      const isOwn = (request: { readonly host: number }): boolean => request.host === host
      return { own: outstanding(i, nowMs).filter(isOwn).length, others: (reports[i] ?? []).filter(request => !isOwn(request)).length, seen: seen[host]?.at(id) }
    })
    const expected = forecast.expect(known, nowMs, random)
    const candidates = sampled.map((record, i) => {
      const requests = expected[i]?.requests ?? 0
      return { record, work: { requests, tokens: 0 }, expectedMs: SERVICE_MS * (1 + Math.floor(requests / SLOTS) + requests / SLOTS), failureShare: 0, suspect: false }
    })
    const chosen = Number(new ExpectedTimeRanking().rank(candidates, zone, random)[0]?.id.slice(1))
    const endpoint = endpoints[chosen]
    if (endpoint === undefined) return
    const slot = endpoint.freeAtMs.indexOf(Math.min(...endpoint.freeAtMs))
    const startMs = Math.max(nowMs, endpoint.freeAtMs[slot] ?? 0)
    const endMs = startMs + SERVICE_MS * (0.5 + random.next()) / speedOf(chosen, nowMs)
    endpoint.freeAtMs[slot] = endMs
    endpoint.requests = [...outstanding(chosen, nowMs), { host, endMs }]
    responses.push({ host, endpoint: chosen, endMs })
    if (nowMs < fromMs) return
    endpoint.served += 1
    waits.push(startMs - nowMs)
    times.push(endMs - nowMs)
  }
  let nowMs = 0
  Array.from({ length: Math.floor(DURATION_MS * ratePerS / 1_000) }).forEach(() => {
    nowMs -= Math.log(1 - random.next()) * 1_000 / ratePerS
    arrive(nowMs)
  })
  const total = endpoints.reduce((sum, { served }) => sum + served, 0)
  return { longestWaitMs: Math.max(...waits), meanMs: times.reduce((sum, ms) => sum + ms, 0) / times.length, shares: endpoints.map(({ served }) => served / total) }
}

const baseline = new UnchangedWorkForecast()
const forecast = new LateReportForecast()

// A picture of the work that is two seconds old: the hosts that see the same endpoint as the least busy one all choose it.
test.each([200, 300, 400])('77 hosts before four endpoints of six slots, %i requests a second: no endpoint gets a queue while others are free', ratePerS => {
  const late = play(forecast, RECORDS.length, { ratePerS })
  const before = [2, RECORDS.length].map(size => play(baseline, size, { ratePerS }))
  before.forEach(({ longestWaitMs, meanMs }) => {
    expect(late.longestWaitMs).toBeLessThan(longestWaitMs / 2)
    expect(late.meanMs).toBeLessThan(meanMs)
  })
  expect(late.longestWaitMs).toBeLessThan(2 * SERVICE_MS)
})

test('endpoints of three speeds: a slow one gets less than a fast one, not nothing', () => {
  const speeds = [0.6, 1, 1.6, 1]
  const load = { ratePerS: 300, speedOf: (endpoint: number) => speeds[endpoint] ?? 1 }
  const { shares, meanMs } = play(forecast, RECORDS.length, load)
  expect(shares[0]).toBeGreaterThan(0.1)
  expect(shares[0]).toBeLessThan(Math.min(...shares.slice(1)))
  expect(shares[2]).toBe(Math.max(...shares))
  expect(meanMs).toBeLessThan(play(baseline, 2, load).meanMs)
})

test('an endpoint that was slow for ten seconds is used like the others afterwards', () => {
  const slowUntil = (untilMs: number) => (endpoint: number, nowMs: number): number => endpoint === 0 && nowMs < untilMs ? 0.3 : 1
  const shareOf = (untilMs: number): number | undefined => play(forecast, RECORDS.length, { ratePerS: 200, speedOf: slowUntil(untilMs), fromMs: 12_000 }).shares[0]
  expect(shareOf(DURATION_MS)).toBeLessThan(0.2)
  expect(shareOf(10_000)).toBeGreaterThan(0.23)
})

test('what an endpoint has reported counts by its age', () => {
  const loads = new ReportedLoads()
  const random = new SeededRandom(1)
  const mean = (nowMs: number): number => {
    const draws = Array.from({ length: 2_000 }, () => forecast.expect([{ own: 1, others: 4, seen: loads.at('e') }], nowMs, random)[0]?.requests ?? 0)
    return draws.reduce((sum, value) => sum + value, 0) / draws.length
  }
  expect(mean(0)).toBeCloseTo(5, 0)
  loads.record('e', { running: 6, waiting: 20, slots: 6, slowness: 2 }, 2, 1_000)
  expect(forecast.expect([{ own: 1, others: 4, seen: loads.at('e') }], 1_000, random)[0]).toEqual({ requests: 25, slowness: 2 })
  expect(mean(1_500)).toBeGreaterThan(10)
  expect(mean(60_000)).toBeCloseTo(5, 0)
  loads.forget('e')
  expect(loads.at('e')).toBeUndefined()
})

test.each([[Number.MAX_VALUE, 0], [1e300, 1e300]])('reported figures that are far off stay finite (%d, %d)', (requests, slowness) => {
  const loads = new ReportedLoads()
  loads.record('e', { running: requests, waiting: requests, slots: requests, slowness }, 0, 0)
  const [work] = forecast.expect([{ own: 0, others: 0, seen: loads.at('e') }], 10, new SeededRandom(1))
  expect(Number.isFinite(work?.requests)).toBe(true)
  expect(work?.slowness).toBeGreaterThan(0)
})

test('the earliest answer is known only from a load that the endpoint has reported lately', () => {
  const seen = { others: 58, slowness: 1, atMs: 1_000 }
  expect(earliestAnswerMs({ own: 2, others: 0, seen }, SLOTS, 40, 1_100)).toBe(300)
  expect(earliestAnswerMs({ own: 2, others: 500, seen }, SLOTS, 40, 1_501)).toBe(0)
  expect(earliestAnswerMs({ own: 2, others: 500 }, SLOTS, 40, 1_100)).toBe(0)
})
