import { expect, test } from 'vitest'
import { QuarantineProbes } from '../../../gateway/index.js'
import { PROBE_INTERVAL_MS, PROBE_WINDOW_REQUESTS } from '../../../gateway/constants.js'

const HOSTS = 6

/** Sends requests, one each millisecond, of which every n-th has a key, and counts the probes. */
function countProbes (probes: QuarantineProbes, requests: number, every: number): number {
  return Array.from({ length: requests }, (_, i) => i).filter(i => {
    if (i % every === 0) return probes.tryProbe('key', HOSTS, i)
    probes.accepted()
    return false
  }).length
}

// Guards against a shared part that is quarantined by mistake and refuses all requests until it expires.
test('a key that refuses most requests is probed at the interval that the hosts share', () => {
  const intervals = 3
  expect(countProbes(new QuarantineProbes(), intervals * PROBE_INTERVAL_MS * HOSTS + PROBE_WINDOW_REQUESTS, 1)).toBe(intervals + 1)
})

// Guards against probes with the cause of crashes, each of which would crash another engine.
test('a key that refuses a small share of the requests is never probed', () => {
  expect(countProbes(new QuarantineProbes(), 10 * PROBE_INTERVAL_MS * HOSTS, 4)).toBe(0)
})

test('the first requests of a host are no reason for a probe', () => {
  expect(countProbes(new QuarantineProbes(), PROBE_WINDOW_REQUESTS - 1, 1)).toBe(0)
})
