import { afterEach, beforeEach, expect, test } from 'vitest'
import { DemoCaller } from '../../demo/JaymillDemoCaller.js'
import { DemoFleet } from '../../demo/JaymillDemoFleet.js'

const WARM_UP = 60
const LOOKUPS = 8

let controller: AbortController
let fleet: DemoFleet
let caller: DemoCaller

beforeEach(async () => {
  controller = new AbortController()
  fleet = new DemoFleet({ hosts: 1, prefill: 1, decode: 1, services: 2 })
  await fleet.start(controller.signal)
  caller = new DemoCaller(fleet.hosts[0]?.urls.caller ?? '')
})
afterEach(() => controller.abort())

const lookups = async (count: number): Promise<number[]> =>
  await Promise.all(Array.from({ length: count }, async (_, i) => (await caller.stock(`crampon-${i}`)).status))

test('a lookup at an endpoint that does not respond is hedged after its own p95 latency and succeeds', async () => {
  await lookups(WARM_UP)
  fleet.services[0]?.freeze()
  expect(await lookups(LOOKUPS)).toEqual(Array.from({ length: LOOKUPS }, () => 200))
})

test('a lookup at a failed endpoint is retried on another one, and a booking that was refused is not run', async () => {
  fleet.services[0]?.kill()
  expect(await lookups(LOOKUPS)).toEqual(Array.from({ length: LOOKUPS }, () => 200))
  const bookings = await Promise.all(['a', 'b', 'c', 'd'].map(async customer => await caller.book(customer)))
  const booked = bookings.filter(({ status }) => status === 201).length
  expect(bookings.filter(({ status, body }) => status !== 201 && body.ran !== 'no')).toEqual([])
  expect(fleet.services[1]?.bookings.length).toBe(booked)
})
