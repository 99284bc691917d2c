import { createSocket, type Socket } from 'node:dgram'
import { once } from 'node:events'
import {
  HostHeartbeatRateLimiter, QuotaScope, RELAY_TIMEOUT_MS, type AccountQuotas, type Clock, type CrashQuarantine, type EndpointRateLimits,
  type ReportedRateLimit, type SourceReader
} from '@jaymill/core'
import type { SocketAddress } from '@jaymill/settings'
import { Origin, type FleetState } from '../fleet/JaymillFleetState.js'
import type { GatewayLog } from '../logging/JaymillGatewayLog.js'
import {
  BATCHES_MAX_BYTES, FLEET_DIGEST_INTERVAL_MS, FLEET_DIGEST_TIMEOUT_MS, HOST_HEARTBEAT_CHECK_MS, HOSTS_PER_HEARTBEAT, MAX_DIGEST_LIMITS,
  MAX_HOST_LIMITS, PEER_FORGET_MS, UPDATE_COALESCE_MS, ZONE_DIGEST_INTERVAL_MS
} from './constants.js'
import { CrashReportSchedule } from './JaymillCrashReportSchedule.js'
import { decodeHostMessage, encodeHostMessage, WorkScope, type HostMessage, type ReportedWork, type ZoneHosts } from './JaymillHostMessage.js'
import { HostTable, type HostEntry } from './JaymillHostTable.js'
import { PeriodicTask } from './JaymillPeriodicTask.js'
import { QuotaReportSchedule } from './JaymillQuotaReportSchedule.js'
import { ReceivedMessages, type NewerStateListener } from './JaymillReceivedMessages.js'
import { forgetWork, ZoneRelay, type WorkState } from './JaymillZoneRelay.js'

/** State that heartbeats report and update, and further dependencies. */
export interface HostHeartbeatsContext {
  readonly address: string
  readonly zone: string
  readonly listen: SocketAddress
  /** IP addresses of the initial peers; others are discovered through heartbeats. */
  readonly seeds: readonly string[]
  readonly state: FleetState
  readonly work: WorkState
  readonly quarantine: CrashQuarantine
  /** Called when another host has reported crashes, or proofs, that were unknown. */
  readonly onEvidence: () => void
  readonly limits: EndpointRateLimits
  readonly quotas: AccountQuotas
  /** Called with rate limits of endpoints that were unknown. */
  readonly onLimits: (news: readonly ReportedRateLimit[]) => void
  /** Whether this host follows the source and its last request succeeded. */
  readonly connected: () => boolean
  readonly clock: Clock
  readonly log: GatewayLog
}

const NO_WORK: ReportedWork = { scope: WorkScope.None, part: 0, parts: 1, load: [], factors: [], directPrefills: [], demand: [], changing: [] }
const LIVE_HOSTS: ReportedWork = { ...NO_WORK, scope: WorkScope.Hosts }

/**
 * Tells the other hosts the work and the state of this host in UDP datagrams, and receives theirs. In a small fleet each host
 * reports to every other one. In a large one it reports to the relays of its availability zone and gets digests of the work of
 * the whole fleet from them. Each message is complete by itself, so that the next one makes up for a lost one.
 */
export class HostHeartbeats {
  private readonly _context: HostHeartbeatsContext
  private readonly _startedAtMs = Date.now()
  private readonly _table: HostTable
  private readonly _relay: ZoneRelay
  private readonly _crashReports: CrashReportSchedule
  private readonly _received: ReceivedMessages
  private readonly _quotaReports: QuotaReportSchedule
  private readonly _socket: Socket = createSocket('udp4')
  private readonly _rateLimiter = new HostHeartbeatRateLimiter()
  private readonly _zoneDigest = new PeriodicTask(ZONE_DIGEST_INTERVAL_MS)
  private readonly _fleetDigest = new PeriodicTask(FLEET_DIGEST_INTERVAL_MS)
  private _seq = 0
  private _reportTimer: NodeJS.Timeout | undefined
  private _updateTimer: NodeJS.Timeout | undefined
  private _leaving = false
  private _closed = false
  private _sampleStart = 0
  /** Work in the last report of this host, which the digests of its relays contain. */
  private _lastReported = NO_WORK

