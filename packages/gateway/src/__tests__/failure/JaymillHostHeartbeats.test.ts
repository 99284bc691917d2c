import { Socket } from 'node:dgram'
import { setTimeout as sleep } from 'node:timers/promises'
import { Writable } from 'node:stream'
import { afterEach, expect, test, vi } from 'vitest'
import {
  AccountQuotas, Clock, CountedQuotaShare, CrashQuarantine, EndpointLoad, EndpointRateLimits, PendingRoleChanges, PromptDemand, ServiceLatencyModel, QuotaUnit, SeededRandom,
  type EndpointRecord, type GatewayConfig
} from '@jaymill/core'
import { FleetState, Origin } from '../../fleet/JaymillFleetState.js'
import { GatewayLog } from '../../logging/JaymillGatewayLog.js'
import { HostHeartbeats } from '../../peers/JaymillHostHeartbeats.js'

const PORT = 7_386
const ZONES = ['a', 'b', 'c', 'd']
const MAX_DATAGRAMS_PER_S = 10
/** Time after which a host of a large fleet knows the work of every other one: a report, two digests and their intervals. */
const KNOWN_WITHIN_MS = 5_000

const CONFIG: GatewayConfig = {
  version: 1, routes: [], services: [], limits: { maxHeaderBytes: 4_096, maxBodyBytes: 10_000, headerTimeoutMs: 1_000, idleTimeoutMs: 5_000 }
}

class TestClock extends Clock {
  nowMs (): number { return performance.now() }
  wallMs (): number { return Date.now() }
}

interface FleetHost {
  readonly address: string
  readonly zone: string
  readonly load: EndpointLoad
  readonly latencyModel: ServiceLatencyModel
  readonly state: FleetState
  readonly heartbeats: HostHeartbeats
  readonly quarantine: CrashQuarantine
  readonly quotas: AccountQuotas
  readonly abort: AbortController
}

let fleet: FleetHost[] = []

afterEach(() => {
  fleet.forEach(({ abort }) => abort.abort())
  fleet = []
  vi.restoreAllMocks()
})

const addressOf = (i: number): string => `127.${16 + ((process.pid >> 8) & 0x7f)}.${process.pid & 0xff}.${100 + i}`

async function startHost (i: number, connected: boolean): Promise<FleetHost> {
  const clock = new TestClock()
  const log = new GatewayLog('error', `host-${i}`, new Writable({ write: (_chunk, _encoding, done) => done() }))
  const work = { load: new EndpointLoad(), directPrefills: new EndpointLoad(), latencyModel: new ServiceLatencyModel(), demand: new PromptDemand(), roleChanges: new PendingRoleChanges() }
  const state = new FleetState(clock, log)
  state.applySnapshot({ config: CONFIG, endpoints: [], revision: 1 }, Origin.Source)
  const zone = ZONES[i % ZONES.length] ?? ''
  const abort = new AbortController()
  const quarantine = new CrashQuarantine()
  const quotas = new AccountQuotas(new CountedQuotaShare(0.25), 8_000)
  const heartbeats = new HostHeartbeats({
    address: addressOf(i), zone, listen: { address: addressOf(i), port: PORT }, seeds: [0, 1, 2].map(addressOf), state, work, quarantine, onEvidence: () => {}, limits: new EndpointRateLimits(), quotas, onLimits: () => {}, connected: () => connected, clock, log
  })
  state.onUpdate(origin => heartbeats.stateUpdated(origin), abort.signal)
  await heartbeats.start(abort.signal)
  return { address: addressOf(i), zone, load: work.load, latencyModel: work.latencyModel, state, heartbeats, quarantine, quotas, abort }
}

async function startFleet (hosts: number): Promise<void> {
  fleet = await Promise.all(Array.from({ length: hosts }, async (_, i) => await startHost(i, i < ZONES.length)))
}

async function untilAll (condition: (host: FleetHost) => boolean, limitMs: number): Promise<number> {
  const startMs = performance.now()
  const running = (): readonly FleetHost[] => fleet.filter(({ abort }) => !abort.signal.aborted)
  while (!running().every(condition) && performance.now() - startMs < limitMs) await sleep(20)
  return performance.now() - startMs
}

const endpoint: EndpointRecord = { id: 'e1', service: 's', address: '10.0.0.1:1', zone: 'a', slots: 1, leaving: false, warmupMs: 0 }

