import {
  AdapterKind, CapacityRequest, EndpointRole, EndpointState, EngineClient, ErrorKind, FleetConfig, ReservationResponse, GrantHandler,
  GrantMarks, GrantQuestion, RESERVATION_TTL_MS, HOLD_OFF_MS, HostEntry, HostState, ManualClock, PoolRole, RunningRequest, SeededRandom,
  SlotOwnership
} from '@jaymill/core'
import { parseHostSettings } from '@jaymill/settings'
import { afterEach, beforeEach, describe, expect, test } from 'vitest'
import { createLogger } from 'winston'
import { PeerNetwork } from '../../peers/JaymillPeerNetwork.js'
import { Routing } from '../../routing/JaymillRouting.js'

const SLOTS = 20
const RETRIES_SEEN = 10
const NEVER_MS = 60_000
const SILENCE_MS = 500
const ENDPOINT = { id: 'decode-1', url: 'http://127.0.0.1:1', zone: 'a', state: EndpointState.Active, slots: SLOTS, kvPieces: 2_000, checksFencing: false }
const POOL = { id: 'decode', role: PoolRole.Decode, adapter: AdapterKind.Engine, linkBytesPerSecond: 0, endpoints: [ENDPOINT] }
const FLEET: FleetConfig = { revision: 1, pools: [POOL], models: [], services: [], routes: [], accounts: [] }

/** Engine whose running requests the test sets. */
class FakeEngine {
  running: RunningRequest[] = []
  readonly cancelled: string[] = []
  async load () { return { running: this.running, heldPieces: 0, ageMs: 0 } }
  async cancel (_url: string, requestId: string): Promise<void> {
    this.cancelled.push(requestId)
    this.running = this.running.filter(req => req.requestId !== requestId)
  }
}

/** Holds questions back until the gate opens, as a host that is paused would. */
class GatedHandler extends GrantHandler {
  gate: Promise<void> = Promise.resolve()
  answered: Promise<unknown> = Promise.resolve()
  readonly released: GrantMarks[] = []
  readonly asked: GrantQuestion[] = []
  onChange = (): void => {}
  constructor (private readonly _inner: GrantHandler) { super() }
  async grant (question: GrantQuestion): Promise<ReservationResponse> {
    this.asked.push(question)
    this.onChange()
    const answer = this.gate.then(() => this._inner.grant(question))
    this.answered = answer
    return await answer
  }

  async renew (marks: GrantMarks): Promise<void> { await this._inner.renew(marks) }
  async release (marks: GrantMarks): Promise<void> {
    await this._inner.release(marks)
    this.released.push(marks)
    this.onChange()
  }

  async lease (): Promise<never> { throw new Error('no accounts') }
}

interface TestHost { readonly entry: HostEntry, readonly routing: Routing, readonly handler: GatedHandler }

let abort: AbortController
let clock: ManualClock
let engine: FakeEngine
let hosts: TestHost[]
let listed: HostEntry[]
let revision: number

async function startHost (index: number, ownerWaitMs: number): Promise<void> {
  const id = `host-${index}`
  const zone = index % 2 === 0 ? 'a' : 'b'
  const listener = { address: '127.0.0.1', port: 0 }
  const settings = parseHostSettings(JSON.stringify({
    host: { id, zone, region: 'r' },
    listen: { caller: listener, peer: listener, admin: listener, metrics: listener },
    platform: { kind: 'http', url: 'http://127.0.0.1:1' },
    credentials: { peerToken: { value: 't' }, adminToken: { value: 't' } }
  }), id)
  const list = () => ({ revision, hosts: listed, leavingEndpoints: [] })
  const peers = new PeerNetwork(settings, 't', list, abort.signal)
  const engines = engine as unknown as EngineClient
  const identity = { id, zone, region: 'r', incarnation: 1 }
  const shared = { identity, clock, random: new SeededRandom(index + 1), log: createLogger({ silent: true }), engines, peers }
  const routing = new Routing({ ...shared, fleet: () => FLEET, hosts: list, maxQueued: 50, ownerWaitMs, weightOf: () => 1 })
  const handler = new GatedHandler(routing.handler)
  const refuse = () => { throw new Error('not used') }
  const unused = { heartbeat: { heartbeat: refuse }, lease: { confirmLease: refuse }, config: { highWater: refuse, document: refuse } }
  const peerUrl = await peers.listen({ ...unused, grants: handler }, (_req, res) => { res.end() })
  const entry = { id, zone, region: 'r', peerUrl, state: HostState.Live }
  listed.push(entry)
  hosts.push({ entry, routing, handler })
}

const request = (requestId: string): CapacityRequest => ({
  requestId,
  attempt: 1,
  role: EndpointRole.Decode,
  poolId: 'decode',
  pieces: 1,
  transferBytes: 0,
  startInMs: 0,
  expectedMs: 100,
  exclude: [],
  prefer: [],
  priority: 2,
  accountId: 'x',
  tokens: 10,
  latestStartInMs: 1_000
})
const running = (requestId: string, hostId: string): RunningRequest =>
  ({ requestId, attempt: 1, hostId, incarnation: 1, pieces: 1, ageMs: 100 })
