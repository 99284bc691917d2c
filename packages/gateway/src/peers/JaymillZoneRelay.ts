import {
  RELAY_TIMEOUT_MS, type Clock, type EndpointLoad, type FactorShare, type LoadShare, type PendingRoleChanges, type PromptDemand, type ServiceLatencyModel, type SourceReader
} from '@jaymill/core'
import { MAX_SHARES_PER_MESSAGE, ZONE_DIGEST_TIMEOUT_MS } from './constants.js'
import { WorkScope, type HostMessage, type ReportedWork, type ZoneHosts } from './JaymillHostMessage.js'
import type { HostTable } from './JaymillHostTable.js'

/** Work of all hosts, as far as this host knows it. */
export interface WorkState {
  readonly load: EndpointLoad
  /** Prefills on decode engines. */
  readonly directPrefills: EndpointLoad
  readonly latencyModel: ServiceLatencyModel
  readonly demand: PromptDemand
  readonly roleChanges: PendingRoleChanges
}

/** Newest digest of another zone. */
interface ZoneDigest {
  readonly relay: string
  readonly hosts: readonly ZoneHosts[]
  readonly parts: number
  readonly receivedMs: number
}

/**
 * Sums up the work of the hosts that report to this host, exchanges the sums with the relays of the other availability zones,
 * and builds the picture of the whole fleet for the hosts that report. A host becomes a relay by being reported to, so no
 * election is needed, and hosts that select different relays for a while are all served.
 */
export class ZoneRelay {
  private readonly _own: () => SourceReader
  private readonly _table: HostTable
  private readonly _work: WorkState
  private readonly _clock: Clock
  private readonly _digests = new Map<string, ZoneDigest>()
  /** Monotonic time of the newest digest of each relay, in milliseconds. */
  private readonly _senders = new Map<string, number>()

  /**
   * @param own - Returns this host.
   * @param table - Other hosts.
   * @param work - Work of all hosts.
   * @param clock - Source of time.
   */
  constructor (own: () => SourceReader, table: HostTable, work: WorkState, clock: Clock) {
    this._own = own
    this._table = table
    this._work = work
    this._clock = clock
  }

  /** IP addresses of the hosts that report to this one. */
  get reporters (): readonly string[] {
    return this._table.reporters(this._clock.nowMs()).map(({ address }) => address)
  }

  /** Relays that this host exchanges digests with: the selected ones of the other zones, and those that send it theirs. */
  get partners (): readonly string[] {
    const nowMs = this._clock.nowMs()
    const { zone, address } = this._own()
    const zones = new Set(this._table.live.map(host => host.zone))
    const selected = [...zones].filter(other => other !== zone).flatMap(other => this._table.relaysOf(other, undefined, nowMs))
    const senders = [...this._senders].filter(([, receivedMs]) => nowMs - receivedMs <= ZONE_DIGEST_TIMEOUT_MS).map(([sender]) => sender)
    return [...new Set([...selected, ...senders])].filter(other => other !== address)
  }

  /** Live hosts that this relay has evidence of itself: those that report to it, and this one. */
  get zoneHosts (): readonly ZoneHosts[] {
    return byZone([this._own(), ...this._table.reporters(this._clock.nowMs())])
  }

  /** Live hosts of all zones. */
  get fleetHosts (): readonly ZoneHosts[] {
    return [...this.zoneHosts, ...[...this._digests.values()].flatMap(({ hosts }) => hosts)]
  }

  /**
   * Sums up the work of the hosts that report to this relay.
   *
   * @returns The sums, split into messages.
   */
  zoneWork (): readonly ReportedWork[] {
    return this._sum(WorkScope.Zone, this.reporters)
  }

  /**
   * Sums up the work of all hosts.
   *
   * @returns The sums, split into messages.
   */
  fleetWork (): readonly ReportedWork[] {
    return this._sum(WorkScope.Fleet, [...this.reporters, ...this._digestKeys()])
  }

  /**
   * Applies a digest of another relay. Of the relays of one zone, the one that hears from the most hosts counts.
   *
   * @param message - Message with the work of a zone.
   */
  applyZoneDigest (message: HostMessage): void {
    const nowMs = this._clock.nowMs()
    const { from, zone, hosts, work } = message
    this._senders.set(from, nowMs)
    if (zone === this._own().zone) return
    const before = this._digests.get(zone)
    const isOutdated = before === undefined || nowMs - before.receivedMs > RELAY_TIMEOUT_MS
    if (!isOutdated && before.relay !== from && countOf(hosts) <= countOf(before.hosts)) return
    if (before !== undefined) partKeys(zone, before.parts).slice(work.parts).forEach(key => this._forget(key))
    const listed = work.part === 0 || before === undefined ? hosts : before.hosts
    this._digests.set(zone, { relay: from, hosts: listed, parts: work.parts, receivedMs: nowMs })
    applyWork(this._work, partKey(zone, work.part), work)
  }