test('40 hosts know each other, their work and one leader through relays, with few datagrams', async () => {
  const sent = vi.spyOn(Socket.prototype, 'send')
  await startFleet(40)
  expect(await untilAll(({ heartbeats }) => heartbeats.livePeers.length === 39, KNOWN_WITHIN_MS)).toBeLessThan(KNOWN_WITHIN_MS)
  expect(fleet.filter(({ heartbeats }) => heartbeats.isLeader).map(({ address }) => address)).toHaveLength(1)
  await sleep(1_000)
  sent.mockClear()
  const work = new AbortController()
  const worker = fleet[33]
  worker?.load.add('e', 700, work.signal)
  worker?.heartbeats.scheduleSend()
  expect(await untilAll(({ load }) => load.at('e').tokens === 700, KNOWN_WITHIN_MS)).toBeLessThan(KNOWN_WITHIN_MS)
  work.abort()
  worker?.heartbeats.scheduleSend()
  expect(await untilAll(({ load }) => load.at('e').tokens === 0, KNOWN_WITHIN_MS)).toBeLessThan(KNOWN_WITHIN_MS)
  const startMs = performance.now()
  sent.mockClear()
  await sleep(4_000)
  const perHost = sent.mock.calls.length / fleet.length / (performance.now() - startMs) * 1_000
  expect(perHost).toBeLessThan(MAX_DATAGRAMS_PER_S)
}, 30_000)

test('hosts whose relays have died report to others of their zone, and work that nobody reports any more is dropped', async () => {
  await startFleet(40)
  await untilAll(({ heartbeats }) => heartbeats.livePeers.length === 39, KNOWN_WITHIN_MS)
  fleet[12]?.load.add('dead', 50, new AbortController().signal)
  fleet[12]?.heartbeats.scheduleSend()
  expect(await untilAll(({ load }) => load.at('dead').tokens === 50, KNOWN_WITHIN_MS)).toBeLessThan(KNOWN_WITHIN_MS)
  const lost = [...fleet].filter(({ zone }) => zone === 'a').sort((a, b) => a.address < b.address ? -1 : 1).slice(0, 2)
  ;[...lost, fleet[12]].forEach(host => host?.abort.abort())
  fleet[32]?.load.add('e', 700, new AbortController().signal)
  fleet[32]?.heartbeats.scheduleSend()
  const knownMs = await untilAll(({ load }) => load.at('e').tokens === 700 && load.at('dead').tokens === 0, 20_000)
  expect(knownMs).toBeLessThan(2_500 + KNOWN_WITHIN_MS + 5_000)
}, 40_000)

test('a change that one host has read from the source reaches all hosts in a moment, without a fetch', async () => {
  await startFleet(40)
  await untilAll(({ heartbeats }) => heartbeats.livePeers.length === 39, KNOWN_WITHIN_MS)
  fleet.slice(0, ZONES.length).forEach(({ state }) => state.applyChanges({ endpoints: [{ id: 'e1', record: endpoint }], revision: 2 }, Origin.Source))
  expect(await untilAll(({ state }) => state.directory.get('e1') !== undefined, 2_000)).toBeLessThan(2_000)
  fleet.slice(0, ZONES.length).forEach(({ state }) => state.applyChanges({ endpoints: [{ id: 'e1' }], revision: 3 }, Origin.Source))
  expect(await untilAll(({ state }) => state.directory.get('e1') === undefined, 2_000)).toBeLessThan(2_000)
}, 30_000)

test('hosts of a small fleet report to each other within some milliseconds', async () => {
  await startFleet(7)
  await untilAll(({ heartbeats }) => heartbeats.livePeers.length === 6, KNOWN_WITHIN_MS)
  fleet[5]?.load.add('e', 700, new AbortController().signal)
  fleet[5]?.heartbeats.scheduleSend()
  expect(await untilAll(({ load }) => load.at('e').tokens === 700, 1_000)).toBeLessThan(500)
}, 20_000)

