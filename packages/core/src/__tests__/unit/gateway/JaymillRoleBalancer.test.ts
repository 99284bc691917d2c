import { expect, test } from 'vitest'
import { EngineRole, PendingRoleChanges, RoleBalancer, type BalancedEngine, type PoolUsage, type RoleChange } from '../../../index.js'

const KV_TOKENS = 64_000
const TOKEN_MS = 1 / 45

const HOLDING_TIME_MS = 3_500

function pool (prefill: number, decode: number, promptRate: number, holdingTimeMs = HOLDING_TIME_MS): PoolUsage {
  const engine = (id: string, role: EngineRole): BalancedEngine => ({ id, role, tokenMs: TOKEN_MS })
  const engines = [
    ...Array.from({ length: prefill }, (_, i) => engine(`p${i}`, EngineRole.Prefill)),
    ...Array.from({ length: decode }, (_, i) => engine(`d${i}`, EngineRole.Decode))
  ]
  return { engines, kvTokens: KV_TOKENS, promptRate, kvRate: promptRate, holdingTimeMs }
}

function firstChanges (balancer: RoleBalancer, usage: PoolUsage, fromMs: number, toMs: number): readonly RoleChange[] {
  return Array.from({ length: (toMs - fromMs) / 500 }, (_, i) => fromMs + i * 500)
    .map(nowMs => {
      balancer.observe(usage, nowMs)
      return balancer.nextChanges(usage, nowMs)
    })
    .find(changes => changes.length > 0) ?? []
}

function firstChange (balancer: RoleBalancer, usage: PoolUsage, fromMs: number, toMs: number): RoleChange | undefined {
  return firstChanges(balancer, usage, fromMs, toMs)[0]
}

test('long responses: moves an engine to decode when KV cache is short and prefill has free capacity', () => {
  expect(firstChange(new RoleBalancer(), pool(3, 3, 32), 0, 8_000)?.to).toBe(EngineRole.Decode)
})

test('long prompts: moves an engine to prefill when prefill is too slow, but not while only the first short responses have ended', () => {
  const balancer = new RoleBalancer()
  expect(firstChange(balancer, pool(2, 6, 80, 1_000), 0, 10_000)).toBeUndefined()
  expect(firstChange(balancer, pool(2, 6, 80, 1_000), 10_000, 20_000)?.to).toBe(EngineRole.Prefill)
})

test('long responses in a large pool: moves several engines at once, as long as each move lowers the higher utilization', () => {
  const changes = firstChanges(new RoleBalancer(), pool(22, 41, 480, 6_000), 0, 8_000)
  expect(changes.length).toBe(5)
  expect(new Set(changes.map(({ engineId }) => engineId)).size).toBe(5)
  expect(changes.every(({ to }) => to === EngineRole.Decode)).toBe(true)
})

test('moves the engines with the slowest prefill', () => {
  const usage = pool(8, 8, 80)
  const uneven = usage.engines.map(engine => engine.id === 'p3' ? { ...engine, tokenMs: TOKEN_MS * 2 } : engine)
  expect(firstChange(new RoleBalancer(), { ...usage, engines: uneven }, 0, 8_000)?.engineId).toBe('p3')
})

test('at low load, moves an engine only from a role that is nearly idle without it', () => {
  expect(firstChange(new RoleBalancer(), pool(3, 3, 20), 0, 8_000)).toMatchObject({ to: EngineRole.Decode })
  expect(firstChange(new RoleBalancer(), pool(3, 3, 20, 1_500), 0, 60_000)).toBeUndefined()
  expect(firstChange(new RoleBalancer(), pool(3, 3, 30, 2_500), 0, 60_000)).toBeUndefined()
})

test('waits until there has been traffic for some time', () => {
  expect(firstChange(new RoleBalancer(), pool(3, 3, 32), 0, 3_000)).toBeUndefined()
})

test('changes nothing while the ratio of roles fits the demand, at low and at high load', () => {
  expect(firstChange(new RoleBalancer(), pool(2, 4, 32), 0, 60_000)).toBeUndefined()
  expect(firstChange(new RoleBalancer(), pool(2, 4, 90), 0, 60_000)).toBeUndefined()
})

test('keeps enough engines in each role that the loss of one does not stop the pool', () => {
  expect(firstChange(new RoleBalancer(), pool(2, 4, 15, 20_000), 0, 60_000)).toBeUndefined()
  expect(firstChange(new RoleBalancer(), pool(1, 2, 30), 0, 60_000)).toBeUndefined()
})

test('does not move another engine before the cooldown ends', () => {
  const balancer = new RoleBalancer()
  const usage = pool(5, 2, 30)
  expect(firstChange(balancer, usage, 0, 10_000)).toBeDefined()
  expect(firstChange(balancer, usage, 10_000, 20_000)).toBeUndefined()
  expect(firstChange(balancer, usage, 20_000, 40_000)).toBeDefined()
})

test('changes nothing in an idle pool', () => {
  expect(firstChange(new RoleBalancer(), pool(3, 3, 0), 0, 60_000)).toBeUndefined()
})

test('a pending role change is visible on the host that ordered it and on every host that it is reported to', () => {
  const changes = new PendingRoleChanges()
  changes.begin('e1', 1_000)
  changes.update('h2', ['e2'])
  expect(['e1', 'e2', 'e3'].filter(id => changes.has(id, 500))).toEqual(['e1', 'e2'])
  expect(changes.own(500)).toEqual(['e1'])
  expect(changes.has('e1', 1_000)).toBe(false)
  changes.begin('e1', 2_000)
  changes.end('e1')
  changes.update('h2', [])
  expect(['e1', 'e2'].filter(id => changes.has(id, 500))).toEqual([])
})
