import { expect, test } from 'vitest'
import { sampleEndpoints, sampleSize, SeededRandom, type EndpointRecord } from '../../../index.js'

const ZONES = ['a', 'b', 'c', 'd', 'e']
const ENDPOINTS = 40
const REQUESTS_PER_S = 300
const PICTURE_MS = 2_000
const SERVICE_MS = 95
const BACKLOG_MS = 400

const records: readonly EndpointRecord[] = Array.from({ length: ENDPOINTS }, (_, i) => ({
  id: `e${i}`, service: 's', address: `10.0.0.${i}:1`, zone: ZONES[i % ZONES.length] ?? '', slots: 1, leaving: false, warmupMs: 0
}))

/** Plays hosts that all see one endpoint that has just started and is idle. Returns the longest wait there, in milliseconds. */
function longestWaitMs (size: number): number {
  const random = new SeededRandom(11)
  const picture = new Map(records.map(({ id }) => [id, id === 'e0' ? 0 : BACKLOG_MS]))
  const freeAtMs = new Map(picture)
  const waits = Array.from({ length: PICTURE_MS / 1_000 * REQUESTS_PER_S }, (_, i) => {
    const nowMs = i * 1_000 / REQUESTS_PER_S
    const { sampled } = sampleEndpoints(records, ZONES[i % ZONES.length] ?? '', size, random)
    const best = sampled.reduce((a, b) => (picture.get(b.id) ?? 0) < (picture.get(a.id) ?? 0) ? b : a)
    const startMs = Math.max(nowMs, freeAtMs.get(best.id) ?? 0)
    freeAtMs.set(best.id, startMs + SERVICE_MS)
    return startMs - nowMs
  })
  return Math.max(...waits)
}

test('a picture that is two seconds old: hosts do not all choose the endpoint that looked idle', () => {
  const unseen = REQUESTS_PER_S * PICTURE_MS / 1_000
  expect(longestWaitMs(sampleSize(ENDPOINTS, unseen))).toBeLessThan(longestWaitMs(ENDPOINTS) / 10)
})

test('all endpoints are compared while the picture is exact, and never fewer than two', () => {
  expect(sampleSize(6, 0)).toBe(6)
  expect(sampleSize(109, 3)).toBe(28)
  expect(sampleSize(109, 500)).toBe(2)
  expect(sampleSize(1, 500)).toBe(1)
  expect(sampleSize(0, 0)).toBe(0)
})

test('a sample holds near endpoints and others, each endpoint once, and the rest is complete', () => {
  const { sampled, rest } = sampleEndpoints(records, 'b', 2, new SeededRandom(2))
  expect(sampled.filter(({ zone }) => zone === 'b').length).toBeGreaterThanOrEqual(1)
  expect(sampled).toHaveLength(2)
  expect(new Set([...sampled, ...rest].map(({ id }) => id)).size).toBe(ENDPOINTS)
  expect(sampled.length + rest.length).toBe(ENDPOINTS)
})
