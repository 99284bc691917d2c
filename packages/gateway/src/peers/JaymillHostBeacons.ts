import { createSocket, type Socket } from 'node:dgram'
import { once } from 'node:events'
import { BeaconPace, isNewerBeacon, type Clock, type EndpointLoad, type LoadShare, type PromptDemand, type SourceReader, type StageChanges } from '@jaymill/core'
import type { SocketAddress } from '@jaymill/settings'
import type { FleetState } from '../fleet/JaymillFleetState.js'
import type { GatewayLog } from '../logging/JaymillGatewayLog.js'
import { BEACON_CHECK_MS, HOSTS_PER_BEACON, PEER_FORGET_MS } from './constants.js'
import { parseBeacon, type Beacon } from './JaymillBeaconMessage.js'

/** What the beacons work with. */
export interface HostBeaconsParts {
  readonly address: string
  readonly zone: string
  readonly listen: SocketAddress
  /** IP numbers to start from. */
  readonly seeds: readonly string[]
  readonly state: FleetState
  readonly load: EndpointLoad
  /** Prompts that decode engines read. */
  readonly directReads: EndpointLoad
  readonly demand: PromptDemand
  readonly changes: StageChanges
  /** Whether this host follows the source and is answered. */
  readonly connected: () => boolean
  readonly clock: Clock
  readonly log: GatewayLog
}

/** Called when another host knows something newer. */
export type NewerListener = (hostAddress: string, beacon: Beacon) => void

interface PeerEntry {
  heardMs: number
  born: number
  seq: number
  live: boolean
  zone: string
  connected: boolean
}

/**
 * Tells all hosts of the fleet what this one does and knows, by datagrams: its work at each endpoint as soon as it changes
 * and the pace allows it, and at the latest after an interval. A lost datagram is made up for by the next, since each holds the whole state.
 */
export class HostBeacons {
  private readonly _parts: HostBeaconsParts
  private readonly _born = Date.now()
  private readonly _peers = new Map<string, PeerEntry>()
  private readonly _newerListeners: NewerListener[] = []
  private readonly _socket: Socket = createSocket('udp4')
  private _seq = 0
  private _gathering: NodeJS.Timeout | undefined
  private _leaving = false
  private readonly _pace = new BeaconPace()
  private _firstTold = 0

  /**
   * @param parts - Address, state and load of this host.
   */
  constructor (parts: HostBeaconsParts) {
    this._parts = parts
    parts.seeds.filter(ip => ip !== parts.address).forEach(ip => this._entry(ip))
  }

  /** IP numbers of the other hosts that were heard lately. */
  get live (): readonly string[] {
    return [...this._peers].filter(([, peer]) => peer.live).map(([ip]) => ip)
  }

  /** What the hosts that were heard lately have told of themselves and the source. */
  get readers (): readonly SourceReader[] {
    return [...this._peers].filter(([, peer]) => peer.live).map(([address, { zone, connected }]) => ({ address, zone, connected }))
  }

  /** Whether this host has the lowest address of those that hear each other, and these are most of the hosts. */
  get leads (): boolean {
    const live = this.live
    return !this._leaving && 2 * (live.length + 1) > this.hosts && live.every(ip => this._parts.address < ip)
  }

  /** Hosts that may be serving, this one included. */
  get hosts (): number {
    return this._peers.size + 1
  }

  /**
   * @param listener - Called when another host has a newer configuration or newer endpoints.
   */
  onNewer (listener: NewerListener): void {
    this._newerListeners.push(listener)
  }

  /**
   * Starts to listen and to send.
   *
   * @param signal - Ends both.
   */
  async start (signal: AbortSignal): Promise<void> {
    const { listen, log } = this._parts
    this._socket.on('message', bytes => this._receive(bytes))
    this._socket.on('error', err => log.warn('beacon socket failed', { reason: err.message }))
    this._socket.bind(listen.port, listen.address)
    await once(this._socket, 'listening', { signal })
    const timer = setInterval(() => this._tick(), BEACON_CHECK_MS)
    signal.addEventListener('abort', () => { clearInterval(timer); this._socket.close() }, { once: true })
    this._send(true)
  }

  /** Tells the other hosts, as soon as the pace allows it, that this host's work has changed. */
  loadChanged (): void {
    this._gathering ??= setTimeout(() => this._send(false), this._pace.untilNextMs(this._peers.size, this._parts.clock.nowMs()))
  }

  /** Tells the other hosts at once what this host knows. */
  tellNow (): void {
    setImmediate(() => this._send(false))
  }

  /** Tells the other hosts that this one is about to stop. */
  leave (): void {
    this._leaving = true
    this._send(false)
  }

  private _tick (): void {
    const nowMs = this._parts.clock.nowMs()
    this._peers.forEach((peer, ip) => this._age(ip, peer, nowMs))
    if (this._pace.due(this._peers.size, nowMs)) this._send(this._parts.state.config === undefined)
  }

