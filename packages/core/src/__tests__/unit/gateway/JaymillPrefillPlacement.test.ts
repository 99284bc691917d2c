import { expect, test } from 'vitest'
import {
  DedicatedPrefillPlacement, LatencyTargetPlacement, PrefillLocation, SeededRandom, type PrefillPlacement, type PrefillPlacementOptions
} from '../../../index.js'

const TARGET_MS = 700
const PREFILL_TOKEN_MS = 0.025
const DECODE_ENGINE_TOKEN_MS = 0.055
const DECODE_ENGINE_FIXED_MS = 120
const DECODE_ENGINES = 3
const BURST_MS = 4_000
const PROMPTS = 60

interface Arrival {
  readonly atMs: number
  readonly tokens: number
}

/** Prompts of a burst, at 1.9 times the capacity of one prefill engine. */
function burst (): readonly Arrival[] {
  const random = new SeededRandom(23)
  return Array.from({ length: PROMPTS }, (_, i) => ({ atMs: i / PROMPTS * BURST_MS, tokens: 2_000 + random.next() * 6_200 }))
}

/** Simulates a burst with one prefill engine and some decode engines; each prefills one prompt at a time. */
function simulate (placement: PrefillPlacement): { withinTarget: number, atDecodeEngines: number } {
  let prefillFreeMs = 0
  const decodeFreeMs = Array.from({ length: DECODE_ENGINES }, () => 0)
  let atDecodeEngines = 0
  const times = burst().map(({ atMs, tokens }) => {
    const engine = decodeFreeMs.indexOf(Math.min(...decodeFreeMs))
    const waitMs = Math.max(0, (decodeFreeMs[engine] ?? 0) - atMs)
    const prefillEngineMs = Math.max(0, prefillFreeMs - atMs) + tokens * PREFILL_TOKEN_MS
    const decodeEngineMs = waitMs + DECODE_ENGINE_FIXED_MS + tokens * DECODE_ENGINE_TOKEN_MS
    const location = placement.choose({ prefillEngineMs, decodeEngineMs, remainingMs: TARGET_MS })
    if (location === PrefillLocation.Prefill) {
      prefillFreeMs = atMs + prefillEngineMs
      return prefillEngineMs
    }
    atDecodeEngines += 1
    decodeFreeMs[engine] = atMs + decodeEngineMs
    return decodeEngineMs
  })
  return { withinTarget: times.filter(ms => ms <= TARGET_MS).length, atDecodeEngines }
}

test('in a burst, more prompts meet the latency target than with the prefill engine alone', () => {
  const baseline = simulate(new DedicatedPrefillPlacement())
  const latencyTarget = simulate(new LatencyTargetPlacement())
  expect(baseline.atDecodeEngines).toBe(0)
  expect(latencyTarget.withinTarget).toBeGreaterThan(baseline.withinTarget * 1.5)
})

function options (overrides: Partial<PrefillPlacementOptions>): PrefillPlacementOptions {
  return { prefillEngineMs: 200, decodeEngineMs: 340, remainingMs: TARGET_MS, ...overrides }
}

test('decode engines are not used when the prompt meets, or misses, the target in both locations', () => {
  const placement = new LatencyTargetPlacement()
  expect(placement.choose(options({}))).toBe(PrefillLocation.Prefill)
  expect(placement.choose(options({ prefillEngineMs: 900 }))).toBe(PrefillLocation.Decode)
  expect(placement.choose(options({ prefillEngineMs: 900, decodeEngineMs: 1_440 }))).toBe(PrefillLocation.Prefill)
  expect(placement.choose(options({ prefillEngineMs: 900, remainingMs: -100 }))).toBe(PrefillLocation.Prefill)
})

test('without a prefill engine, the decode engine prefills the prompt', () => {
  const withoutPrefillEngine = options({ prefillEngineMs: undefined })
  expect([new DedicatedPrefillPlacement(), new LatencyTargetPlacement()].map(placement => placement.choose(withoutPrefillEngine)))
    .toEqual([PrefillLocation.Decode, PrefillLocation.Decode])
  expect(new LatencyTargetPlacement().expectedMs(withoutPrefillEngine)).toBe(340)
})
