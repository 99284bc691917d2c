import { createSocket, type Socket } from 'node:dgram'
import { once } from 'node:events'
import { HostHeartbeatRateLimiter, isNewerHostHeartbeat, type Clock, type EndpointLoad, type LoadShare, type PendingRoleChanges, type PromptDemand, type SourceReader } from '@jaymill/core'
import type { SocketAddress } from '@jaymill/settings'
import type { FleetState } from '../fleet/JaymillFleetState.js'
import type { GatewayLog } from '../logging/JaymillGatewayLog.js'
import { HOST_HEARTBEAT_CHECK_MS, HOSTS_PER_HEARTBEAT, PEER_FORGET_MS } from './constants.js'
import { parseHostHeartbeat, type HostHeartbeatMessage } from './JaymillHostHeartbeatMessage.js'

/** State that heartbeats report and update, and further dependencies. */
export interface HostHeartbeatsContext {
  readonly address: string
  readonly zone: string
  readonly listen: SocketAddress
  /** IP addresses of the initial peers; others are discovered through heartbeats. */
  readonly seeds: readonly string[]
  readonly state: FleetState
  readonly load: EndpointLoad
  /** Prefills on decode engines. */
  readonly directPrefills: EndpointLoad
  readonly demand: PromptDemand
  readonly roleChanges: PendingRoleChanges
  /** Whether this host follows the source and its last request succeeded. */
  readonly connected: () => boolean
  readonly clock: Clock
  readonly log: GatewayLog
}

/** Called when another host has a newer configuration or newer endpoints. */
export type NewerStateListener = (hostAddress: string, heartbeat: HostHeartbeatMessage) => void

interface PeerEntry {
  lastReceivedMs: number
  born: number
  seq: number
  live: boolean
  zone: string
  connected: boolean
}

/**
 * Sends heartbeats with the state of this host to all other hosts as UDP datagrams, and receives theirs. A change of load is sent
 * as soon as the rate limit allows it, and a heartbeat is sent at least once per heartbeat interval. Each datagram holds the whole
 * state, so that the next one makes up for a lost one.
 */
export class HostHeartbeats {
  private readonly _context: HostHeartbeatsContext
  private readonly _startedAtMs = Date.now()
  private readonly _peers = new Map<string, PeerEntry>()
  private readonly _newerStateListeners: NewerStateListener[] = []
  private readonly _socket: Socket = createSocket('udp4')
  private _seq = 0
  private _sendTimer: NodeJS.Timeout | undefined
  private _leaving = false
  private readonly _rateLimiter = new HostHeartbeatRateLimiter()
  private _sampleStart = 0

  /**
   * @param context - Dependencies.
   */
  constructor (context: HostHeartbeatsContext) {
    this._context = context
    context.seeds.filter(ip => ip !== context.address).forEach(ip => this._peerEntry(ip))
  }

  /** IP addresses of the peers that sent a heartbeat within the timeout. */
  get livePeers (): readonly string[] {
    return [...this._peers].filter(([, peer]) => peer.live).map(([ip]) => ip)
  }

  /** Zone and source connection of each live peer. */
  get readers (): readonly SourceReader[] {
    return [...this._peers].filter(([, peer]) => peer.live).map(([address, { zone, connected }]) => ({ address, zone, connected }))
  }

  /** Whether this host is the leader: it has the lowest address of the live hosts, and these are a majority of all hosts. */
  get isLeader (): boolean {
    const live = this.livePeers
    return !this._leaving && 2 * (live.length + 1) > this.hostCount && live.every(ip => this._context.address < ip)
  }

  /** Number of hosts that may be serving requests, this one included. */
  get hostCount (): number {
    return this._peers.size + 1
  }

  /**
   * Adds a listener for newer state on other hosts.
   *
   * @param listener - Called when another host has a newer configuration or newer endpoints.
   */
  onNewerState (listener: NewerStateListener): void {
    this._newerStateListeners.push(listener)
  }

  /**
   * Starts to receive and to send heartbeats.
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
    signal.addEventListener('abort', () => { clearInterval(timer); this._socket.close() }, { once: true })
    this._send(true)
  }

  /** Sends a heartbeat as soon as the rate limit allows it. Called when the load of this host changes. */
  scheduleSend (): void {
    this._sendTimer ??= setTimeout(() => this._send(false), this._rateLimiter.untilNextMs(this._peers.size, this._context.clock.nowMs()))
  }

  /** Sends a heartbeat at once. */
  sendNow (): void {
    setImmediate(() => this._send(false))
  }

  /** Sends a heartbeat that announces the shutdown of this host. */
  leave (): void {
    this._leaving = true
    this._send(false)
  }

  private _tick (): void {
    const nowMs = this._context.clock.nowMs()
    this._peers.forEach((peer, ip) => this._checkPeer(ip, peer, nowMs))
    if (this._rateLimiter.isDue(this._peers.size, nowMs)) this._send(this._context.state.config === undefined)
  }

  private _checkPeer (ip: string, peer: PeerEntry, nowMs: number): void {
    const sinceHeartbeatMs = nowMs - peer.lastReceivedMs
    if (peer.live && sinceHeartbeatMs > this._rateLimiter.peerTimeoutMs(this._peers.size)) this._markUnreachable(ip, peer, sinceHeartbeatMs)
    if (sinceHeartbeatMs > PEER_FORGET_MS && !this._context.seeds.includes(ip)) this._peers.delete(ip)
  }

