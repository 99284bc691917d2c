import { ManualClock } from '@jaymill/core'
import { describe, expect, test } from 'vitest'
import { ReadBudget } from '../../platform/JaymillReadBudget.js'

/** Reads that one host sends in a simulated minute when it asks again as soon as it may. */
function readsPerMinute (hosts: number): number {
  const clock = new ManualClock()
  const budget = new ReadBudget({ hostReadsPerSecond: 4, fleetReadsPerSecond: 200 }, clock, () => hosts)
  let reads = 0
  while (clock.nowMs() < 60_000) {
    clock.advance(budget.reserve())
    if (clock.nowMs() < 60_000) reads += 1
  }
  return reads
}

describe('ReadBudget', () => {
  test('keeps one host under its own rate and all hosts under the fleet rate', () => {
    expect(readsPerMinute(7)).toBeLessThanOrEqual(4 * 60 + 2)
    expect(readsPerMinute(7)).toBeGreaterThan(230)
    expect(readsPerMinute(420) * 420 / 60).toBeLessThanOrEqual(200 + 2 * 420 / 60)
    expect(readsPerMinute(420) * 420 / 60).toBeGreaterThan(190)
  })

  test('shrinks while it runs when the list grows', () => {
    let hosts = 1
    const budget = new ReadBudget({ hostReadsPerSecond: 4, fleetReadsPerSecond: 200 }, new ManualClock(), () => hosts)
    hosts = 420
    expect([budget.reserve(), budget.reserve(), budget.reserve()]).toEqual([0, 0, 2_100])
  })
})