  private _age (ip: string, peer: PeerEntry, nowMs: number): void {
    const silentMs = nowMs - peer.heardMs
    if (peer.live && silentMs > this._pace.silentMs(this._peers.size)) this._lost(ip, peer, silentMs)
    if (silentMs > PEER_FORGET_MS && !this._parts.seeds.includes(ip)) this._peers.delete(ip)
  }

  private _lost (ip: string, peer: PeerEntry, silentMs: number): void {
    peer.live = false
    this._parts.load.forget(ip)
    this._parts.directReads.forget(ip)
    this._parts.demand.adopt(ip, [])
    this._parts.changes.adopt(ip, [])
    this._parts.log.belief('host is silent', { peer: ip, silentMs: Math.round(silentMs) })
  }

  private _send (ask: boolean): void {
    clearTimeout(this._gathering)
    this._gathering = undefined
    this._pace.sent(this._parts.clock.nowMs())
    const bytes = Buffer.from(JSON.stringify(this._beacon(ask, this._someHosts())))
    this._peers.forEach((_, ip) => this._sendTo(ip, bytes))
  }

  private _sendTo (ip: string, bytes: Buffer): void {
    this._socket.send(bytes, this._parts.listen.port, ip, err => {
      if (err !== null && err !== undefined) this._parts.log.warn('beacon not sent', { peer: ip, reason: err.message })
    })
  }

  /** Some of the hosts that were heard lately, others each time. */
  private _someHosts (): readonly string[] {
    const live = this.live
    if (live.length <= HOSTS_PER_BEACON) return live
    this._firstTold = (this._firstTold + HOSTS_PER_BEACON) % live.length
    return [...live, ...live].slice(this._firstTold, this._firstTold + HOSTS_PER_BEACON)
  }

  private _beacon (ask: boolean, hosts: readonly string[]): Beacon {
    this._seq += 1
    const { address, zone, connected, state, load, directReads, demand, changes, clock } = this._parts
    return {
      from: address,
      zone,
      connected: connected(),
      born: this._born,
      seq: this._seq,
      config: state.version,
      revision: state.directory.revision,
      load: toTuples(load),
      reading: toTuples(directReads),
      demand: demand.own(clock.nowMs()).map(({ service, promptRate, kvRate, waitingTokens }) => [service, round(promptRate), round(kvRate), waitingTokens]),
      changing: [...changes.own(clock.nowMs())],
      fence: changes.highestFence,
      hosts: [...hosts],
      ask,
      leaving: this._leaving
    }
  }

  private _receive (bytes: Buffer): void {
    const beacon = parseBeacon(bytes)
    if (beacon === undefined) {
      this._parts.log.warn('datagram is no beacon', { bytes: bytes.length })
      return
    }
    if (beacon.from !== this._parts.address) this._adopt(beacon)
  }

  private _adopt (beacon: Beacon): void {
    const known = this._peers.has(beacon.from)
    const peer = this._entry(beacon.from)
    if (!isNewerBeacon(beacon, peer, peer.live)) return
    if (!peer.live) this._parts.log.belief('host heard', { peer: beacon.from, config: beacon.config, revision: beacon.revision })
    Object.assign(peer, { born: beacon.born, seq: beacon.seq, zone: beacon.zone, connected: beacon.connected, live: true, heardMs: this._parts.clock.nowMs() })
    this._parts.load.adopt(beacon.from, beacon.load.map(toShare))
    this._parts.directReads.adopt(beacon.from, beacon.reading.map(toShare))
    this._parts.demand.adopt(beacon.from, beacon.demand.map(([service, promptRate, kvRate, waitingTokens]) => ({ service, promptRate, kvRate, waitingTokens })))
    this._parts.changes.adopt(beacon.from, beacon.changing)
    this._parts.changes.adoptFence(beacon.fence)
    beacon.hosts.filter(ip => ip !== this._parts.address).forEach(ip => this._entry(ip))
    if (beacon.ask || !known) this._sendTo(beacon.from, Buffer.from(JSON.stringify(this._beacon(false, this.live))))
    this._compare(beacon)
  }

  private _compare (beacon: Beacon): void {
    const { state } = this._parts
    if (beacon.config <= state.version && beacon.revision <= state.directory.revision) return
    this._newerListeners.forEach(listener => listener(beacon.from, beacon))
  }

  private _entry (ip: string): PeerEntry {
    const peer = this._peers.get(ip) ?? { heardMs: this._parts.clock.nowMs(), born: 0, seq: 0, live: false, zone: '', connected: false }
    this._peers.set(ip, peer)
    return peer
  }
}

function toTuples (load: EndpointLoad): Beacon['load'] {
  return load.own().map(({ endpointId, requests, tokens }) => [endpointId, requests, tokens])
}

function toShare ([endpointId, requests, tokens]: Beacon['load'][number]): LoadShare {
  return { endpointId, requests, tokens }
}

function round (rate: number): number {
  return Math.round(rate * 100) / 100
}