  /**
   * @param context - Dependencies.
   */
  constructor (context: HostHeartbeatsContext) {
    const { address, seeds, work, quarantine, clock } = context
    this._crashReports = new CrashReportSchedule(quarantine)
    this._context = context
    this._table = new HostTable(address)
    this._relay = new ZoneRelay(() => this._self(), this._table, work, clock)
    this._quotaReports = new QuotaReportSchedule(context.quotas)
    this._received = new ReceivedMessages({
      ...context,
      table: this._table,
      relay: this._relay,
      crashReports: this._crashReports,
      lastReported: () => this._lastReported,
      passOn: () => this._passOnSoon(),
      reply: ip => this._reply(ip)
    })
    seeds.filter(ip => ip !== address).forEach(ip => this._table.add(ip, clock.nowMs()))
  }

  /** IP addresses of the peers with a sign of life within the timeout. */
  get livePeers (): readonly string[] {
    return this._table.live.map(({ address }) => address)
  }

  /** IP addresses of the live peers that are not shutting down. */
  get workingPeers (): readonly string[] {
    return this._table.live.filter(({ leaving }) => !leaving).map(({ address }) => address)
  }

  /** IP addresses of the live peers that are shutting down. */
  get stoppingPeers (): readonly string[] {
    return this._table.live.filter(({ leaving }) => leaving).map(({ address }) => address)
  }

  /** Zone and source connection of each live peer. */
  get readers (): readonly SourceReader[] {
    return this._table.readers
  }

  /** Whether this host is the leader: it has the lowest address of the live hosts, and these are a majority of all hosts. */
  get isLeader (): boolean {
    const live = this.livePeers
    return !this._leaving && 2 * (live.length + 1) > this.hostCount && live.every(ip => this._context.address < ip)
  }

  /** Number of hosts that may be serving requests, this one included. */
  get hostCount (): number {
    return this._table.size + 1
  }

  /** Whether the work of the other hosts is known through relays, and therefore late. */
  get usesRelays (): boolean {
    return this._rateLimiter.usesRelays(this._table.size)
  }

  /**
   * Adds a listener for newer state on other hosts.
   *
   * @param listener - Called when another host has a newer configuration or newer endpoints.
   */
  onNewerState (listener: NewerStateListener): void {
    this._received.onNewerState(listener)
  }

  /**
   * Starts to receive and to send messages.
   *
   * @param signal - Stops both when it aborts.
   */
  async start (signal: AbortSignal): Promise<void> {
    const { listen, log } = this._context
    this._socket.on('message', bytes => this._receive(bytes))
    this._socket.on('error', err => log.warn('heartbeat socket failed', { reason: err.message }))
    this._socket.bind(listen.port, listen.address)
    await once(this._socket, 'listening', { signal })
    const timer = setInterval(() => this._tick(), HOST_HEARTBEAT_CHECK_MS)
    signal.addEventListener('abort', () => {
      [timer, this._reportTimer, this._updateTimer].forEach(pending => clearTimeout(pending))
      this._closed = true
      this._socket.close()
    }, { once: true })
    this._report(true)
  }

  /** Reports the work of this host as soon as the rate limit allows it. Called when it changes. */
  scheduleSend (): void {
    this._reportTimer ??= setTimeout(() => this._report(false), this._rateLimiter.untilNextMs(this._table.size, this._context.clock.nowMs()))
  }

  /** Reports the work of this host at once. */
  sendNow (): void {
    setImmediate(() => this._report(false))
  }

  /**
   * Tells other hosts about a newer state of this host: a host that has read it from the source tells all that it reports to, and
   * a relay tells the hosts that report to it.
   *
   * @param origin - Where the state was read.
   */
  stateUpdated (origin: Origin): void {
    if (origin === Origin.Source) this.sendNow()
    this._passOnSoon()
  }

  /** Tells the other hosts at once that this host has seen a crash, or proof against the quarantine of a request. */
  evidenceAdded (): void {
    this._crashReports.changed()
    this.sendNow()
    this._passOnSoon()
  }

  /** Tells the other hosts at once that an endpoint has named or lifted a rate limit. */
  limitsChanged (): void {
    this.sendNow()
    this._passOnSoon()
  }

  /** Announces the shutdown of this host. */
  leave (): void {
    this._leaving = true
    this._report(false)
    if (this.usesRelays) this._sendUpdate()
  }

