import { expect, test } from 'vitest'
import { EngineStage, StageBalance, StageChanges, type BalancedEngine, type PoolUse, type StageChange } from '../../../index.js'

const KV_TOKENS = 64_000
const TOKEN_MS = 1 / 45

const HELD_MS = 3_500

function pool (prefill: number, decode: number, promptRate: number, heldMs = HELD_MS): PoolUse {
  const engine = (id: string, stage: EngineStage): BalancedEngine => ({ id, stage, tokenMs: TOKEN_MS })
  const engines = [
    ...Array.from({ length: prefill }, (_, i) => engine(`p${i}`, EngineStage.Prefill)),
    ...Array.from({ length: decode }, (_, i) => engine(`d${i}`, EngineStage.Decode))
  ]
  return { engines, kvTokens: KV_TOKENS, promptRate, kvRate: promptRate, heldMs }
}

function plan (balance: StageBalance, use: PoolUse, fromMs: number, toMs: number): readonly StageChange[] {
  return Array.from({ length: (toMs - fromMs) / 500 }, (_, i) => fromMs + i * 500)
    .map(nowMs => {
      balance.observe(use, nowMs)
      return balance.due(use, nowMs)
    })
    .find(changes => changes.length > 0) ?? []
}

function play (balance: StageBalance, use: PoolUse, fromMs: number, toMs: number): StageChange | undefined {
  return plan(balance, use, fromMs, toMs)[0]
}

test('long answers: moves an engine to decode when KV cache is short and prefill has room', () => {
  expect(play(new StageBalance(), pool(3, 3, 32), 0, 8_000)?.to).toBe(EngineStage.Decode)
})

test('long prompts: moves an engine to prefill when prompts are read too slowly, but not on the word of the first short answers', () => {
  const balance = new StageBalance()
  expect(play(balance, pool(2, 6, 80, 1_000), 0, 10_000)).toBeUndefined()
  expect(play(balance, pool(2, 6, 80, 1_000), 10_000, 20_000)?.to).toBe(EngineStage.Prefill)
})

test('long answers in a large pool: moves as many engines at once as lower the larger use', () => {
  const changes = plan(new StageBalance(), pool(22, 41, 480, 6_000), 0, 8_000)
  expect(changes.length).toBe(5)
  expect(new Set(changes.map(({ engineId }) => engineId)).size).toBe(5)
  expect(changes.every(({ to }) => to === EngineStage.Decode)).toBe(true)
})

test('moves the engines that read prompts slowest', () => {
  const use = pool(8, 8, 80)
  const uneven = use.engines.map(engine => engine.id === 'p3' ? { ...engine, tokenMs: TOKEN_MS * 2 } : engine)
  expect(play(new StageBalance(), { ...use, engines: uneven }, 0, 8_000)?.engineId).toBe('p3')
})

test('waits until it has seen some traffic', () => {
  expect(play(new StageBalance(), pool(3, 3, 32), 0, 3_000)).toBeUndefined()
})

test('leaves a pool alone that fits what is asked for, however much it is', () => {
  expect(play(new StageBalance(), pool(2, 4, 32), 0, 60_000)).toBeUndefined()
  expect(play(new StageBalance(), pool(2, 4, 90), 0, 60_000)).toBeUndefined()
})

test('keeps enough engines of a stage that the loss of one does not stop the pool', () => {
  expect(play(new StageBalance(), pool(2, 4, 15, 20_000), 0, 60_000)).toBeUndefined()
  expect(play(new StageBalance(), pool(1, 2, 30), 0, 60_000)).toBeUndefined()
})

test('does not move another engine until the first change has had its effect', () => {
  const balance = new StageBalance()
  const use = pool(5, 2, 30)
  expect(play(balance, use, 0, 10_000)).toBeDefined()
  expect(play(balance, use, 10_000, 20_000)).toBeUndefined()
  expect(play(balance, use, 20_000, 40_000)).toBeDefined()
})

test('leaves an idle pool alone', () => {
  expect(play(new StageBalance(), pool(3, 3, 0), 0, 60_000)).toBeUndefined()
})

test('an engine that changes its stage is known to every host that hears the one that ordered it', () => {
  const changes = new StageChanges()
  changes.begin('e1', 1_000)
  changes.adopt('h2', ['e2'])
  expect(['e1', 'e2', 'e3'].filter(id => changes.has(id, 500))).toEqual(['e1', 'e2'])
  expect(changes.own(500)).toEqual(['e1'])
  expect(changes.has('e1', 1_000)).toBe(false)
  changes.begin('e1', 2_000)
  changes.end('e1')
  changes.adopt('h2', [])
  expect(['e1', 'e2'].filter(id => changes.has(id, 500))).toEqual([])
})
