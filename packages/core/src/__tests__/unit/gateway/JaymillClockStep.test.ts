import { expect, test } from 'vitest'
import { isNewerHostHeartbeat, PendingRoleChanges } from '../../../index.js'

test('a host that restarts with its wall clock set back is accepted once it has timed out', () => {
  const latest = { born: 10_000, seq: 700 }
  const restarted = { born: 4_000, seq: 1 }
  expect(isNewerHostHeartbeat(restarted, latest, true)).toBe(false)
  expect(isNewerHostHeartbeat(restarted, latest, false)).toBe(true)
})

test('heartbeats of one process are accepted only in order, also after a timeout', () => {
  const latest = { born: 10_000, seq: 700 }
  expect(isNewerHostHeartbeat({ born: 10_000, seq: 700 }, latest, false)).toBe(false)
  expect(isNewerHostHeartbeat({ born: 10_000, seq: 701 }, latest, true)).toBe(true)
  expect(isNewerHostHeartbeat({ born: 10_001, seq: 1 }, latest, true)).toBe(true)
})

test('fencing tokens increase across hosts whose clocks differ', () => {
  const fast = new PendingRoleChanges()
  const slow = new PendingRoleChanges()
  const first = fast.nextFencingToken(90_000)
  slow.observeFencingToken(fast.highestFencingToken)
  expect(slow.nextFencingToken(20_000)).toBeGreaterThan(first)
  expect(slow.nextFencingToken(10_000)).toBeGreaterThan(slow.highestFencingToken - 1)
  expect(slow.nextFencingToken(500_000)).toBe(500_000)
})
