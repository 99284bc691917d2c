import { demoFleet, demoHosts } from '../demo/JaymillDemoDocuments.js'
import { loopbackSettings, urlsOf, zoneOf } from '../demo/JaymillLoopbackHost.js'
import { until } from '../demo/JaymillUntil.js'
import { HostProcess } from './JaymillHostProcess.js'
import { EngineStandIn, EngineStandInOptions } from '../standins/JaymillEngineStandIn.js'
import { PlatformStandIn } from '../standins/JaymillPlatformStandIn.js'
import { ServiceStandIn } from '../standins/JaymillServiceStandIn.js'

/** Admin token of the hosts. */
export const PROCESS_ADMIN_TOKEN = 'site-admin'

/** Time from the start of the hosts to the declared cold start, in milliseconds; larger than the clock skew. */
const COLD_START_IN_MS = 300
const LARGE = { slots: 1_000, pieces: 1_000_000 }

/** Hosts as processes before stand-ins with room for every request. */
export class ProcessSite {
  readonly platform = new PlatformStandIn()
  readonly prefill: readonly EngineStandIn[]
  readonly decode: readonly EngineStandIn[]
  readonly services = [new ServiceStandIn(0), new ServiceStandIn(0)]
  hosts: HostProcess[] = []

  /**
   * @param engines - Engines of each pool.
   * @param pace - Pace of the engines where it differs from the stand-in's defaults.
   */
  constructor (engines: number, pace: Partial<EngineStandInOptions>) {
    const create = (): EngineStandIn[] => Array.from({ length: engines }, () => new EngineStandIn({ ...pace, ...LARGE }))
    this.prefill = create()
    this.decode = create()
  }

  /**
   * Starts everything and waits until every host is ready.
   *
   * @param count - Hosts.
   * @param signal - Ends everything.
   */
  async start (count: number, signal: AbortSignal): Promise<void> {
    const standIns = [this.platform, ...this.prefill, ...this.decode, ...this.services]
    await Promise.all(standIns.map(standIn => standIn.start(signal)))
    this.platform.publish('jaymill/fleet', withLargeSlots(demoFleet(1, {
      prefill: urlsOf(this.prefill), decode: urlsOf(this.decode), counter: urlsOf(this.services)
    })))
    this.hosts = Array.from({ length: count }, (_, i) => new HostProcess(`host-${i + 1}`, this._settings(i), signal))
    const urls = await Promise.all(this.hosts.map(async host => await host.listening()))
    this.platform.publish('jaymill/hosts', demoHosts(1, this.hosts.map(({ id }, i) => (
      { id, zone: zoneOf(i), peerUrl: urls[i]?.peer ?? '' }
    )), Date.now() + COLD_START_IN_MS))
    await Promise.all(urls.map(({ admin }) => until('host ready', async () => (await fetch(`${admin}/readyz`)).ok)))
  }

  private _settings (index: number): object {
    const id = `host-${index + 1}`
    const common = loopbackSettings({ id, index, platformUrl: this.platform.url, adminToken: PROCESS_ADMIN_TOKEN })
    return { ...common, log: { level: 'error' } }
  }
}

function withLargeSlots (fleet: ReturnType<typeof demoFleet>): ReturnType<typeof demoFleet> {
  const { slots, pieces } = LARGE
  const widen = (pool: typeof fleet.pools[number]): typeof pool => ({
    ...pool, endpoints: pool.endpoints.map(endpoint => ({ ...endpoint, slots, kvPieces: endpoint.kvPieces === 0 ? 0 : pieces }))
  })
  return { ...fleet, pools: fleet.pools.map(widen) }
}
