import { expect, test } from 'vitest'
import { isNewerBeacon, StageChanges } from '../../../index.js'

test('a host that starts again after its time of day was set back is heard once it was silent', () => {
  const known = { born: 10_000, seq: 700 }
  const again = { born: 4_000, seq: 1 }
  expect(isNewerBeacon(again, known, true)).toBe(false)
  expect(isNewerBeacon(again, known, false)).toBe(true)
})

test('beacons of one start count in order, also after silence', () => {
  const known = { born: 10_000, seq: 700 }
  expect(isNewerBeacon({ born: 10_000, seq: 700 }, known, false)).toBe(false)
  expect(isNewerBeacon({ born: 10_000, seq: 701 }, known, true)).toBe(true)
  expect(isNewerBeacon({ born: 10_001, seq: 1 }, known, true)).toBe(true)
})

test('fencing tokens rise over hosts whose clocks differ', () => {
  const fast = new StageChanges()
  const slow = new StageChanges()
  const first = fast.nextFence(90_000)
  slow.adoptFence(fast.highestFence)
  expect(slow.nextFence(20_000)).toBeGreaterThan(first)
  expect(slow.nextFence(10_000)).toBeGreaterThan(slow.highestFence - 1)
  expect(slow.nextFence(500_000)).toBe(500_000)
})
