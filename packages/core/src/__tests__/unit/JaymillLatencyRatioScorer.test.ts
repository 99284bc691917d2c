import { describe, expect, test } from 'vitest'
import { EJECT_FAILURES, EJECT_MS, MAX_SUMMARY_ENTRIES, MIN_SAMPLES, PROBE_WEIGHT } from '../../health/constants.js'
import { EjectionState } from '../../health/JaymillEjection.js'
import { LatencyRatioScorer } from '../../health/JaymillLatencyRatioScorer.js'
import { LatencyMeasure } from '../../health/JaymillLatencyMeasure.js'

const POOL = ['e0', 'e1', 'e2', 'e3', 'e4', 'e5']

function feed (scorer: LatencyRatioScorer, ids: readonly string[], observedMs: number, nowMs: number, count = 8): void {
  const measure = LatencyMeasure.InterToken
  const samples = Array.from({ length: count }, (_, i) => observedMs * (1 + (i % 3) / 50))
  ids.forEach(endpointId => samples.forEach(ms => scorer.observe({ endpointId, measure, observedMs: ms, expectedMs: 31 }, nowMs)))
}

const weights = (scorer: LatencyRatioScorer, nowMs: number) => scorer.health(POOL, nowMs).map(({ weight }) => weight)

describe('LatencyRatioScorer', () => {
  test('ejects, probes and restores one straggler of six', () => {
    const scorer = new LatencyRatioScorer()
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

  test('reduces the weight of a slow endpoint, but not of a pool that is slow as a whole', () => {
    const scorer = new LatencyRatioScorer()
    feed(scorer, POOL.slice(1), 250, 0)
    feed(scorer, ['e0'], 500, 0)
    const [slow, ...others] = weights(scorer, 0)
    expect(slow).toBeCloseTo(0.5, 1)
    expect(others).toEqual([1, 1, 1, 1, 1])
  })

  test('never ejects more than the maximum share of the pool', () => {
    const scorer = new LatencyRatioScorer()
    POOL.forEach((id, i) => Array.from({ length: EJECT_FAILURES }, () => i < 5 && scorer.recordFailure(id)))
    feed(scorer, ['e5'], 25, 0)
    const ejected = scorer.health(POOL, 0).filter(({ state }) => state === EjectionState.Ejected)
    expect(ejected).toHaveLength(2)
  })

  test('ejects an endpoint that it has not used, by the summaries of peers; merging is commutative and summaries expire', () => {
    const sender = new LatencyRatioScorer()
    feed(sender, POOL.slice(1), 25, 0)
    feed(sender, ['e0'], 250, 0)
    const summaries = ['h1', 'h2'].map(id => sender.summarize(id, 1, 0))
    const results = [summaries, [...summaries].reverse(), [...summaries, ...summaries]].map(order => {
      const receiver = new LatencyRatioScorer()
      feed(receiver, POOL.slice(1), 25, 0)
      order.forEach(summary => receiver.merge(summary, 0))
      ;['h1', 'h2'].forEach(hostId => receiver.merge({ hostId, seq: 0, entries: [] }, 0))
      return weights(receiver, 0)
    })
    expect(results).toEqual([0, 1, 2].map(() => [0, 1, 1, 1, 1, 1]))
    const lateReceiver = new LatencyRatioScorer()
    summaries.forEach(summary => lateReceiver.merge(summary, 0))
    feed(lateReceiver, POOL.slice(1), 25, 60_000)
    expect(weights(lateReceiver, 60_000)).toEqual([1, 1, 1, 1, 1, 1])
  })

  test('a summary is bounded, and empty if no endpoint deviates', () => {
    const scorer = new LatencyRatioScorer()
    const many = Array.from({ length: 100 }, (_, i) => `e${i}`)
    feed(scorer, many, 25, 0)
    expect(scorer.summarize('h', 1, 0).entries).toEqual([])
    feed(scorer, many.slice(0, 40), 900, 0, 64)
    expect(scorer.summarize('h', 2, 0).entries).toHaveLength(MAX_SUMMARY_ENTRIES)
  })
})
