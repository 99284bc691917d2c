import {
  AdapterKind, CapacityRequest, EndpointReservationRequest, EndpointRole, EndpointState, EngineClient, ErrorKind,
  FleetConfig, HOLD_OFF_MS, HostEntry, HostState, ManualClock, PoolRole, RESERVATION_TTL_MS, ReservationBatch,
  ReservationHandler, ReservationResponse, RunningRequest, SeededRandom, SlotOwnership
} from '@jaymill/core'
import { parseHostSettings } from '@jaymill/settings'
import { afterEach, beforeEach, describe, expect, test } from 'vitest'
import { createLogger } from 'winston'
import { PeerNetwork } from '../../peers/JaymillPeerNetwork.js'
import { Routing } from '../../routing/JaymillRouting.js'

const SLOTS = 20
const RETRIES_SEEN = 10
const LONG_OWNER_TIMEOUT_MS = 60_000
const SHORT_OWNER_TIMEOUT_MS = 500
const ENDPOINT = {
  id: 'decode-1',
  url: 'http://127.0.0.1:1',
  zone: 'a',
  state: EndpointState.Active,
  slots: SLOTS,
  kvPieces: 2_000,
  checksFencing: false
}
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

/** Delays reservation requests until the gate opens, as a paused host does. */
class GatedHandler extends ReservationHandler {
  gate: Promise<void> = Promise.resolve()
  lastResponse: Promise<unknown> = Promise.resolve()
  readonly released: ReservationBatch[] = []
  readonly received: EndpointReservationRequest[] = []
  onChange = (): void => {}
  constructor (private readonly _inner: ReservationHandler) { super() }
  async grant (endpointRequest: EndpointReservationRequest): Promise<ReservationResponse> {
    this.received.push(endpointRequest)
    this.onChange()
    const response = this.gate.then(() => this._inner.grant(endpointRequest))
    this.lastResponse = response
    return await response
  }

