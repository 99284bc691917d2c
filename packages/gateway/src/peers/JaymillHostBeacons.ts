import { createSocket, type Socket } from 'node:dgram'
import { once } from 'node:events'
import type { Clock, EndpointLoad, PromptDemand, StageChanges } from '@jaymill/core'
import type { SocketAddress } from '@jaymill/settings'
import type { FleetState } from '../fleet/JaymillFleetState.js'
import type { GatewayLog } from '../logging/JaymillGatewayLog.js'
import { BEACON_GATHER_MS, BEACON_INTERVAL_MS, PEER_FORGET_MS, PEER_SILENT_MS } from './constants.js'
import { parseBeacon, type Beacon } from './JaymillBeaconMessage.js'

/** What the beacons work with. */
export interface HostBeaconsParts {
  readonly address: string
  readonly listen: SocketAddress
  /** IP numbers to start from. */
  readonly seeds: readonly string[]
  readonly state: FleetState
  readonly load: EndpointLoad
  readonly demand: PromptDemand
  readonly changes: StageChanges
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
}

/**
 * Tells all hosts of the fleet what this one does and knows, by datagrams: its work at each endpoint as soon as it changes,
 * and at the latest after an interval. A lost datagram is made up for by the next, since each holds the whole state.
 */
export class HostBeacons {
  private readonly _parts: HostBeaconsParts
  private readonly _born = Date.now()
  private readonly _peers = new Map<string, PeerEntry>()
  private readonly _newerListeners: NewerListener[] = []
  private readonly _socket: Socket = createSocket('udp4')
  private _seq = 0
  private _gathering = false
  private _leaving = false
  private _lastSentMs = Number.NEGATIVE_INFINITY

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
    const timer = setInterval(() => this._tick(), BEACON_INTERVAL_MS / 3)
    signal.addEventListener('abort', () => { clearInterval(timer); this._socket.close() }, { once: true })
    this._send(true)
  }

  /** Tells the other hosts soon that this host's work has changed. */
  loadChanged (): void {
    if (this._gathering) return
    this._gathering = true
    setTimeout(() => { this._gathering = false; this._send(false) }, BEACON_GATHER_MS)
  }

  /** Tells the other hosts that this one is about to stop. */
  leave (): void {
    this._leaving = true
    this._send(false)
  }

  private _tick (): void {
    const nowMs = this._parts.clock.nowMs()
    this._peers.forEach((peer, ip) => this._age(ip, peer, nowMs))
    if (nowMs - this._lastSentMs >= BEACON_INTERVAL_MS) this._send(this._parts.state.config === undefined)
  }

  private _age (ip: string, peer: PeerEntry, nowMs: number): void {
    const silentMs = nowMs - peer.heardMs
    if (peer.live && silentMs > PEER_SILENT_MS) this._lost(ip, peer, silentMs)
    if (silentMs > PEER_FORGET_MS && !this._parts.seeds.includes(ip)) this._peers.delete(ip)
  }

  private _lost (ip: string, peer: PeerEntry, silentMs: number): void {
    peer.live = false
    this._parts.load.forget(ip)
    this._parts.demand.adopt(ip, [])
    this._parts.changes.adopt(ip, [])
    this._parts.log.belief('host is silent', { peer: ip, silentMs: Math.round(silentMs) })
  }

  private _send (ask: boolean): void {
    this._lastSentMs = this._parts.clock.nowMs()
    const bytes = Buffer.from(JSON.stringify(this._beacon(ask)))
    this._peers.forEach((_, ip) => this._sendTo(ip, bytes))
  }

  private _sendTo (ip: string, bytes: Buffer): void {
    this._socket.send(bytes, this._parts.listen.port, ip, err => {
      if (err !== null && err !== undefined) this._parts.log.warn('beacon not sent', { peer: ip, reason: err.message })
    })
  }

  private _beacon (ask: boolean): Beacon {
    this._seq += 1
    const { address, state, load, demand, changes, clock } = this._parts
    return {
      from: address,
      born: this._born,
      seq: this._seq,
      config: state.version,
      revision: state.directory.revision,
      load: load.own().map(({ endpointId, requests, tokens }) => [endpointId, requests, tokens]),
      demand: demand.own(clock.nowMs()).map(({ service, promptRate, kvRate, waitingTokens }) => [service, round(promptRate), round(kvRate), waitingTokens]),
      changing: [...changes.own(clock.nowMs())],
      hosts: [...this.live],
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
    if (beacon.born < peer.born || (beacon.born === peer.born && beacon.seq <= peer.seq)) return
    if (!peer.live) this._parts.log.belief('host heard', { peer: beacon.from, config: beacon.config, revision: beacon.revision })
    Object.assign(peer, { born: beacon.born, seq: beacon.seq, live: true, heardMs: this._parts.clock.nowMs() })
    this._parts.load.adopt(beacon.from, beacon.load.map(([endpointId, requests, tokens]) => ({ endpointId, requests, tokens })))
    this._parts.demand.adopt(beacon.from, beacon.demand.map(([service, promptRate, kvRate, waitingTokens]) => ({ service, promptRate, kvRate, waitingTokens })))
    this._parts.changes.adopt(beacon.from, beacon.changing)
    beacon.hosts.filter(ip => ip !== this._parts.address).forEach(ip => this._entry(ip))
    if (beacon.ask || !known) this._sendTo(beacon.from, Buffer.from(JSON.stringify(this._beacon(false))))
    this._compare(beacon)
  }

  private _compare (beacon: Beacon): void {
    const { state } = this._parts
    if (beacon.config <= state.version && beacon.revision <= state.directory.revision) return
    this._newerListeners.forEach(listener => listener(beacon.from, beacon))
  }

  private _entry (ip: string): PeerEntry {
    const peer = this._peers.get(ip) ?? { heardMs: this._parts.clock.nowMs(), born: 0, seq: 0, live: false }
    this._peers.set(ip, peer)
    return peer
  }
}

function round (rate: number): number {
  return Math.round(rate * 100) / 100
}