const tickAll = async (): Promise<void> => { await Promise.all(hosts.map(({ routing }) => routing.tick(abort.signal))) }
const roles = (among = listed) => new SlotOwnership([ENDPOINT], { revision, hosts: among, leavingEndpoints: [] }).of(ENDPOINT.id)
const host = (id: string | undefined): TestHost => hosts.find(({ entry }) => entry.id === id) as TestHost
const bystander = (among = listed): TestHost =>
  host(among.find(({ id }) => id !== roles(among).owner?.id && id !== roles(among).backupOwner?.id)?.id)
const until = async (handler: GatedHandler, cond: () => boolean): Promise<void> => {
  if (!cond()) await new Promise<void>(resolve => { handler.onChange = () => { if (cond()) resolve() } })
}

/** Starts four hosts; only a test of silence gives up waiting for an owner. */
async function startHosts (ownerWaitMs = NEVER_MS): Promise<void> {
  await Promise.all([0, 1, 2, 3].map(index => startHost(index, ownerWaitMs)))
  await tickAll()
  clock.advance(HOLD_OFF_MS)
  await tickAll()
}

async function bookAll (from: TestHost, count: number, name = 'fill'): Promise<string[]> {
  const ids = Array.from({ length: count }, (_, index) => `${name}-${index}`)
  await Promise.all(ids.map(id => from.routing.booker.reserve(request(id), abort.signal)))
  return ids
}

const asked = (handler: GatedHandler, id: string): boolean => handler.asked.some(({ request: { requestId } }) => requestId === id)

/** Expects that a request which asks an owner waits in vain and is refused as not run. */
async function expectFull (from: TestHost, { handler }: TestHost, id: string): Promise<void> {
  const booking = from.routing.booker.reserve(request(id), abort.signal)
  const refused = expect(booking).rejects.toMatchObject({ kind: ErrorKind.Overloaded, ran: 'no' })
  await until(handler, () => asked(handler, id))
  clock.advance(1_001)
  await refused
}

beforeEach(() => {
  [abort, clock, engine, hosts, listed, revision] = [new AbortController(), new ManualClock(), new FakeEngine(), [], [], 1]
})
afterEach(() => abort.abort())

describe('bookings between hosts', () => {
  test('fall back to the deputy within its share while the owner is silent', async () => {
    await startHosts(SILENCE_MS)
    host(roles().owner?.id).handler.gate = new Promise(() => {})
    const booking = await bystander().routing.booker.reserve(request('a'), abort.signal)
    expect(booking.ownerId).toBe(roles().backupOwner?.id)
    await expectFull(bystander(), host(roles().backupOwner?.id), 'b')
  })

  test('release a grant that is made after its caller has cancelled', async () => {
    await startHosts()
    const { handler } = host(roles().owner?.id)
    let open = (): void => {}
    handler.gate = new Promise(resolve => { open = resolve })
    const caller = new AbortController()
    const booking = bystander().routing.booker.reserve(request('a'), caller.signal)
    await until(handler, () => handler.asked.length > 0)
    caller.abort()
    await expect(booking).rejects.toThrow()
    await until(handler, () => handler.released.length > 0)
    open()
    expect(await handler.answered).toMatchObject({ grant: null, free: { slots: SLOTS - 1 } })
  })

  test('are rebuilt by a new owner from what the endpoint runs, after a hold-off', async () => {
    await startHosts()
    const gone = roles().owner?.id
    const from = bystander(listed.filter(({ id }) => id !== gone))
    engine.running = (await bookAll(from, 15)).map(id => running(id, from.entry.id))
    listed = listed.filter(({ id }) => id !== gone)
    revision = 2
    hosts = hosts.filter(({ entry }) => entry.id !== gone)
    await tickAll()
    await expectFull(from, host(roles().owner?.id), 'early')
    clock.advance(HOLD_OFF_MS)
    await tickAll()
    await bookAll(from, SLOTS - 15 - 1, 'more')
    await expectFull(from, host(roles().owner?.id), 'last')
  })

  test('that a dead host no longer renews are cancelled on the endpoint before their slot is used again', async () => {
    await startHosts()
    const [from, owner] = [bystander(), host(roles().owner?.id)]
    engine.running = (await bookAll(from, SLOTS - 1)).map(id => running(id, from.entry.id))
    hosts = hosts.filter(({ entry }) => entry.id !== from.entry.id)
    clock.advance(RESERVATION_TTL_MS - 1)
    await tickAll()
    expect(engine.cancelled).toEqual([])
    clock.advance(1_001)
    await tickAll()
    expect(engine.cancelled).toHaveLength(SLOTS - 1)
    clock.advance(1_000)
    await tickAll()
    expect((await owner.routing.booker.reserve(request('next'), abort.signal)).ownerId).toBe(owner.entry.id)
  })

  test('are not made for a caller who has gone while waiting', async () => {
    await startHosts()
    const [from, owner] = [bystander(), host(roles().owner?.id)]
    await bookAll(from, SLOTS - 1)
    const caller = new AbortController()
    const waiting = from.routing.booker.reserve(request('gone'), caller.signal)
    await until(owner.handler, () => asked(owner.handler, 'gone'))
    caller.abort()
    await expect(waiting).rejects.toThrow()
    owner.handler.asked.splice(0)
    const next = from.routing.booker.reserve(request('next'), abort.signal)
    await until(owner.handler, () => owner.handler.asked.length > RETRIES_SEEN)
    expect(asked(owner.handler, 'gone')).toBe(false)
    clock.advance(1_001)
    await expect(next).rejects.toMatchObject({ kind: ErrorKind.Overloaded })
  })
})