  async renew (batch: ReservationBatch): Promise<void> { await this._inner.renew(batch) }
  async release (batch: ReservationBatch): Promise<void> {
    await this._inner.release(batch)
    this.released.push(batch)
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

async function startHost (index: number, ownerTimeoutMs: number): Promise<void> {
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
  const routing = new Routing({ ...shared, fleet: () => FLEET, hosts: list, maxQueued: 50, ownerTimeoutMs, weightOf: () => 1 })
  const handler = new GatedHandler(routing.handler)
  const refuse = () => { throw new Error('not used') }
  const unused = {
    heartbeat: { heartbeat: refuse },
    lease: { confirmLease: refuse },
    config: { highWater: refuse, document: refuse }
  }
  const peerUrl = await peers.listen({ ...unused, reservations: handler }, (_req, res) => { res.end() })
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
const owners = (among = listed) => new SlotOwnership([ENDPOINT], { revision, hosts: among, leavingEndpoints: [] }).of(ENDPOINT.id)
const host = (id: string | undefined): TestHost => hosts.find(({ entry }) => entry.id === id) as TestHost
const nonOwner = (among = listed): TestHost =>
  host(among.find(({ id }) => id !== owners(among).owner?.id && id !== owners(among).backupOwner?.id)?.id)
const until = async (handler: GatedHandler, cond: () => boolean): Promise<void> => {
  if (!cond()) await new Promise<void>(resolve => { handler.onChange = () => { if (cond()) resolve() } })
}

/** Starts four hosts. Only the test of an unreachable owner uses a short timeout. */
async function startHosts (ownerTimeoutMs = LONG_OWNER_TIMEOUT_MS): Promise<void> {
  await Promise.all([0, 1, 2, 3].map(index => startHost(index, ownerTimeoutMs)))
  await tickAll()
  clock.advance(HOLD_OFF_MS)
  await tickAll()
}

async function reserveAll (from: TestHost, count: number, name = 'fill'): Promise<string[]> {
  const ids = Array.from({ length: count }, (_, index) => `${name}-${index}`)
  await Promise.all(ids.map(id => from.routing.slotAllocator.reserve(request(id), abort.signal)))
  return ids
}

const wasRequested = (handler: GatedHandler, id: string): boolean =>
  handler.received.some(({ request: { requestId } }) => requestId === id)

/** Expects that a request waits for capacity at an owner until its time limit, and is refused as not run. */
async function expectFull (from: TestHost, { handler }: TestHost, id: string): Promise<void> {
  const reservation = from.routing.slotAllocator.reserve(request(id), abort.signal)
  const refused = expect(reservation).rejects.toMatchObject({ kind: ErrorKind.Overloaded, ran: 'no' })
  await until(handler, () => wasRequested(handler, id))
  clock.advance(1_001)
  await refused
}

beforeEach(() => {
  [abort, clock, engine, hosts, listed, revision] = [new AbortController(), new ManualClock(), new FakeEngine(), [], [], 1]
})
afterEach(() => abort.abort())

describe('reservations between hosts', () => {
  test('fall back to the backup owner within its share while the owner is unreachable', async () => {
    await startHosts(SHORT_OWNER_TIMEOUT_MS)
    host(owners().owner?.id).handler.gate = new Promise(() => {})
    const reservation = await nonOwner().routing.slotAllocator.reserve(request('a'), abort.signal)
    expect(reservation.ownerId).toBe(owners().backupOwner?.id)
    await expectFull(nonOwner(), host(owners().backupOwner?.id), 'b')
  })

  test('are released when they are granted after the caller has cancelled', async () => {
    await startHosts()
    const { handler } = host(owners().owner?.id)
    let open = (): void => {}
    handler.gate = new Promise(resolve => { open = resolve })
    const caller = new AbortController()
    const reservation = nonOwner().routing.slotAllocator.reserve(request('a'), caller.signal)
    await until(handler, () => handler.received.length > 0)
    caller.abort()
    await expect(reservation).rejects.toThrow()
    await until(handler, () => handler.released.length > 0)
    open()
    expect(await handler.lastResponse).toMatchObject({ grant: null, free: { slots: SLOTS - 1 } })
  })

  test('are rebuilt by a new owner from the running requests of the endpoint, after a hold-off', async () => {
    await startHosts()
    const goneOwnerId = owners().owner?.id
    const from = nonOwner(listed.filter(({ id }) => id !== goneOwnerId))
    engine.running = (await reserveAll(from, 15)).map(id => running(id, from.entry.id))
    listed = listed.filter(({ id }) => id !== goneOwnerId)
    revision = 2
    hosts = hosts.filter(({ entry }) => entry.id !== goneOwnerId)
    await tickAll()
    await expectFull(from, host(owners().owner?.id), 'early')
    clock.advance(HOLD_OFF_MS)
    await tickAll()
    await reserveAll(from, SLOTS - 15 - 1, 'more')
    await expectFull(from, host(owners().owner?.id), 'last')
  })

  test('of a failed host expire, and its requests are cancelled on the endpoint before their slots are reused', async () => {
    await startHosts()
    const [from, owner] = [nonOwner(), host(owners().owner?.id)]
    engine.running = (await reserveAll(from, SLOTS - 1)).map(id => running(id, from.entry.id))
    hosts = hosts.filter(({ entry }) => entry.id !== from.entry.id)
    clock.advance(RESERVATION_TTL_MS - 1)
    await tickAll()
    expect(engine.cancelled).toEqual([])
    clock.advance(1_001)
    await tickAll()
    expect(engine.cancelled).toHaveLength(SLOTS - 1)
    clock.advance(1_000)
    await tickAll()
    expect((await owner.routing.slotAllocator.reserve(request('next'), abort.signal)).ownerId).toBe(owner.entry.id)
  })

  test('are not requested for a caller that disconnected while waiting', async () => {
    await startHosts()
    const [from, owner] = [nonOwner(), host(owners().owner?.id)]
    await reserveAll(from, SLOTS - 1)
    const caller = new AbortController()
    const waiting = from.routing.slotAllocator.reserve(request('gone'), caller.signal)
    await until(owner.handler, () => wasRequested(owner.handler, 'gone'))
    caller.abort()
    await expect(waiting).rejects.toThrow()
    owner.handler.received.splice(0)
    const next = from.routing.slotAllocator.reserve(request('next'), abort.signal)
    await until(owner.handler, () => owner.handler.received.length > RETRIES_SEEN)
    expect(wasRequested(owner.handler, 'gone')).toBe(false)
    clock.advance(1_001)
    await expect(next).rejects.toMatchObject({ kind: ErrorKind.Overloaded })
  })
})
