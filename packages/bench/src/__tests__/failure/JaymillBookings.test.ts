import { afterEach, beforeEach, describe, expect, test } from 'vitest'
import { DemoCaller } from '../../demo/JaymillDemoCaller.js'
import { DemoFleet } from '../../demo/JaymillDemoFleet.js'
import { until } from '../../demo/JaymillUntil.js'
import { SplitFleet } from './SplitFleet.js'

const IDS = ['host-1', 'host-2', 'host-3']
const SLOW_MS = 300
const START_MS = 30_000

let owner: AbortController
let fleet: SplitFleet

beforeEach(async () => {
  owner = new AbortController()
  fleet = new SplitFleet(owner.signal, SLOW_MS)
  await fleet.open()
  await fleet.start(IDS)
}, START_MS)
afterEach(() => owner.abort())

const everywhere = async (key: string, ids = IDS) => await Promise.all(ids.map(async id => await fleet.caller(id).book('guide', key)))
const arrived = async (key: string): Promise<void> => await until('booking runs', () => fleet.service.received.some(({ idempotencyKey }) => idempotencyKey === key))

describe('a booking that is resent', () => {
  test('while it runs and after it ran, through every host, runs once and is answered alike', async () => {
    const key = fleet.keyOf('host-2', IDS)
    const first = fleet.caller('host-1').book('guide', key)
    await arrived(key)
    const answers = [await first, ...await everywhere(key), ...await everywhere(key)]
    expect(answers.map(({ status }) => status)).toEqual(answers.map(() => 201))
    expect(new Set(answers.map(({ body }) => body.booking)).size).toBe(1)
    expect(fleet.runs(key)).toBe(1)
  })

  test('after its answer was lost, is unknown everywhere and never runs again', async () => {
    const key = fleet.keyOf('host-2', IDS)
    fleet.service.breakAfterRun(1)
    const answers = [await fleet.caller('host-1').book('guide', key), ...await everywhere(key)]
    expect(answers.map(({ body }) => body.ran)).toEqual(['unknown', 'unknown', 'unknown', 'unknown'])
    expect(fleet.runs(key)).toBe(1)
  })

  test('with another body is refused', async () => {
    const key = fleet.keyOf('host-3', IDS)
    await fleet.caller('host-1').book('guide', key)
    const other = await fleet.caller('host-2').book('another guide', key)
    expect(other).toMatchObject({ status: 422, body: { type: 'urn:jaymill:error:key-conflict' } })
    expect(fleet.runs(key)).toBe(1)
  })

  test('after its endpoint refused the connection, stays "not run"', async () => {
    const key = fleet.keyOf('host-2', IDS)
    const { url } = fleet.service
    fleet.service.kill()
    const refused = await fleet.caller('host-1').book('guide', key)
    expect(refused.body).toMatchObject({ ran: 'no' })
    await fleet.service.start(owner.signal, Number(new URL(url).port))
    const later = await everywhere(key)
    expect(later.map(({ body }) => body.ran)).toEqual(['no', 'no', 'no'])
    expect(fleet.runs(key)).toBe(0)
  })

  test('without a key, is another booking', async () => {
    const answers = await Promise.all(IDS.map(async id => await fleet.caller(id).book('guide')))
    expect(answers.map(({ status }) => status)).toEqual([201, 201, 201])
    expect(new Set(fleet.service.bookings.map(({ idempotencyKey }) => idempotencyKey)).size).toBe(3)
  })
})

describe('an owner that is lost', () => {
  test('in mid-request leaves the outcome unknown; its successor never runs the key, but runs new ones', async () => {
    const key = fleet.keyOf('host-1', IDS)
    const first = fleet.caller('host-2').book('guide', key)
    await arrived(key)
    fleet.hosts.get('host-1')?.daemon?.kill()
    expect((await first).body.ran).toBe('unknown')
    const rest = ['host-2', 'host-3']
    await fleet.publish(2, rest, rest)
    await fleet.ownKeys(rest, 2)
    const resent = await everywhere(key, rest)
    expect(resent.map(({ body }) => body.ran)).toEqual(['unknown', 'unknown'])
    expect(fleet.runs(key)).toBeLessThanOrEqual(1)
    const fresh = fleet.keyOf('host-2', rest)
    expect((await fleet.caller('host-3').book('guide', fresh)).status).toBe(201)
  })

  test('in a planned stop still answers resends of what it ran', async () => {
    const key = fleet.keyOf('host-1', IDS)
    await fleet.caller('host-2').book('guide', key)
    await fleet.publish(2, IDS, IDS, undefined, ['host-1'])
    await fleet.ownKeys(IDS, 2)
    const resent = await everywhere(key)
    expect(resent.map(({ status }) => status)).toEqual([201, 201, 201])
    expect(fleet.runs(key)).toBe(1)
  })
})

describe('a host that died under a list that is still in force', () => {
  test('does not stop bookings without a key', async () => {
    const direct = new DemoFleet({ prefill: 1, decode: 1, services: 1 })
    await direct.start(owner.signal)
    direct.hosts[0]?.daemon.kill()
    const caller = new DemoCaller(direct.hosts[1]?.urls.caller ?? '')
    const answers = await Promise.all(Array.from({ length: 9 }, async (_, i) => await caller.book(`guide ${i}`)))
    expect(answers.map(({ status }) => status)).toEqual(answers.map(() => 201))
    expect(direct.services[0]?.bookings.length).toBe(answers.length)
  })
})

describe('two lists in a partition', () => {
  test('never let both sides run a key', async () => {
    const key = fleet.keyOf('host-1', IDS)
    fleet.cut(['host-1'], true)
    const rest = ['host-2', 'host-3']
    await fleet.publish(2, rest, rest)
    await fleet.ownKeys(rest, 2)
    const fresh = fleet.keyOf('host-1', IDS)
    const answers = [...await everywhere(key), ...await everywhere(fresh)]
    expect(answers.filter(({ body }) => body.ran === 'no')).toEqual([])
    expect(fleet.runs(key)).toBe(0)
    expect(fleet.runs(fresh)).toBe(1)
    fleet.cut(['host-1'], false)
    await until('host-1 sees the list', async () => (await fleet.caller('host-1').book('guide', fresh)).status === 201, START_MS)
    expect(fleet.runs(fresh)).toBe(1)
  })
})