  private _markUnreachable (ip: string, peer: PeerEntry, sinceHeartbeatMs: number): void {
    peer.live = false
    this._context.load.forget(ip)
    this._context.directPrefills.forget(ip)
    this._context.demand.update(ip, [])
    this._context.roleChanges.update(ip, [])
    this._context.log.stateChange('host is silent', { peer: ip, silentMs: Math.round(sinceHeartbeatMs) })
  }

  private _send (requestReply: boolean): void {
    clearTimeout(this._sendTimer)
    this._sendTimer = undefined
    this._rateLimiter.recordSent(this._context.clock.nowMs())
    const bytes = Buffer.from(JSON.stringify(this._message(requestReply, this._hostSample())))
    this._peers.forEach((_, ip) => this._sendTo(ip, bytes))
  }

  private _sendTo (ip: string, bytes: Buffer): void {
    this._socket.send(bytes, this._context.listen.port, ip, err => {
      if (err !== null && err !== undefined) this._context.log.warn('heartbeat not sent', { peer: ip, reason: err.message })
    })
  }

  /** Returns a sample of the live peers; successive calls rotate through all of them. */
  private _hostSample (): readonly string[] {
    const live = this.livePeers
    if (live.length <= HOSTS_PER_HEARTBEAT) return live
    this._sampleStart = (this._sampleStart + HOSTS_PER_HEARTBEAT) % live.length
    return [...live, ...live].slice(this._sampleStart, this._sampleStart + HOSTS_PER_HEARTBEAT)
  }

  private _message (ask: boolean, hosts: readonly string[]): HostHeartbeatMessage {
    this._seq += 1
    const { address, zone, connected, state, load, directPrefills, demand, roleChanges, clock } = this._context
    return {
      from: address,
      zone,
      connected: connected(),
      born: this._startedAtMs,
      seq: this._seq,
      config: state.version,
      revision: state.directory.revision,
      load: toTuples(load),
      reading: toTuples(directPrefills),
      demand: demand.own(clock.nowMs()).map(({ service, promptRate, kvRate, waitingTokens }) => [service, round(promptRate), round(kvRate), waitingTokens]),
      changing: [...roleChanges.own(clock.nowMs())],
      fence: roleChanges.highestFencingToken,
      hosts: [...hosts],
      ask,
      leaving: this._leaving
    }
  }

  private _receive (bytes: Buffer): void {
    const heartbeat = parseHostHeartbeat(bytes)
    if (heartbeat === undefined) {
      this._context.log.warn('malformed heartbeat', { bytes: bytes.length })
      return
    }
    if (heartbeat.from !== this._context.address) this._apply(heartbeat)
  }

  private _apply (heartbeat: HostHeartbeatMessage): void {
    const isKnownPeer = this._peers.has(heartbeat.from)
    const peer = this._peerEntry(heartbeat.from)
    if (!isNewerHostHeartbeat(heartbeat, peer, peer.live)) return
    if (!peer.live) this._context.log.stateChange('host heard', { peer: heartbeat.from, config: heartbeat.config, revision: heartbeat.revision })
    Object.assign(peer, { born: heartbeat.born, seq: heartbeat.seq, zone: heartbeat.zone, connected: heartbeat.connected, live: true, lastReceivedMs: this._context.clock.nowMs() })
    this._context.load.update(heartbeat.from, heartbeat.load.map(toShare))
    this._context.directPrefills.update(heartbeat.from, heartbeat.reading.map(toShare))
    this._context.demand.update(heartbeat.from, heartbeat.demand.map(([service, promptRate, kvRate, waitingTokens]) => ({ service, promptRate, kvRate, waitingTokens })))
    this._context.roleChanges.update(heartbeat.from, heartbeat.changing)
    this._context.roleChanges.observeFencingToken(heartbeat.fence)
    heartbeat.hosts.filter(ip => ip !== this._context.address).forEach(ip => this._peerEntry(ip))
    if (heartbeat.ask || !isKnownPeer) this._sendTo(heartbeat.from, Buffer.from(JSON.stringify(this._message(false, this.livePeers))))
    this._notifyIfNewer(heartbeat)
  }

  private _notifyIfNewer (heartbeat: HostHeartbeatMessage): void {
    const { state } = this._context
    if (heartbeat.config <= state.version && heartbeat.revision <= state.directory.revision) return
    this._newerStateListeners.forEach(listener => listener(heartbeat.from, heartbeat))
  }

  private _peerEntry (ip: string): PeerEntry {
    const peer = this._peers.get(ip) ?? { lastReceivedMs: this._context.clock.nowMs(), born: 0, seq: 0, live: false, zone: '', connected: false }
    this._peers.set(ip, peer)
    return peer
  }
}

function toTuples (load: EndpointLoad): HostHeartbeatMessage['load'] {
  return load.own().map(({ endpointId, requests, tokens }) => [endpointId, requests, tokens])
}

function toShare ([endpointId, requests, tokens]: HostHeartbeatMessage['load'][number]): LoadShare {
  return { endpointId, requests, tokens }
}

function round (rate: number): number {
  return Math.round(rate * 100) / 100
}