  /** As a relay, sends an update to the hosts that report to this one, and to the other relays. */
  private _passOnSoon (): void {
    if (this.usesRelays) this._updateTimer ??= setTimeout(() => this._sendUpdate(), UPDATE_COALESCE_MS)
  }

  private _self (): SourceReader {
    const { address, zone, connected } = this._context
    return { address, zone, connected: connected() }
  }

  private _tick (): void {
    const nowMs = this._context.clock.nowMs()
    this._table.entries.forEach(entry => this._checkHost(entry, nowMs))
    this._relay.expire()
    this._context.quotas.observeHosts(this._inTouch(nowMs), this._table.possiblyServing(nowMs) + 1, nowMs)
    if (this._rateLimiter.isDue(this._table.size, nowMs)) this._report(this._context.state.config === undefined)
    if (this.usesRelays && this._relay.reporters.length > 0) this._sendDigests(nowMs)
  }

  /** Number of hosts whose use of quotas this host knows, itself included. */
  private _inTouch (nowMs: number): number {
    const isMember = this.usesRelays && this._relay.reporters.length === 0
    return isMember && nowMs - this._received.fleetDigestMs > FLEET_DIGEST_TIMEOUT_MS ? 1 : this.livePeers.length + 1
  }

  private _checkHost (entry: HostEntry, nowMs: number): void {
    const silentMs = nowMs - entry.lastSeenMs
    const reportTimeoutMs = this.usesRelays ? RELAY_TIMEOUT_MS : this._rateLimiter.peerTimeoutMs(this._table.size)
    if (nowMs - entry.lastReportMs > reportTimeoutMs) this._forgetReport(entry)
    if (entry.live && silentMs > this._rateLimiter.peerTimeoutMs(this._table.size)) {
      entry.live = false
      this._context.log.stateChange('host is silent', { peer: entry.address, silentMs: Math.round(silentMs) })
    }
    if (silentMs > PEER_FORGET_MS && !this._context.seeds.includes(entry.address)) this._table.remove(entry.address)
  }

  private _forgetReport (entry: HostEntry): void {
    if (entry.lastReportMs === Number.NEGATIVE_INFINITY) return
    entry.lastReportMs = Number.NEGATIVE_INFINITY
    forgetWork(this._context.work, entry.address)
    this._context.limits.forgetHost(entry.address)
  }

  /** Reports the work of this host to all other hosts of a small fleet, or to its relays. */
  private _report (ask: boolean): void {
    clearTimeout(this._reportTimer)
    this._reportTimer = undefined
    const nowMs = this._context.clock.nowMs()
    this._rateLimiter.recordSent(nowMs)
    this._lastReported = this._ownWork()
    const hosts = this.usesRelays ? [] : this._listOf(this._hostSample())
    this._sendTo(this._receivers(nowMs), this._message(this._lastReported, hosts, ask))
  }

  private _receivers (nowMs: number): readonly string[] {
    const all = this._table.entries.map(({ address }) => address)
    if (!this.usesRelays) return all
    const relays = this._table.relaysOf(this._context.zone, this._leaving ? undefined : this._self(), nowMs)
    const others = relays.filter(address => address !== this._context.address)
    others.forEach(address => this._table.recordSent(address, nowMs))
    const isAlone = others.length === 0 && this._relay.reporters.length === 0
    return isAlone ? [...this._context.seeds, ...all.slice(0, HOSTS_PER_HEARTBEAT)].filter(address => address !== this._context.address) : others
  }

  private _sendDigests (nowMs: number): void {
    if (this._zoneDigest.isDue(nowMs)) {
      const hosts = this._relay.zoneHosts
      this._relay.zoneWork().forEach(work => this._sendTo(this._relay.partners, this._message(work, work.part === 0 ? hosts : [], false)))
    }
    if (this._fleetDigest.isDue(nowMs)) this._sendFleetDigest(this._relay.reporters)
    const scopes = this._quotaReports.due(nowMs)
    if (scopes.includes(QuotaScope.Zone)) this._sendQuotas(QuotaScope.Zone, this._relay.partners)
    if (scopes.includes(QuotaScope.Fleet)) this._sendQuotas(QuotaScope.Fleet, this._relay.reporters)
  }

