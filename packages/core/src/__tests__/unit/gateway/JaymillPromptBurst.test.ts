import { expect, test } from 'vitest'
import { DirectWhenOnTime, PrefillOnly, ReadingPlace, SeededRandom, type PromptReading, type ReadingOptions } from '../../../index.js'

const TARGET_MS = 700
const PREFILL_TOKEN_MS = 0.025
const DIRECT_TOKEN_MS = 0.055
const DIRECT_FIXED_MS = 120
const DECODE_ENGINES = 3
const BURST_MS = 4_000
const PROMPTS = 60

interface Arrival {
  readonly atMs: number
  readonly tokens: number
}

/** Prompts of a burst, at 1.9 times what one prefill engine can read. */
function burst (): readonly Arrival[] {
  const random = new SeededRandom(23)
  return Array.from({ length: PROMPTS }, (_, i) => ({ atMs: i / PROMPTS * BURST_MS, tokens: 2_000 + random.next() * 6_200 }))
}

/** Plays a burst before one prefill engine and some decode engines; each reads one prompt after the other. */
function play (reading: PromptReading): { onTime: number, direct: number } {
  let prefillFreeMs = 0
  const decodeFreeMs = Array.from({ length: DECODE_ENGINES }, () => 0)
  let direct = 0
  const times = burst().map(({ atMs, tokens }) => {
    const engine = decodeFreeMs.indexOf(Math.min(...decodeFreeMs))
    const waitMs = Math.max(0, (decodeFreeMs[engine] ?? 0) - atMs)
    const prefillMs = Math.max(0, prefillFreeMs - atMs) + tokens * PREFILL_TOKEN_MS
    const place = reading.choose({ promptTokens: tokens, prefillMs, directTokens: waitMs / DIRECT_TOKEN_MS, leftMs: TARGET_MS })
    if (place === ReadingPlace.Prefill) {
      prefillFreeMs = atMs + prefillMs
      return prefillMs
    }
    direct += 1
    const directMs = waitMs + DIRECT_FIXED_MS + tokens * DIRECT_TOKEN_MS
    decodeFreeMs[engine] = atMs + directMs
    return directMs
  })
  return { onTime: times.filter(ms => ms <= TARGET_MS).length, direct }
}

test('in a burst of prompts, more are read on time than at the prefill engines alone', () => {
  const baseline = play(new PrefillOnly())
  const relieved = play(new DirectWhenOnTime())
  expect(baseline.direct).toBe(0)
  expect(relieved.onTime).toBeGreaterThan(baseline.onTime * 1.5)
})

function options (over: Partial<ReadingOptions>): ReadingOptions {
  return { promptTokens: 4_000, prefillMs: 200, directTokens: 0, leftMs: TARGET_MS, ...over }
}

test('decode engines are left alone when the prompt is on time, or late, in both places', () => {
  const reading = new DirectWhenOnTime()
  expect(reading.choose(options({}))).toBe(ReadingPlace.Prefill)
  expect(reading.choose(options({ prefillMs: 900 }))).toBe(ReadingPlace.Decode)
  expect(reading.choose(options({ prefillMs: 900, directTokens: 20_000 }))).toBe(ReadingPlace.Prefill)
  expect(reading.choose(options({ prefillMs: 900, leftMs: -100 }))).toBe(ReadingPlace.Prefill)
})

test('without a prefill engine, the decode engine reads the prompt', () => {
  const lost = options({ prefillMs: undefined })
  expect([new PrefillOnly(), new DirectWhenOnTime()].map(reading => reading.choose(lost))).toEqual([ReadingPlace.Decode, ReadingPlace.Decode])
  expect(new DirectWhenOnTime().expectedMs(lost)).toBeCloseTo(DIRECT_FIXED_MS + 4_000 * DIRECT_TOKEN_MS)
})
