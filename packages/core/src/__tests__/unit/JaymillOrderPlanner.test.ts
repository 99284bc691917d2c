import { describe, expect, test } from 'vitest'
import {
  AdapterKind, desiredEndpoints, EndpointState, EngineReport, FleetConfig, nextOrder, ORDER_HOLD_OFF_MS, OrderKind, OrderPlanner,
  PoolRole, READ_BACK_MS
} from '../../index.js'

const cfgOf = (revision: number, version = '1', checksFencing = true, models = ['m']): FleetConfig => ({
  revision,
  pools: [{
    id: 'decode',
    role: PoolRole.Decode,
    adapter: AdapterKind.Engine,
    linkBytesPerSecond: 0,
    endpoints: ['e1', 'e2'].map(id => ({ id, url: `http://${id}`, zone: 'z', state: EndpointState.Active, slots: 1, kvPieces: 1, checksFencing }))
  }],
  models: models.map(id => ({ id, prefillPool: 'decode', decodePool: 'decode', version, adapters: ['b', 'a'], tokensPerPiece: 1, kvBytesPerToken: 1, route: 'r' })),
  services: [],
  routes: [],
  accounts: []
})
const report = (part: Partial<EngineReport> = {}): EngineReport => ({ fencingToken: 1, model: 'm', version: '1', adapters: ['a', 'b'], role: PoolRole.Decode, ...part })
const [desired] = desiredEndpoints(cfgOf(2))
const orderFor = (part: Partial<EngineReport>) => nextOrder(desired!.state, report(part), 2, true)

describe('nextOrder', () => {
  test.each([
    ['another model', { model: 'other' }, OrderKind.LoadModel],
    ['another version', { version: '0' }, OrderKind.LoadModel],
    ['a missing adapter', { adapters: ['a'] }, OrderKind.LoadAdapters],
    ['another role', { role: PoolRole.Prefill }, OrderKind.ChangeRole],
    ['a lower fencing token', {}, OrderKind.RaiseFence]
  ])('%s', (_name, part, kind) => {
    expect(orderFor(part)).toMatchObject({ kind, fencingToken: 2, model: 'm', adapters: ['a', 'b'] })
  })

  test('no order if the engine is in the desired state or has seen a higher revision', () => {
    expect(orderFor({ fencingToken: 2 })).toBeUndefined()
    expect(orderFor({ fencingToken: 3, version: '9' })).toBeUndefined()
  })
})

describe('OrderPlanner', () => {
  test('reads and orders only owned engines, only while it holds its lease, and reads the state after an order', () => {
    const planner = new OrderPlanner()
    planner.adopt(cfgOf(2), id => id === 'e1', 0)
    expect(planner.due(false, 0)).toEqual([])
    expect(planner.due(true, 0).map(({ endpointId }) => endpointId)).toEqual(['e1'])
    expect(planner.planOrder('e1', report({ version: '0' }), false, 0)).toBeUndefined()
    expect(planner.planOrder('e2', report({ version: '0' }), true, 0)).toBeUndefined()
    expect(planner.planOrder('e1', report({ version: '0' }), true, 0)?.kind).toBe(OrderKind.LoadModel)
    expect(planner.due(true, 2_000)).toHaveLength(1)
    expect(planner.planOrder('e1', report({ fencingToken: 2 }), true, 2_000)).toBeUndefined()
    expect(planner.due(true, READ_BACK_MS)).toEqual([])
    expect(planner.due(true, 2_000 + READ_BACK_MS)).toHaveLength(1)
  })

  test('a new owner waits before it orders engines that ignore fencing tokens', () => {
    const planner = new OrderPlanner()
    planner.adopt(cfgOf(2, '1', false), () => true, 0)
    expect(planner.due(true, ORDER_HOLD_OFF_MS - 1)).toEqual([])
    expect(planner.due(true, ORDER_HOLD_OFF_MS)).toHaveLength(2)
    expect(planner.planOrder('e1', report(), true, ORDER_HOLD_OFF_MS)).toBeUndefined()
  })

  test('weight loads of all owners together stay within the rate limit', () => {
    const planners = ['e1', 'e2'].map(own => { const planner = new OrderPlanner(); planner.adopt(cfgOf(2), id => id === own, 0); return { own, planner } })
    const loads = Array.from({ length: 100 }, (_, i) => i * 100).flatMap(nowMs => planners
      .filter(({ own, planner }) => planner.planOrder(own, report({ version: '0' }), true, nowMs)?.kind === OrderKind.LoadModel))
    expect(loads).toHaveLength(20)
  })

  test('engines of pools that serve several models get no orders', () => {
    expect(desiredEndpoints(cfgOf(2, '1', true, ['m', 'n']))).toEqual([])
  })
})
