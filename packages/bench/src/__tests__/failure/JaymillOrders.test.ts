import { afterAll, beforeAll, expect, test } from 'vitest'
import { HttpOrderClient } from '@jaymill/adapters'
import { OrderKind, OrderResult, PoolRole } from '@jaymill/core'
import { DEMO_MODEL, demoFleet } from '../../demo/JaymillDemoDocuments.js'
import { DemoFleet } from '../../demo/JaymillDemoFleet.js'
import { until } from '../../demo/JaymillUntil.js'

const controller = new AbortController()
const fleet = new DemoFleet({ hosts: 2, prefill: 1, decode: 2, services: 1 })
const client = new HttpOrderClient()

beforeAll(async () => await fleet.start(controller.signal))
afterAll(() => controller.abort())

test('orders bring engines to the state of each revision, and an order of an older revision is refused', async () => {
  const decode = fleet.decode.map(({ url }) => url)
  const reports = async () => await Promise.all(decode.map(url => client.read(url, controller.signal)))
  const state = { model: DEMO_MODEL, adapters: [], role: PoolRole.Decode }
  await until('first orders', async () => (await reports()).every(({ model }) => model === DEMO_MODEL))
  expect(await reports()).toMatchObject(decode.map(() => ({ ...state, version: '1', fencingToken: 1 })))
  const urls = { prefill: fleet.prefill.map(({ url }) => url), decode, counter: fleet.services.map(({ url }) => url) }
  const next = demoFleet(2, urls)
  fleet.configServer.publish('jaymill/fleet', { ...next, models: next.models.map(model => ({ ...model, version: '2' })) })
  await until('new version', async () => (await reports()).every(({ version }) => version === '2'))
  const staleOrder = { ...state, version: '1', kind: OrderKind.LoadModel, fencingToken: 1 }
  expect(await client.send(decode[0] ?? '', staleOrder, controller.signal)).toBe(OrderResult.Stale)
  expect(await reports()).toMatchObject(decode.map(() => ({ ...state, version: '2', fencingToken: 2 })))
})
