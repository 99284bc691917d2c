import { createHostLogger, Daemon, DaemonUrls } from '@jaymill/daemon'
import { parseHostSettings } from '@jaymill/settings'
import { FakeConfigServer } from '../standins/JaymillFakeConfigServer.js'
import { FakeEngineOptions, FakeEngineServer } from '../standins/JaymillFakeEngineServer.js'
import { FakeServiceServer } from '../standins/JaymillFakeServiceServer.js'
import { demoFleet, demoHosts } from './JaymillDemoDocuments.js'
import { loopbackSettings, urlsOf, zoneOf } from './JaymillLoopbackHost.js'
import { until } from './JaymillUntil.js'

/** Admin token of the demo's hosts. */
export const DEMO_ADMIN_TOKEN = 'demo-admin'

/** Delay from the start of the hosts to their declared cold start, in milliseconds; longer than the allowed clock skew. */
const COLD_START_DELAY_MS = 500

/** Sizes and settings of a demo fleet. */
export interface DemoFleetOptions {
  readonly hosts: number
  readonly prefill: number
  readonly decode: number
  readonly services: number
  /** Least severe level that hosts log. */
  readonly logLevel: string
  /** Members of the hosts' `limits` settings that differ from the defaults. */
  readonly limits: Readonly<Record<string, number>>
  /** Capacities and latencies of the engines that differ from the defaults. */
  readonly engine: Partial<FakeEngineOptions>
}

const DEFAULTS: DemoFleetOptions = { hosts: 3, prefill: 2, decode: 3, services: 2, logLevel: 'error', limits: {}, engine: {} }

/** Running host of the demo. */
export interface DemoHost {
  readonly id: string
  readonly daemon: Daemon
  readonly urls: DaemonUrls
}

function create<Value> (count: number, make: (index: number) => Value): Value[] {
  return Array.from({ length: count }, (_, index) => make(index))
}

/** Configuration server, endpoints and hosts of the demo, all in one process on loopback. */
export class DemoFleet {
  readonly configServer = new FakeConfigServer()
  readonly prefill: readonly FakeEngineServer[]
  readonly decode: readonly FakeEngineServer[]
  readonly services: readonly FakeServiceServer[]
  readonly hosts: DemoHost[] = []
  private readonly _opts: DemoFleetOptions

  /**
   * @param opts - Options that differ from the defaults.
   */
  constructor (opts: Partial<DemoFleetOptions> = {}) {
    this._opts = { ...DEFAULTS, ...opts }
    this.prefill = create(this._opts.prefill, () => new FakeEngineServer(this._opts.engine))
    this.decode = create(this._opts.decode, () => new FakeEngineServer(this._opts.engine))
    this.services = create(this._opts.services, () => new FakeServiceServer())
  }

  /**
   * Starts all servers and hosts, and waits until every host is ready and owns idempotency keys.
   *
   * @param signal - Closes the fake servers and kills the hosts.
   */
  async start (signal: AbortSignal): Promise<void> {
    await Promise.all([this.configServer, ...this.prefill, ...this.decode, ...this.services].map(server => server.start(signal)))
    const urls = { prefill: urlsOf(this.prefill), decode: urlsOf(this.decode), counter: urlsOf(this.services) }
    this.configServer.publish('jaymill/fleet', demoFleet(1, urls))
    this.hosts.push(...await Promise.all(create(this._opts.hosts, index => this._startHost(index))))
    signal.addEventListener('abort', () => this.hosts.forEach(({ daemon }) => daemon.kill()), { once: true })
    this.configServer.publish('jaymill/hosts', demoHosts(1, this.hosts.map(({ id, urls }, index) => (
      { id, zone: zoneOf(index), peerUrl: urls.peer }
    )), Date.now() + COLD_START_DELAY_MS))
    await Promise.all(this.hosts.map(({ urls }) => until('host ready', async () => (await fetch(`${urls.admin}/readyz`)).ok)))
    await Promise.all(this.hosts.map(host => this.awaitKeyOwnership(host)))
  }

  /**
   * Waits until a host can run requests under idempotency keys that are minted from now on.
   *
   * @param host - Host to wait for.
   */
  async awaitKeyOwnership ({ urls }: DemoHost): Promise<void> {
    const headers = { Authorization: `Bearer ${DEMO_ADMIN_TOKEN}` }
    await until('host owns keys', async () => {
      const res = await fetch(`${urls.admin}/status`, { headers })
      const { idempotency } = await res.json() as { idempotency: { leaseLeftMs: number, takeOverMs: number | null } }
      return idempotency.leaseLeftMs > 0 && idempotency.takeOverMs !== null && idempotency.takeOverMs < Date.now()
    })
  }

  private async _startHost (index: number): Promise<DemoHost> {
    const id = `host-${index + 1}`
    const settings = parseHostSettings(JSON.stringify(this._settings(id, index)), id)
    const daemon = new Daemon(settings, createHostLogger(this._opts.logLevel, id))
    return { id, daemon, urls: await daemon.start() }
  }

  private _settings (id: string, index: number): object {
    const common = loopbackSettings({ id, index, configServerUrl: this.configServer.url, adminToken: DEMO_ADMIN_TOKEN })
    return { ...common, limits: this._opts.limits }
  }
}
