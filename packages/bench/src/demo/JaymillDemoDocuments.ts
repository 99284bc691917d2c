import { createHash } from 'node:crypto'
import {
  AdapterKind, EndpointConfig, EndpointState, FleetConfig, HostEntry, HostList, HostState, PoolRole, RouteClass
} from '@jaymill/core'

/** API key of the demo's only account. */
export const DEMO_API_KEY = 'demo-key'
/** Model that the demo serves. */
export const DEMO_MODEL = 'atelier-llm'
/** Availability zones of the demo. */
export const DEMO_ZONES: readonly string[] = ['brest', 'rennes', 'lorient']

const REGION = 'brittany'
const ENGINE_SLOTS = 20
const ENGINE_PIECES = 2_000
const LINK_BYTES_PER_SECOND = 10_000_000_000

/** Base URLs of the demo's endpoints by pool. */
export interface DemoEndpoints {
  readonly prefill: readonly string[]
  readonly decode: readonly string[]
  readonly counter: readonly string[]
}

function endpointsOf (pool: string, urls: readonly string[], kvPieces: number): EndpointConfig[] {
  return urls.map((url, i) => ({
    id: `${pool}-${i + 1}`,
    url,
    zone: DEMO_ZONES[i % DEMO_ZONES.length] ?? '',
    state: EndpointState.Active,
    slots: ENGINE_SLOTS,
    kvPieces,
    checksFencing: true
  }))
}

/**
 * Builds the fleet configuration of the demo.
 *
 * @param revision - Revision of the document.
 * @param urls - Base URLs of the endpoints.
 * @returns The configuration.
 */
export function demoFleet (revision: number, urls: DemoEndpoints): FleetConfig {
  const engine = { adapter: AdapterKind.Engine, linkBytesPerSecond: LINK_BYTES_PER_SECOND }
  return {
    revision,
    pools: [
      { id: 'prefill', role: PoolRole.Prefill, ...engine, endpoints: endpointsOf('prefill', urls.prefill, ENGINE_PIECES) },
      { id: 'decode', role: PoolRole.Decode, ...engine, endpoints: endpointsOf('decode', urls.decode, ENGINE_PIECES) },
      {
        id: 'counter',
        role: PoolRole.Service,
        adapter: AdapterKind.Http,
        linkBytesPerSecond: 0,
        endpoints: endpointsOf('counter', urls.counter, 0)
      }
    ],
    models: [{
      id: DEMO_MODEL,
      prefillPool: 'prefill',
      decodePool: 'decode',
      version: '1',
      adapters: [],
      tokensPerPiece: 16,
      kvBytesPerToken: 131_072,
      route: 'wear-report'
    }],
    services: [{
      id: 'comptoir-app',
      pool: 'counter',
      paths: [
        { method: 'POST', path: '/bookings', route: 'booking' },
        { method: 'GET', path: '/stock', route: 'stock' }
      ]
    }],
    routes: [
      {
        id: 'wear-report',
        class: RouteClass.Summary,
        idempotent: true,
        ttftMs: 940,
        interTokenMs: 31,
        deadlineMs: 60_000,
        hedging: false
      },
      {
        id: 'verdict',
        class: RouteClass.Verdict,
        idempotent: true,
        ttftMs: 940,
        interTokenMs: 31,
        deadlineMs: 30_000,
        hedging: false
      },
      {
        id: 'booking',
        class: RouteClass.Booking,
        idempotent: false,
        ttftMs: 940,
        interTokenMs: 0,
        deadlineMs: 10_000,
        hedging: false
      },
      {
        id: 'stock',
        class: RouteClass.Lookup,
        idempotent: true,
        ttftMs: 500,
        interTokenMs: 0,
        deadlineMs: 5_000,
        hedging: true
      }
    ],
    accounts: [{
      id: 'kerbrat',
      keySha256: createHash('sha256').update(DEMO_API_KEY).digest('hex'),
      weight: 1,
      requestsPerSecond: 1_000,
      tokensPerSecond: 1_000_000
    }],
    anonymousAccount: 'kerbrat'
  }
}

/**
 * Builds the host list of the demo.
 *
 * @param revision - Revision of the document.
 * @param hosts - Ids, availability zones and peer URLs of live hosts.
 * @param coldStartAtMs - Time of a declared cold start, in wall-clock milliseconds; none by default.
 * @returns The list.
 */
export function demoHosts (
  revision: number, hosts: ReadonlyArray<{ id: string, zone: string, peerUrl: string }>, coldStartAtMs?: number
): HostList {
  const entries: HostEntry[] = hosts.map(host => ({ ...host, region: REGION, state: HostState.Live }))
  const cold = coldStartAtMs === undefined ? {} : { coldStart: { revision, atMs: coldStartAtMs } }
  return { revision, hosts: entries, leavingEndpoints: [], ...cold }
}
