import { demoFleet, demoHosts } from '../demo/JaymillDemoDocuments.js'
import { loopbackSettings, urlsOf, zoneOf } from '../demo/JaymillLoopbackHost.js'
import { until } from '../demo/JaymillUntil.js'
import { FakeConfigServer } from '../standins/JaymillFakeConfigServer.js'
import { FakeEngineOptions, FakeEngineServer } from '../standins/JaymillFakeEngineServer.js'
import { FakeServiceServer } from '../standins/JaymillFakeServiceServer.js'
import { HostProcess } from './JaymillHostProcess.js'

/** Admin token of the hosts. */
export const PROCESS_ADMIN_TOKEN = 'site-admin'

/** Delay from the start of the hosts to their declared cold start, in milliseconds; longer than the allowed clock skew. */
const COLD_START_DELAY_MS = 300
const LARGE_CAPACITY = { slots: 1_000, pieces: 1_000_000 }

/** Hosts in separate processes, and fake endpoints with capacity for every request. */
export class ProcessSite {
  readonly configServer = new FakeConfigServer()
  readonly prefill: readonly FakeEngineServer[]
  readonly decode: readonly FakeEngineServer[]
  readonly services = [new FakeServiceServer(0), new FakeServiceServer(0)]
  hosts: HostProcess[] = []

  /**
   * @param engines - Number of engines in each pool.
   * @param engineOptions - Options of the engines that differ from the defaults.
   */
  constructor (engines: number, engineOptions: Partial<FakeEngineOptions>) {
    const create = (): FakeEngineServer[] => Array.from({ length: engines }, () => new FakeEngineServer({ ...engineOptions, ...LARGE_CAPACITY }))
    this.prefill = create()
    this.decode = create()
  }

  /**
   * Starts all servers and hosts, and waits until every host is ready.
   *
   * @param count - Number of hosts.
   * @param signal - Closes the fake servers and kills the hosts.
   */
  async start (count: number, signal: AbortSignal): Promise<void> {
    const servers = [this.configServer, ...this.prefill, ...this.decode, ...this.services]
    await Promise.all(servers.map(server => server.start(signal)))
    this.configServer.publish('jaymill/fleet', withLargeCapacity(demoFleet(1, {
      prefill: urlsOf(this.prefill), decode: urlsOf(this.decode), counter: urlsOf(this.services)
    })))
    this.hosts = Array.from({ length: count }, (_, i) => new HostProcess(`host-${i + 1}`, this._settings(i), signal))
    const urls = await Promise.all(this.hosts.map(async host => await host.listening()))
    this.configServer.publish('jaymill/hosts', demoHosts(1, this.hosts.map(({ id }, i) => (
      { id, zone: zoneOf(i), peerUrl: urls[i]?.peer ?? '' }
    )), Date.now() + COLD_START_DELAY_MS))
    await Promise.all(urls.map(({ admin }) => until('host ready', async () => (await fetch(`${admin}/readyz`)).ok)))
  }

  private _settings (index: number): object {
    const id = `host-${index + 1}`
    const common = loopbackSettings({ id, index, configServerUrl: this.configServer.url, adminToken: PROCESS_ADMIN_TOKEN })
    return { ...common, log: { level: 'error' } }
  }
}

function withLargeCapacity (fleet: ReturnType<typeof demoFleet>): ReturnType<typeof demoFleet> {
  const { slots, pieces } = LARGE_CAPACITY
  const enlarge = (pool: typeof fleet.pools[number]): typeof pool => ({
    ...pool, endpoints: pool.endpoints.map(endpoint => ({ ...endpoint, slots, kvPieces: endpoint.kvPieces === 0 ? 0 : pieces }))
  })
  return { ...fleet, pools: fleet.pools.map(enlarge) }
}
