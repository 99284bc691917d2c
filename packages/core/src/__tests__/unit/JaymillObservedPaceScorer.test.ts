import { describe, expect, test } from 'vitest'
import { EJECT_FAILURES, EJECT_MS, MAX_DIGEST_ENTRIES, MIN_SAMPLES, PROBE_WEIGHT } from '../../health/constants.js'
import { EjectionState } from '../../health/JaymillEjection.js'
import { ObservedPaceScorer } from '../../health/JaymillObservedPaceScorer.js'
import { PaceMeasure } from '../../health/JaymillPaceMeasure.js'

const POOL = ['e0', 'e1', 'e2', 'e3', 'e4', 'e5']

function feed (scorer: ObservedPaceScorer, ids: readonly string[], observedMs: number, nowMs: number, count = 8): void {
  const measure = PaceMeasure.InterToken
  const samples = Array.from({ length: count }, (_, i) => observedMs * (1 + (i % 3) / 50))
  ids.forEach(endpointId => samples.forEach(ms => scorer.observe({ endpointId, measure, observedMs: ms, expectedMs: 31 }, nowMs)))
}

const weights = (scorer: ObservedPaceScorer, nowMs: number) => scorer.health(POOL, nowMs).map(({ weight }) => weight)

describe('ObservedPaceScorer', () => {
  test('one straggler of six is ejected, probed and restored', () => {
    const scorer = new ObservedPaceScorer()
    feed(scorer, POOL.slice(1), 25, 0)
    feed(scorer, ['e0'], 250, 0)
    expect(weights(scorer, 0)).toEqual([0, 1, 1, 1, 1, 1])
    feed(scorer, POOL.slice(1), 25, EJECT_MS)
    expect(weights(scorer, EJECT_MS)[0]).toBe(PROBE_WEIGHT)
    feed(scorer, ['e0'], 250, EJECT_MS + 1, MIN_SAMPLES)
    expect(weights(scorer, EJECT_MS + 1)[0]).toBe(0)
    feed(scorer, POOL, 25, 3 * EJECT_MS + 2)
    expect(weights(scorer, 3 * EJECT_MS + 2)).toEqual([1, 1, 1, 1, 1, 1])
  })

  test('a somewhat slow endpoint gets less work, a pool that slows down as a whole loses none', () => {
    const scorer = new ObservedPaceScorer()
    feed(scorer, POOL.slice(1), 250, 0)
    feed(scorer, ['e0'], 500, 0)
    const [slow, ...others] = weights(scorer, 0)
    expect(slow).toBeCloseTo(0.5, 1)
    expect(others).toEqual([1, 1, 1, 1, 1])
  })

  test('never ejects more than the cap, the worst first', () => {
    const scorer = new ObservedPaceScorer()
    POOL.forEach((id, i) => Array.from({ length: EJECT_FAILURES }, () => i < 5 && scorer.failed(id)))
    feed(scorer, ['e5'], 25, 0)
    const ejected = scorer.health(POOL, 0).filter(({ state }) => state === EjectionState.Ejected)
    expect(ejected).toHaveLength(2)
  })

  test('digests of peers judge an endpoint the host has not used; merging commutes and expires', () => {
    const sender = new ObservedPaceScorer()
    feed(sender, POOL.slice(1), 25, 0)
    feed(sender, ['e0'], 250, 0)
    const digests = ['h1', 'h2'].map(id => sender.digest(id, 1, 0))
    const results = [digests, [...digests].reverse(), [...digests, ...digests]].map(order => {
      const receiver = new ObservedPaceScorer()
      feed(receiver, POOL.slice(1), 25, 0)
      order.forEach(digest => receiver.merge(digest, 0))
      ;['h1', 'h2'].forEach(hostId => receiver.merge({ hostId, seq: 0, entries: [] }, 0))
      return weights(receiver, 0)
    })
    expect(results).toEqual([0, 1, 2].map(() => [0, 1, 1, 1, 1, 1]))
    const late = new ObservedPaceScorer()
    digests.forEach(digest => late.merge(digest, 0))
    feed(late, POOL.slice(1), 25, 60_000)
    expect(weights(late, 60_000)).toEqual([1, 1, 1, 1, 1, 1])
  })

  test('a digest is bounded and empty while nothing stands out', () => {
    const scorer = new ObservedPaceScorer()
    const many = Array.from({ length: 100 }, (_, i) => `e${i}`)
    feed(scorer, many, 25, 0)
    expect(scorer.digest('h', 1, 0).entries).toEqual([])
    feed(scorer, many.slice(0, 40), 900, 0, 64)
    expect(scorer.digest('h', 2, 0).entries).toHaveLength(MAX_DIGEST_ENTRIES)
  })
})
