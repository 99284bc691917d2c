import { expect, test } from 'vitest'
import { CapacityProbeLimiter } from '../../../index.js'

const CHECK_INTERVAL_MS = 15
const MS_PER_SECOND = 1_000

/** Probes per second of one host while every engine refuses and load reports are wrong. */
function probesPerSecond (engines: number, hasCapacity: boolean): number {
  const limiter = new CapacityProbeLimiter()
  const ids = Array.from({ length: engines }, (_, i) => `e${i}`)
  const probe = (id: string, nowMs: number): number => {
    if (!limiter.shouldProbe(id, hasCapacity, engines, nowMs)) return 0
    limiter.recordProbe(id, nowMs)
    limiter.recordRefusal(id, nowMs)
    return 1
  }
  const probeAll = (nowMs: number): number => ids.reduce((count, id) => count + probe(id, nowMs), 0)
  const checks = Array.from({ length: 30 * MS_PER_SECOND / CHECK_INTERVAL_MS }, (_, i) => ({
    nowMs: i * CHECK_INTERVAL_MS, probes: probeAll(i * CHECK_INTERVAL_MS)
  }))
  return checks.filter(({ nowMs }) => nowMs >= 10 * MS_PER_SECOND).reduce((sum, { probes }) => sum + probes, 0) / 20
}

test.each([4, 41, 400])('a host that waits for capacity at %i full engines probes no more often than with few engines', engines => {
  expect(probesPerSecond(engines, true)).toBeLessThanOrEqual(60)
  expect(probesPerSecond(engines, false)).toBeLessThanOrEqual(60)
})

test('an engine that has refused may be probed at once after a request of this host has ended there', () => {
  const limiter = new CapacityProbeLimiter()
  limiter.recordProbe('e', 0)
  limiter.recordRefusal('e', 0)
  expect(limiter.shouldProbe('e', true, 40, 500)).toBe(false)
  limiter.recordRelease('e')
  expect(limiter.shouldProbe('e', true, 40, 500)).toBe(true)
})

test('an engine that seems full is probed at an interval', () => {
  const limiter = new CapacityProbeLimiter()
  limiter.recordProbe('e', 0)
  expect(limiter.shouldProbe('e', false, 4, 200)).toBe(false)
  expect(limiter.shouldProbe('e', false, 4, 250)).toBe(true)
})
