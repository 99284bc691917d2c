import { createPeerClient, createPeerServer, PeerClient, PeerHandlers } from '@jaymill/adapters'
import {
  DocumentKey, DocumentVersion, Heartbeat, HEARTBEAT_INTERVAL_MS, HEARTBEAT_PARTNERS, HostEntry, HostState, Membership,
  WATCHERS_PER_ZONE
} from '@jaymill/core'
import { demoFleet } from '../demo/JaymillDemoDocuments.js'
import { printFigure } from './JaymillSpeedFigure.js'

const EXCHANGES = 2_000
const WARM_UP = 2_000
const SUMMARY_CHARS = [0, 1_000, 4_000]
const HOST_COUNTS = [7, 70, 420]
const ZONES = 5
const WATCH_WAIT_SECONDS = 30
const ENGINES = 600
const ACCOUNTS = 2_600
const CHANGES_PER_DAY = 520
const SECONDS_PER_DAY = 86_400
const DOCUMENTS = Object.values(DocumentKey)
const MS_PER_SECOND = 1_000
const US_PER_MS = 1_000

interface ExchangeCost {
  /** Bytes in both directions. */
  readonly bytes: number
  /** CPU time of both sides, in milliseconds. */
  readonly cpuMs: number
}

/**
 * Measures heartbeats between two hosts on loopback, and computes their cost for a host of a larger fleet.
 *
 * @param signal - Aborts the measurement.
 */
export async function measureHeartbeats (signal: AbortSignal): Promise<void> {
  const controller = new AbortController()
  const server = await createPeerServer(
    { listen: { host: '127.0.0.1', port: 0 }, token: 'token', handlers: echoHandlers(), forward: (_req, res) => res.end() },
    AbortSignal.any([controller.signal, signal])
  )
  const client = createPeerClient({ url: server.url, token: 'token' }, controller.signal)
  for (const chars of SUMMARY_CHARS) printExchangeCost(chars, await measureExchange(client, chars, signal))
  HOST_COUNTS.forEach(measureMembership)
  measureDocument()
  controller.abort()
}

function echoHandlers (): PeerHandlers {
  return { heartbeat: { heartbeat: async (heartbeat: Heartbeat) => heartbeat } } as unknown as PeerHandlers
}

async function measureExchange (client: PeerClient, chars: number, signal: AbortSignal): Promise<ExchangeCost> {
  const heartbeat = heartbeatOf(chars)
  await repeat(WARM_UP, async () => await client.heartbeat(heartbeat, signal))
  const [cpu, before] = [process.cpuUsage(), client.byteCounts()]
  await repeat(EXCHANGES, async () => await client.heartbeat(heartbeat, signal))
  const [{ user, system }, after] = [process.cpuUsage(cpu), client.byteCounts()]
  const bytes = after.bytesIn + after.bytesOut - before.bytesIn - before.bytesOut
  return { bytes: bytes / EXCHANGES, cpuMs: (user + system) / US_PER_MS / EXCHANGES }
}

async function repeat (times: number, run: () => Promise<unknown>): Promise<void> {
  for (let i = 0; i < times; i++) await run()
}

function printExchangeCost (chars: number, { bytes, cpuMs }: ExchangeCost): void {
  const name = `heartbeat with ${chars} digest characters`
  printFigure({ name: `${name}, bytes of an exchange`, value: bytes, unit: 'B' })
  printFigure({ name: `${name}, CPU of both sides`, value: cpuMs, unit: 'ms' })
  if (chars > 0) return
  HOST_COUNTS.forEach(hosts => {
    const partners = Math.min(HEARTBEAT_PARTNERS, hosts - 1)
    const perSecond = (sent: number): number => 2 * sent * MS_PER_SECOND / HEARTBEAT_INTERVAL_MS
    printFigure({ name: `partners, ${hosts} hosts, per host`, value: perSecond(partners) * bytes, unit: 'B/s' })
    printFigure({ name: `all to all, ${hosts} hosts, per host`, value: perSecond(hosts - 1) * bytes, unit: 'B/s' })
    printFigure({
      name: `partners, ${hosts} hosts, CPU per host`,
      value: perSecond(partners) * cpuMs / 2 / MS_PER_SECOND * 100,
      unit: '% of a core'
    })
  })
}

function measureMembership (hosts: number): void {
  const entries = entriesOf(hosts)
  const list = { revision: 1, hosts: entries, leavingEndpoints: [] }
  const membership = new Membership({ id: 'host-0', zone: 'zone-0', region: 'region-0', incarnation: 1 }, 0)
  const adoptMs = timed(() => membership.adoptList(list, 0))
  const ticks = 1_000
  const tickMs = timed(() => Array.from({ length: ticks }, (_, i) => membership.tick(i))) / ticks
  const watches = Math.min(hosts, ZONES * WATCHERS_PER_ZONE) * DOCUMENTS.length
  printFigure({ name: `adopting a list of ${hosts} hosts`, value: adoptMs, unit: 'ms' })
  printFigure({ name: `a step of the membership of ${hosts} hosts`, value: tickMs, unit: 'ms' })
  printFigure({ name: `platform reads of waiting watches, ${hosts} hosts`, value: watches / WATCH_WAIT_SECONDS, unit: '1/s' })
}

function measureDocument (): void {
  const url = 'http://10.0.0.1:8000'
  const cfg = demoFleet(1, { prefill: Array(ENGINES / 2).fill(url), decode: Array(ENGINES / 2).fill(url), counter: [url] })
  const accounts = Array.from({ length: ACCOUNTS }, (_, i) => ({ ...cfg.accounts[0], id: `account-${i}` }))
  const bytes = JSON.stringify({ ...cfg, accounts }).length
  printFigure({ name: `configuration of ${ENGINES} endpoints and ${ACCOUNTS} accounts`, value: bytes, unit: 'B' })
  printFigure({
    name: 'configuration fetched and passed on, per host',
    value: 2 * bytes * CHANGES_PER_DAY / SECONDS_PER_DAY,
    unit: 'B/s'
  })
}

function timed (run: () => void): number {
  const start = performance.now()
  run()
  return performance.now() - start
}

function entriesOf (count: number): HostEntry[] {
  return Array.from({ length: count }, (_, i) => ({
    id: `host-${i}`,
    zone: `zone-${i % ZONES}`,
    region: `region-${i % 2}`,
    peerUrl: `http://10.0.0.${i}:7300`,
    state: HostState.Live
  }))
}

function heartbeatOf (chars: number): Heartbeat {
  const documents: DocumentVersion[] = DOCUMENTS.map(key => ({ key, revision: 1_234, digest: 'a'.repeat(64) }))
  return {
    from: 'host-123',
    incarnation: 1_796_364_627_107,
    seq: 123_456,
    state: HostState.Live,
    documents,
    updates: [],
    leavingEndpoints: [],
    health: 'x'.repeat(chars)
  }
}