// Guards against crashes that each host of a large fleet sees one of, and that none of them relates to each other.
test('each of 40 hosts knows within a second which part of a prompt has crashed endpoints that different hosts had chosen', async () => {
  await startFleet(40)
  await untilAll(({ heartbeats }) => heartbeats.livePeers.length === fleet.length - 1, 8_000)
  const now = (): number => performance.now()
  const [first, second] = [fleet[11], fleet[28]]
  first?.quarantine.recordCrash({ id: 'e1@1', runs: [{ request: 'r1', parts: ['shared', 'poison'] }] }, now())
  first?.heartbeats.evidenceAdded()
  await sleep(300)
  second?.quarantine.recordCrash({ id: 'e2@1', runs: [{ request: 'r2', parts: ['shared', 'poison'] }, { request: 'r3', parts: ['shared', 'other'] }] }, now())
  second?.heartbeats.evidenceAdded()
  const knows = ({ quarantine }: FleetHost): boolean => quarantine.quarantined({ request: 'r4', parts: ['shared', 'poison'] }, now()) === 'poison'
  expect(await untilAll(knows, 5_000)).toBeLessThan(1_000)
  expect(fleet.every(({ quarantine }) => quarantine.quarantined({ request: 'r5', parts: ['shared', 'other'] }, now()) === undefined)).toBe(true)
}, 30_000)

// A host of a large fleet has too few calls of its own to each endpoint to know which ones are slow.
test('each of 40 hosts knows that an endpoint is slow, from calls of which each host has made a few; hosts of a small fleet report nothing', async () => {
  await startFleet(40)
  await untilAll(({ heartbeats }) => heartbeats.livePeers.length === 39, KNOWN_WITHIN_MS)
  const measure = (): void => fleet.forEach(({ latencyModel }, i) => {
    Array.from({ length: 4 }).forEach(() => latencyModel.addMeasurement({ group: 's', endpointId: `e${i % 4}` }, 1, i % 4 === 0 ? 300 : 100, performance.now()))
    if (i % 4 !== 0) latencyModel.addMeasurement({ group: 's', endpointId: 'e0' }, 1, 300, performance.now())
  })
  measure()
  fleet.forEach(({ heartbeats }) => heartbeats.scheduleSend())
  const knows = ({ latencyModel }: FleetHost): boolean => latencyModel.factor('e0', performance.now()) > 1.5
  expect(fleet.filter(knows).length).toBeLessThan(20)
  expect(await untilAll(knows, KNOWN_WITHIN_MS)).toBeLessThan(KNOWN_WITHIN_MS)
  fleet.forEach(({ abort }) => abort.abort())
  await startFleet(3)
  await untilAll(({ heartbeats }) => heartbeats.livePeers.length === 2, KNOWN_WITHIN_MS)
  const [first, second] = fleet
  Array.from({ length: 20 }).forEach((_, i) => first?.latencyModel.addMeasurement({ group: 's', endpointId: `e${i % 4}` }, 1, i % 4 === 0 ? 300 : 100, performance.now()))
  first?.heartbeats.scheduleSend()
  await sleep(600)
  expect(second?.latencyModel.factor('e0', performance.now())).toBe(1)
}, 40_000)

// Guards against accounts that get their whole quota from each host, and against hosts that refuse requests below it.
test.each([3, 20])('%i hosts admit what the quota of an account allows over all of them, whichever of them its callers choose', async hosts => {
  await startFleet(hosts)
  await untilAll(({ heartbeats }) => heartbeats.livePeers.length === hosts - 1, KNOWN_WITHIN_MS)
  const quota = { unit: QuotaUnit.Requests, ratePerS: 200, burst: 100, plainTokens: 0 }
  const now = (): number => performance.now()
  fleet.forEach(({ quotas }) => quotas.configure([{ name: 'a', keys: [], quota }], now()))
  const random = new SeededRandom(hosts)
  const ask = (): boolean => {
    const host = fleet[Math.floor(random.next() ** 2 * hosts)]
    host?.heartbeats.scheduleSend()
    return host?.quotas.take('a', 1, now()).admitted === true
  }
  const send = async (perTick: number, ms: number): Promise<readonly boolean[]> => {
    const startMs = now()
    const results: boolean[] = []
    while (now() - startMs < ms) {
      results.push(...Array.from({ length: perTick }, ask))
      await sleep(20)
    }
    return results
  }
  const admitted = (results: readonly boolean[]): number => results.filter(Boolean).length
  const calm = await send(2, 3_000)
  expect(admitted(calm)).toBe(calm.length)
  const startMs = now()
  const hot = await send(20, 6_000)
  const allowed = quota.burst + quota.ratePerS * (now() - startMs) / 1_000
  expect(hot.length).toBeGreaterThan(2 * allowed)
  expect(admitted(hot)).toBeLessThan(1.25 * allowed)
  expect(admitted(hot)).toBeGreaterThan(0.75 * allowed)
}, 30_000)
