import { ManualClock } from '@jaymill/core'
import { describe, expect, test } from 'vitest'
import { ReadRateLimiter } from '../../platform/JaymillReadRateLimiter.js'

/** Counts the reads that one host sends in a simulated minute when it reads as often as allowed. */
function readsPerMinute (hosts: number): number {
  const clock = new ManualClock()
  const rateLimiter = new ReadRateLimiter({ hostReadsPerSecond: 4, fleetReadsPerSecond: 200 }, clock, () => hosts)
  let reads = 0
  while (clock.nowMs() < 60_000) {
    clock.advance(rateLimiter.reserve())
    if (clock.nowMs() < 60_000) reads += 1
  }
  return reads
}

describe('ReadRateLimiter', () => {
  test('keeps one host below its own limit and all hosts below the fleet limit', () => {
    expect(readsPerMinute(7)).toBeLessThanOrEqual(4 * 60 + 2)
    expect(readsPerMinute(7)).toBeGreaterThan(230)
    expect(readsPerMinute(420) * 420 / 60).toBeLessThanOrEqual(200 + 2 * 420 / 60)
    expect(readsPerMinute(420) * 420 / 60).toBeGreaterThan(190)
  })

  test('lowers the rate of a running limiter when the host list grows', () => {
    let hosts = 1
    const rateLimiter = new ReadRateLimiter({ hostReadsPerSecond: 4, fleetReadsPerSecond: 200 }, new ManualClock(), () => hosts)
    hosts = 420
    expect([rateLimiter.reserve(), rateLimiter.reserve(), rateLimiter.reserve()]).toEqual([0, 0, 2_100])
  })
})
