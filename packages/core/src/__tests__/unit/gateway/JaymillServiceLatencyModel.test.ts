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
