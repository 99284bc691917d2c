import { EndpointRole, HostList, HostState, OwnedEndpoint } from '@jaymill/core'
import type { EventLoop } from './JaymillEventLoop.js'
import { FakeDecodeEngine, FakeLink, FakePrefillEngine } from './JaymillFakeEngine.js'
import type { PolicySite } from './JaymillPolicySite.js'

const HOST_PREFIX = 'host-'
const PREFILL_SLOTS = 1
const REPORT_PERIOD_MS = 500
const SAME_ZONE_DELAY_MS = 0.1

/** Fake engines of one site, and their load reports, which reach the hosts with a delay. */
export class FakeFleet {
  readonly decode: ReadonlyMap<string, FakeDecodeEngine>
  readonly prefill: ReadonlyMap<string, FakePrefillEngine>
  readonly link: FakeLink
  readonly endpoints: readonly OwnedEndpoint[]
  /** Used slots of each endpoint, as last reported. */
  readonly reportedUsedSlots = new Map<string, number>()
  /** Additional delay of an endpoint's reports, in milliseconds. */
  readonly extraLagMs = new Map<string, number>()
  private readonly _site: PolicySite

  /**
   * @param loop - Event loop of the run; the load reports are scheduled on it.
   * @param site - Site whose engines are simulated.
   */
  constructor (loop: EventLoop, site: PolicySite) {
    this._site = site
    const zoneOf = (index: number): string => site.zones[index % site.zones.length] ?? ''
    const runners = Array.from({ length: site.runners }, (_, index) => ({ index, zone: zoneOf(index) }))
    this.decode = new Map(runners.map(({ index, zone }) =>
      [`decode-${index}`, new FakeDecodeEngine(loop, `decode-${index}`, zone, site.decodeSlots, site.kvPieces)]))
    this.prefill = new Map(runners.map(({ index, zone }) =>
      [`prefill-${index}`, new FakePrefillEngine(loop, `prefill-${index}`, zone, site.prefillTokensPerMs)]))
    this.link = new FakeLink(loop, site.linkBytesPerSecond)
    this.endpoints = [
      ...[...this.decode.values()].map(engine => this._endpoint(engine, EndpointRole.Decode)),
      ...[...this.prefill.values()].map(engine => this._endpoint(engine, EndpointRole.Prefill))
    ]
    loop.every(REPORT_PERIOD_MS, () => this._report(loop))
  }

  /**
   * Returns the network delay between two availability zones.
   *
   * @param from - Availability zone of the sender.
   * @param to - Availability zone of the receiver.
   * @returns One-way delay in milliseconds.
   */
  delayMs (from: string, to: string): number {
    return from === to ? SAME_ZONE_DELAY_MS : this._site.zoneDelayMs
  }

  /**
   * Creates a host list.
   *
   * @param revision - Revision of the list.
   * @param ids - Live hosts; the number at the end of an id determines the availability zone.
   * @returns The list to publish.
   */
  hostList (revision: number, ids: readonly string[]): HostList {
    const hosts = ids.map(id => ({ id, zone: this.zoneOfHost(id), region: 'region', peerUrl: '', state: HostState.Live }))
    return { revision, hosts, leavingEndpoints: [] }
  }

  /**
   * Returns the availability zone of a host.
   *
   * @param id - Host id.
   * @returns Its availability zone.
   */
  zoneOfHost (id: string): string {
    return this._site.zones[Number(id.slice(HOST_PREFIX.length)) % this._site.zones.length] ?? ''
  }

  private _endpoint (engine: { id: string, zone: string }, role: EndpointRole): OwnedEndpoint {
    const decode = role === EndpointRole.Decode
    return {
      id: engine.id,
      zone: engine.zone,
      role,
      slots: decode ? this._site.decodeSlots : PREFILL_SLOTS,
      kvPieces: decode ? this._site.kvPieces : 0,
      linkBytesPerSecond: decode ? this._site.linkBytesPerSecond / this._site.runners : 0,
      leaving: false
    }
  }

  private _report (loop: EventLoop): void {
    [...this.decode.values(), ...this.prefill.values()].forEach(engine => {
      const used = engine.used
      const lagMs = REPORT_PERIOD_MS + (this.extraLagMs.get(engine.id) ?? 0)
      loop.after(lagMs, () => this.reportedUsedSlots.set(engine.id, used))
    })
  }
}