  /**
   * @param zone - Another availability zone.
   * @returns The relay of the zone whose digest counts; `undefined` before the first.
   */
  relayOf (zone: string): string | undefined {
    return this._digests.get(zone)?.relay
  }

  /** Drops digests that are no longer updated, and all of them when no host reports to this one any more. */
  expire (): void {
    const nowMs = this._clock.nowMs()
    const inactive = this.reporters.length === 0
    ;[...this._digests].filter(([, { receivedMs }]) => inactive || nowMs - receivedMs > ZONE_DIGEST_TIMEOUT_MS).forEach(([zone, { parts }]) => {
      partKeys(zone, parts).forEach(key => this._forget(key))
      this._digests.delete(zone)
    })
    ;[...this._senders].filter(([, receivedMs]) => nowMs - receivedMs > ZONE_DIGEST_TIMEOUT_MS).forEach(([sender]) => this._senders.delete(sender))
  }

  private _digestKeys (): readonly string[] {
    return [...this._digests].flatMap(([zone, { parts }]) => partKeys(zone, parts))
  }

  private _sum (scope: WorkScope, sources: readonly string[]): readonly ReportedWork[] {
    const { load, latencyModel, directPrefills, demand, roleChanges } = this._work
    const nowMs = this._clock.nowMs()
    const chunks = inChunks(byEndpoint(load.sum(sources)), byEndpoint(latencyModel.shares(sources, nowMs)))
    const first = { directPrefills: directPrefills.sum(sources), demand: demand.sum(sources, nowMs), changing: roleChanges.sum(sources, nowMs) }
    const rest = { directPrefills: [], demand: [], changing: [] }
    return chunks.map((chunk, part) => ({ scope, part, parts: chunks.length, ...chunk, ...(part === 0 ? first : rest) }))
  }

  private _forget (key: string): void {
    forgetWork(this._work, key)
  }
}

/**
 * Replaces the work reported by one source.
 *
 * @param state - Work of all hosts.
 * @param source - Source of the report.
 * @param work - The report.
 */
export function applyWork (state: WorkState, source: string, work: ReportedWork): void {
  state.load.update(source, work.load)
  state.latencyModel.update(source, work.factors)
  if (work.part > 0) return
  state.directPrefills.update(source, work.directPrefills)
  state.demand.update(source, work.demand)
  state.roleChanges.update(source, work.changing)
}

/**
 * Removes the work reported by one source.
 *
 * @param state - Work of all hosts.
 * @param source - Source of the report.
 */
export function forgetWork (state: WorkState, source: string): void {
  state.load.forget(source)
  state.latencyModel.update(source, [])
  state.directPrefills.forget(source)
  state.demand.update(source, [])
  state.roleChanges.update(source, [])
}

/**
 * @param name - Name of the picture that a part belongs to.
 * @param part - Number of the part.
 * @returns Name under which the work of the part is stored.
 */
export function partKey (name: string, part: number): string {
  return `${name}#${part}`
}

/**
 * @param name - Name of a picture.
 * @param parts - Number of its parts.
 * @returns Names under which the work of its parts is stored.
 */
export function partKeys (name: string, parts: number): readonly string[] {
  return Array.from({ length: parts }, (_, part) => partKey(name, part))
}

function byEndpoint<T extends { readonly endpointId: string }> (shares: readonly T[]): readonly T[] {
  return [...shares].sort((a, b) => a.endpointId < b.endpointId ? -1 : 1)
}

function inChunks (load: readonly LoadShare[], factors: readonly FactorShare[]): ReadonlyArray<Pick<ReportedWork, 'load' | 'factors'>> {
  const count = Math.max(1, Math.ceil((load.length + factors.length) / MAX_SHARES_PER_MESSAGE))
  const chunkOf = <T>(shares: readonly T[], i: number): readonly T[] => shares.slice(Math.floor(i * shares.length / count), Math.floor((i + 1) * shares.length / count))
  return Array.from({ length: count }, (_, i) => ({ load: chunkOf(load, i), factors: chunkOf(factors, i) }))
}

function byZone (hosts: readonly SourceReader[]): readonly ZoneHosts[] {
  const zones = [...new Set(hosts.map(({ zone }) => zone))]
  return zones.map(zone => {
    const inZone = hosts.filter(host => host.zone === zone)
    return { zone, addresses: inZone.map(({ address }) => address), connected: inZone.filter(({ connected }) => connected).map(({ address }) => address) }
  })
}

function countOf (hosts: readonly ZoneHosts[]): number {
  return hosts.reduce((sum, { addresses }) => sum + addresses.length, 0)
}
