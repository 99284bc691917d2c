import { expect, test } from 'vitest'
import { OutputLengthModel, SeededRandom, SharedOutputOccupancy, WholeOutputOccupancy, type KvOccupancy } from '../../../index.js'

/** An engine whose outputs take as much memory as the prompts, and grow while they run. */
const ENGINE_TOKENS = 104_000
const PROMPT_TOKENS = 5_200
const MEAN_OUTPUT_TOKENS = 4_500
const STEP_MS = 10
const TOKENS_PER_MS = 1.1
const PREFILL_TOKENS_PER_MS = 28
const END_MS = 60_000
const ARRIVAL_MS = 250
const TARGET_WAIT_MS = 500

interface Job {
  readonly arrivedMs: number
  readonly outputTokens: number
  readonly hintTokens: number
}

interface Run {
  readonly job: Job
  readonly startedMs: number
  readonly occupied: number
  readonly reserved: number
  tokens: number
  done: number
}

interface Result {
  readonly withinTarget: number
  readonly rereadTokens: number
}

function normal (random: SeededRandom): number {
  return Math.sqrt(-2 * Math.log(1 - random.next())) * Math.cos(2 * Math.PI * random.next())
}

/** Requests at more than the engine can serve, whose hints are right at the median but far off. */
function jobs (): readonly Job[] {
  const random = new SeededRandom(5)
  return Array.from({ length: END_MS / ARRIVAL_MS }, (_, i) => {
    const outputTokens = Math.min(11_000, MEAN_OUTPUT_TOKENS * Math.exp(normal(random) * 0.5))
    return { arrivedMs: i * ARRIVAL_MS, outputTokens, hintTokens: outputTokens * Math.exp(normal(random) * 0.5) }
  })
}

function simulate (all: readonly Job[], occupancy: KvOccupancy, expected: OutputLengthModel | undefined): Result {
  let waiting: readonly Job[] = []
  let runs: readonly Run[] = []
  let withinTarget = 0
  let rereadTokens = 0
  const heldTokens = ({ tokens, reserved }: Run): number => Math.max(tokens, reserved)
  const sum = (tokensOf: (run: Run) => number): number => runs.reduce((total, run) => total + tokensOf(run), 0)
  Array.from({ length: END_MS / STEP_MS }, (_, i) => i * STEP_MS).forEach(nowMs => {
    waiting = [...waiting, ...all.filter(({ arrivedMs }) => arrivedMs === nowMs)].filter(({ arrivedMs }) => nowMs - arrivedMs <= TARGET_WAIT_MS)
    const [next] = waiting
    if (next !== undefined) {
      const size = { promptTokens: PROMPT_TOKENS, outputTokens: expected?.expectedTokens(next.hintTokens) ?? next.hintTokens }
      const run = { job: next, startedMs: nowMs, occupied: occupancy.occupiedTokens(size), reserved: occupancy.reservedTokens(size, false), tokens: PROMPT_TOKENS, done: 0 }
      const fits = sum(({ occupied }) => occupied) + run.occupied <= ENGINE_TOKENS && sum(heldTokens) + run.reserved <= ENGINE_TOKENS
      if (fits) {
        runs = [...runs, run]
        waiting = waiting.slice(1)
        withinTarget += 1
      }
    }
    runs.forEach(run => {
      run.tokens += TOKENS_PER_MS * STEP_MS
      run.done += TOKENS_PER_MS * STEP_MS
    })
    runs.filter(({ job, done }) => done >= job.outputTokens).forEach(({ job }) => expected?.add(job.hintTokens, job.outputTokens * 7))
    runs = runs.filter(({ job, done }) => done < job.outputTokens)
    if (sum(heldTokens) <= ENGINE_TOKENS) return
    // The newest run that has outgrown its reservation is read again; the others stand still meanwhile.
    const victim = [...runs].reverse().find(({ tokens, reserved }) => tokens > reserved)
    if (victim === undefined) return
    rereadTokens += victim.tokens
    runs.forEach(run => { run.done -= victim.tokens / PREFILL_TOKENS_PER_MS * TOKENS_PER_MS })
  })
  return { withinTarget, rereadTokens }
}

test('outputs as large as prompts, with wrong hints: more requests are served in time, and fewer tokens are read again', () => {
  const baseline = simulate(jobs(), new WholeOutputOccupancy(), undefined)
  const shared = simulate(jobs(), new SharedOutputOccupancy(), new OutputLengthModel())
  expect(shared.withinTarget).toBeGreaterThan(baseline.withinTarget * 1.1)
  expect(shared.rereadTokens).toBeLessThan(baseline.rereadTokens)
})

test('short outputs: a request counts little more than its prompt', () => {
  const occupancy = new SharedOutputOccupancy()
  const size = { promptTokens: 5_000, outputTokens: 400 }
  expect(occupancy.occupiedTokens(size)).toBe(5_360)
  expect(occupancy.reservedTokens(size, false)).toBe(5_100)
})

test('outputs as large as prompts, load known late: an engine grants no more than hosts count', () => {
  const occupancy = new SharedOutputOccupancy()
  const size = { promptTokens: 5_000, outputTokens: 4_500 }
  expect(occupancy.reservedTokens(size, true)).toBe(occupancy.occupiedTokens(size))
})

test('the model draws estimates from noisy hints towards the mean', () => {
  const model = new OutputLengthModel()
  const random = new SeededRandom(3)
  Array.from({ length: 300 }).forEach(() => {
    const outputTokens = 2_000 * Math.exp(normal(random) * 0.5)
    model.add(outputTokens * Math.exp(normal(random) * 0.5), outputTokens * 10)
  })
  expect(model.expectedTokens(500)).toBeGreaterThan(750)
  expect(model.expectedTokens(8_000)).toBeLessThan(5_500)
  expect(model.expectedTokens(2_000)).toBeGreaterThan(1_800)
  expect(model.expectedTokens(2_000)).toBeLessThan(2_200)
})

test('the model returns exact hints unchanged, and hints themselves before it has samples', () => {
  const model = new OutputLengthModel()
  expect(model.expectedTokens(700)).toBe(700)
  expect(model.expectedTokens(0)).toBe(0)
  ;[100, 200, 400, 800, 1_600].forEach(tokens => model.add(tokens, tokens * 7))
  expect(model.expectedTokens(300)).toBeCloseTo(300, 3)
  model.add(0, 50)
  model.add(50, 0)
  expect(model.expectedTokens(300)).toBeCloseTo(300, 3)
})
