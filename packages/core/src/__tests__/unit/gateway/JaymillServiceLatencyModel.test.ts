import { expect, test } from 'vitest'
import { DelayEstimate, SeededRandom, ServiceLatencyModel } from '../../../index.js'

const keyOf = (i: number): { group: string, endpointId: string } => ({ group: 's/prefill', endpointId: `e${i}` })

test.each([0.1, 1, 10])('109 endpoints and few calls to each: the speed of an endpoint without calls is that of the others (speed × %d)', speed => {
  const model = new ServiceLatencyModel()
  const random = new SeededRandom(3)
  const ms = (tokens: number): number => (120 + tokens / 50) / speed
  Array.from({ length: 60 }).forEach((_, i) => {
    const tokens = 1_000 + random.next() * 8_000
    model.addMeasurement(keyOf(i), tokens, ms(tokens), i * 100)
  })
  expect(model.expectedMs(keyOf(100), 6_000, 1, 6_000) / ms(6_000)).toBeCloseTo(1, 1)
})

test('runners that turn slow: one call raises the estimate of its endpoint, and time lowers it again', () => {
  const model = new ServiceLatencyModel()
  Array.from({ length: 40 }).forEach((_, i) => model.addMeasurement(keyOf(i % 5), 1, 20, i * 50))
  model.addMeasurement(keyOf(3), 1, 100, 2_000)
  const expectedMs = (i: number, nowMs: number): number => model.expectedMs(keyOf(i), 1, 50, nowMs)
  expect(expectedMs(3, 2_000)).toBeGreaterThan(expectedMs(2, 2_000) * 1.2)
  expect(expectedMs(3, 60_000)).toBeCloseTo(expectedMs(2, 60_000), 1)
  model.forget('e3')
  expect(model.factor('e3', 2_000)).toBe(1)
})

const SPEEDS = [0.6, 1, 1.6]
const speedOf = (i: number): number => SPEEDS[i % SPEEDS.length] ?? 1

// A host of a large fleet calls each engine twice a minute: alone it never learns which ones are slow.
test('77 hosts before 22 engines of three speeds: each host knows them from the reports of all, and that one is no longer slow', () => {
  const random = new SeededRandom(7)
  const hosts = Array.from({ length: 77 }, () => new ServiceLatencyModel())
  const relay = new ServiceLatencyModel()
  const callAt = (atMs: number, speed: (i: number) => number): void => {
    const engine = Math.floor(random.next() * 22)
    hosts[Math.floor(random.next() * 77)]?.addMeasurement(keyOf(engine), 1, 100 * (0.7 + 0.6 * random.next()) / speed(engine), atMs)
  }
  const exchange = (atMs: number): void => {
    hosts.forEach((host, i) => relay.update(`h${i}`, host.shares([], atMs)))
    hosts.forEach(host => host.update('relay', relay.shares(hosts.map((_, i) => `h${i}`), atMs)))
  }
  const meanFactor = (of: number, nowMs: number): number => hosts.reduce((sum, host) => sum + host.factor(`e${of}`, nowMs), 0) / hosts.length
  const play = (fromMs: number, speed: (i: number) => number): void => Array.from({ length: 20 }, (_, s) => fromMs + s * 1_000).forEach(atMs => {
    Array.from({ length: 55 }, (_, i) => atMs + i * 18).forEach(ms => callAt(ms, speed))
    exchange(atMs + 1_000)
  })
  play(0, () => 1)
  play(20_000, speedOf)
  expect(meanFactor(0, 40_000) / meanFactor(1, 40_000)).toBeGreaterThan(1.3)
  expect(meanFactor(1, 40_000) / meanFactor(2, 40_000)).toBeGreaterThan(1.2)
  const alone = hosts[0]
  alone?.update('relay', [])
  const spread = Array.from({ length: 22 }, (_, i) => alone?.factor(`e${i}`, 40_000) ?? 1)
  expect(spread.filter(factor => Math.abs(factor - 1) > 0.1).length).toBeLessThan(8)
  play(40_000, () => 1)
  expect(meanFactor(0, 60_000) / meanFactor(1, 60_000)).toBeCloseTo(1, 0)
  expect(meanFactor(0, 60_000)).toBeLessThan(1.15)
})

test('reports name only endpoints that differ from their group, and a source that is gone no longer counts', () => {
  const model = new ServiceLatencyModel()
  Array.from({ length: 60 }, (_, i) => i).forEach(i => model.addMeasurement(keyOf(i % 6), 1, i % 6 === 3 ? 300 : 100, i * 100))
  expect(model.shares([], 6_000).map(({ endpointId }) => endpointId)).toContain('e3')
  const other = new ServiceLatencyModel()
  other.update('relay', model.shares([], 6_000))
  expect(other.factor('e3', 6_000)).toBeGreaterThan(1.3)
  expect(other.shares(['relay'], 6_000)).toEqual(model.shares([], 6_000))
  other.update('relay', [])
  expect(other.factor('e3', 6_000)).toBe(1)
})

test('a group without measurements is estimated by the initial value', () => {
  expect(new ServiceLatencyModel().expectedMs(keyOf(1), 3, 50, 0)).toBe(150)
})

test('the upper bound of a delay follows its average and its variation', () => {
  const delay = new DelayEstimate(200)
  expect(delay.upperMs(0)).toBe(200)
  Array.from({ length: 50 }).forEach((_, i) => delay.add(i % 2 === 0 ? 10 : 14, 0))
  expect(delay.upperMs(0)).toBeGreaterThan(13)
  expect(delay.upperMs(0)).toBeLessThan(30)
  Array.from({ length: 10 }).forEach(() => delay.add(500, 0))
  expect(delay.upperMs(0)).toBeGreaterThan(400)
})

// Guards against an estimate that keeps all requests away after one outlier, and so never changes again.
test('without samples the bound of a delay returns to its initial value', () => {
  const delay = new DelayEstimate(200)
  ;[10, 12, 3_000, 3_000, 3_000, 3_000].forEach(ms => delay.add(ms, 1_000))
  expect(delay.upperMs(1_000)).toBeGreaterThan(2_000)
  expect(delay.upperMs(3_000)).toBeLessThan(1_000)
  expect(delay.upperMs(30_000)).toBeCloseTo(200, 1)
  delay.add(10, 30_000)
  expect(delay.upperMs(30_000)).toBeGreaterThan(1_000)
})

// Guards against an estimate that keeps requests away since an endpoint was silent once.
test('one sample far above the bound of a delay raises it by a limited factor, several do without a limit', () => {
  const delay = new DelayEstimate(200)
  delay.add(60_000, 0)
  expect(delay.upperMs(0)).toBeLessThan(1_500)
  Array.from({ length: 20 }).forEach(() => delay.add(10, 0))
  delay.add(60_000, 0)
  expect(delay.upperMs(0)).toBeLessThan(1_000)
  Array.from({ length: 12 }).forEach(() => delay.add(60_000, 0))
  expect(delay.upperMs(0)).toBeGreaterThan(60_000)
})
