import { afterEach, beforeEach, describe, expect, test } from 'vitest'
import { DemoCaller } from '../../demo/JaymillDemoCaller.js'
import { DemoFleet } from '../../demo/JaymillDemoFleet.js'
import { until } from '../../demo/JaymillUntil.js'
import { PartitionableFleet } from './PartitionableFleet.js'

const IDS = ['host-1', 'host-2', 'host-3']
const SLOW_MS = 300
const START_TIMEOUT_MS = 30_000

let controller: AbortController
let fleet: PartitionableFleet

beforeEach(async () => {
  controller = new AbortController()
  fleet = new PartitionableFleet(controller.signal, SLOW_MS)
  await fleet.startServers()
  await fleet.start(IDS)
}, START_TIMEOUT_MS)
afterEach(() => controller.abort())

const bookThrough = async (key: string, ids = IDS) => await Promise.all(ids.map(async id => await fleet.caller(id).book('guide', key)))
const waitUntilRunning = async (key: string): Promise<void> => await until(
  'booking runs', () => fleet.service.received.some(({ idempotencyKey }) => idempotencyKey === key)
)

describe('a booking that is retried', () => {
  test('while it runs and after it ran, through every host, runs once and gets the same response', async () => {
    const key = fleet.mintKeyOwnedBy('host-2', IDS)
    const first = fleet.caller('host-1').book('guide', key)
    await waitUntilRunning(key)
    const responses = [await first, ...await bookThrough(key), ...await bookThrough(key)]
    expect(responses.map(({ status }) => status)).toEqual(responses.map(() => 201))
    expect(new Set(responses.map(({ body }) => body.booking)).size).toBe(1)
    expect(fleet.countRuns(key)).toBe(1)
  })

  test('after its response was lost, is reported as unknown by every host and never runs again', async () => {
    const key = fleet.mintKeyOwnedBy('host-2', IDS)
    fleet.service.dropNextResponses(1)
    const responses = [await fleet.caller('host-1').book('guide', key), ...await bookThrough(key)]
    expect(responses.map(({ body }) => body.ran)).toEqual(['unknown', 'unknown', 'unknown', 'unknown'])
    expect(fleet.countRuns(key)).toBe(1)
  })

  test('with another body is refused', async () => {
    const key = fleet.mintKeyOwnedBy('host-3', IDS)
    await fleet.caller('host-1').book('guide', key)
    const other = await fleet.caller('host-2').book('another guide', key)
    expect(other).toMatchObject({ status: 422, body: { type: 'urn:jaymill:error:key-conflict' } })
    expect(fleet.countRuns(key)).toBe(1)
  })

  test('after its endpoint refused the connection, is still reported as not run', async () => {
    const key = fleet.mintKeyOwnedBy('host-2', IDS)
    const { url } = fleet.service
    fleet.service.kill()
    const refused = await fleet.caller('host-1').book('guide', key)
    expect(refused.body).toMatchObject({ ran: 'no' })
    await fleet.service.start(controller.signal, Number(new URL(url).port))
    const later = await bookThrough(key)
    expect(later.map(({ body }) => body.ran)).toEqual(['no', 'no', 'no'])
    expect(fleet.countRuns(key)).toBe(0)
  })

  test('without a key, runs as a separate booking', async () => {
    const responses = await Promise.all(IDS.map(async id => await fleet.caller(id).book('guide')))
    expect(responses.map(({ status }) => status)).toEqual([201, 201, 201])
    expect(new Set(fleet.service.bookings.map(({ idempotencyKey }) => idempotencyKey)).size).toBe(3)
  })
})

describe('a key owner', () => {
  test('that crashes in mid-request leaves the outcome unknown; its successor never runs that key but runs new keys', async () => {
    const key = fleet.mintKeyOwnedBy('host-1', IDS)
    const first = fleet.caller('host-2').book('guide', key)
    await waitUntilRunning(key)
    fleet.hosts.get('host-1')?.daemon?.kill()
    expect((await first).body.ran).toBe('unknown')
    const remaining = ['host-2', 'host-3']
    await fleet.publish(2, remaining, remaining)
    await fleet.awaitKeyOwnership(remaining, 2)
    const retries = await bookThrough(key, remaining)
    expect(retries.map(({ body }) => body.ran)).toEqual(['unknown', 'unknown'])
    expect(fleet.countRuns(key)).toBeLessThanOrEqual(1)
    const newKey = fleet.mintKeyOwnedBy('host-2', remaining)
    expect((await fleet.caller('host-3').book('guide', newKey)).status).toBe(201)
  })

  test('that leaves in a planned stop still responds to retries of requests that it ran', async () => {
    const key = fleet.mintKeyOwnedBy('host-1', IDS)
    await fleet.caller('host-2').book('guide', key)
    await fleet.publish(2, IDS, IDS, undefined, ['host-1'])
    await fleet.awaitKeyOwnership(IDS, 2)
    const retries = await bookThrough(key)
    expect(retries.map(({ status }) => status)).toEqual([201, 201, 201])
    expect(fleet.countRuns(key)).toBe(1)
  })
})

describe('a host that has failed but is still in the current host list', () => {
  test('does not stop bookings without a key', async () => {
    const direct = new DemoFleet({ prefill: 1, decode: 1, services: 1 })
    await direct.start(controller.signal)
    direct.hosts[0]?.daemon.kill()
    const caller = new DemoCaller(direct.hosts[1]?.urls.caller ?? '')
    const responses = await Promise.all(Array.from({ length: 9 }, async (_, i) => await caller.book(`guide ${i}`)))
    expect(responses.map(({ status }) => status)).toEqual(responses.map(() => 201))
    expect(direct.services[0]?.bookings.length).toBe(responses.length)
  })
})

describe('two host lists during a network partition', () => {
  test('never let both sides run a key', async () => {
    const key = fleet.mintKeyOwnedBy('host-1', IDS)
    fleet.setPartitioned(['host-1'], true)
    const remaining = ['host-2', 'host-3']
    await fleet.publish(2, remaining, remaining)
    await fleet.awaitKeyOwnership(remaining, 2)
    const newKey = fleet.mintKeyOwnedBy('host-1', IDS)
    const responses = [...await bookThrough(key), ...await bookThrough(newKey)]
    expect(responses.filter(({ body }) => body.ran === 'no')).toEqual([])
    expect(fleet.countRuns(key)).toBe(0)
    expect(fleet.countRuns(newKey)).toBe(1)
    fleet.setPartitioned(['host-1'], false)
    await until('host-1 has received the list', async () => (await fleet.caller('host-1').book('guide', newKey)).status === 201, START_TIMEOUT_MS)
    expect(fleet.countRuns(newKey)).toBe(1)
  })
})