  private _sendQuotas (scope: QuotaScope, receivers: readonly string[]): void {
    const quotas = this._quotaReports.report(scope, this._context.clock.nowMs())
    if (quotas !== undefined) this._sendTo(receivers, { ...this._message(NO_WORK, [], false), quotas })
  }

  private _sendFleetDigest (receivers: readonly string[]): void {
    this._sendTo(receivers, this._message(LIVE_HOSTS, this._relay.fleetHosts, false))
    this._relay.fleetWork().forEach(work => this._sendTo(receivers, this._message(work, [], false)))
  }

  private _sendUpdate (): void {
    clearTimeout(this._updateTimer)
    this._updateTimer = undefined
    this._sendTo([...new Set([...this._relay.reporters, ...this._relay.partners])], this._message(NO_WORK, [], false))
  }

  private _sendTo (receivers: readonly string[], message: HostMessage): void {
    if (this._closed) return
    const bytes = encodeHostMessage(message)
    receivers.forEach(ip => this._socket.send(bytes, this._context.listen.port, ip, err => {
      if (err !== null && err !== undefined) this._context.log.warn('heartbeat not sent', { peer: ip, reason: err.message })
    }))
  }

  /** Returns a sample of the live peers; successive calls rotate through all of them. */
  private _hostSample (): readonly HostEntry[] {
    const { live } = this._table
    if (live.length <= HOSTS_PER_HEARTBEAT) return live
    this._sampleStart = (this._sampleStart + HOSTS_PER_HEARTBEAT) % live.length
    return [...live, ...live].slice(this._sampleStart, this._sampleStart + HOSTS_PER_HEARTBEAT)
  }

  private _listOf (entries: readonly HostEntry[]): readonly ZoneHosts[] {
    const zones = [...new Set(entries.map(({ zone }) => zone))]
    return zones.map(zone => ({ zone, addresses: entries.filter(entry => entry.zone === zone).map(({ address }) => address), connected: [] }))
  }

  private _ownWork (): ReportedWork {
    const { work: { load, latencyModel, directPrefills, demand, roleChanges }, clock } = this._context
    const nowMs = clock.nowMs()
    return {
      scope: WorkScope.Host,
      part: 0,
      parts: 1,
      load: load.own(),
      factors: this.usesRelays ? latencyModel.shares([], nowMs) : [],
      directPrefills: directPrefills.own(),
      demand: demand.own(nowMs),
      changing: roleChanges.own(nowMs)
    }
  }

  private _message (work: ReportedWork, hosts: readonly ZoneHosts[], ask: boolean, toNewHost = ask): HostMessage {
    this._seq += 1
    const { state, work: { roleChanges }, limits, clock } = this._context
    const { address, zone, connected } = this._self()
    const nowMs = clock.nowMs()
    const crashes = this._crashReports.next(work.scope, toNewHost, nowMs)
    const quotas = work.scope === WorkScope.Host ? this._quotaReports.report(QuotaScope.Host, nowMs) : undefined
    return {
      from: address,
      zone,
      born: this._startedAtMs,
      seq: this._seq,
      connected,
      ask,
      leaving: this._leaving,
      config: state.version,
      revision: state.directory.revision,
      graceMs: state.directory.graceMs(nowMs),
      fence: roleChanges.highestFencingToken,
      batches: state.latestBatches(BATCHES_MAX_BYTES),
      hosts,
      work,
      ...(crashes === undefined ? {} : { crashes }),
      limits: limits.report(work.scope === WorkScope.Host ? MAX_HOST_LIMITS : MAX_DIGEST_LIMITS, nowMs),
      ...(quotas === undefined ? {} : { quotas })
    }
  }

  private _receive (bytes: Buffer): void {
    const message = decodeHostMessage(bytes)
    if (message === undefined) {
      this._context.log.warn('malformed heartbeat', { bytes: bytes.length })
      return
    }
    if (message.from !== this._context.address) this._received.apply(message)
  }

  private _reply (ip: string): void {
    const hosts = this._listOf(this._table.live)
    this._sendTo([ip], this._message(this.usesRelays ? NO_WORK : this._ownWork(), hosts, false, true))
    if (this.usesRelays && this._relay.reporters.length > 0) this._sendFleetDigest([ip])
  }
}
