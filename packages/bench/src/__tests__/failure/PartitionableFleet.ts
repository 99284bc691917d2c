import { setMaxListeners } from 'node:events'
import { AddressInfo, connect, createServer, Server, Socket } from 'node:net'
import { HostState, KeyOwner, KeyOwnerSnapshot, ownerIn } from '@jaymill/core'
import { createHostLogger, Daemon } from '@jaymill/daemon'
import { parseHostSettings } from '@jaymill/settings'
import { v7 as mintKey } from 'uuid'
import { DemoCaller } from '../../demo/JaymillDemoCaller.js'
import { demoFleet } from '../../demo/JaymillDemoDocuments.js'
import { DEMO_ADMIN_TOKEN } from '../../demo/JaymillDemoFleet.js'
import { until } from '../../demo/JaymillUntil.js'
import { FakeConfigServer } from '../../standins/JaymillFakeConfigServer.js'
import { FakeServiceServer } from '../../standins/JaymillFakeServiceServer.js'

const COLD_START_DELAY_MS = 500
const UNUSED_URL = 'http://127.0.0.1:9'

interface RunningHost {
  /** Absent when the host runs in its own process. */
  readonly daemon?: Daemon
  readonly urls: { readonly caller: string, readonly admin: string, readonly peer: string }
}

/** TCP relay between two hosts whose connections can be cut. */
class Relay {
  private readonly _sockets = new Set<Socket>()
  private readonly _server: Server
  private _cut = false

  constructor (target: string, signal: AbortSignal) {
    const { hostname, port } = new URL(target)
    this._server = createServer(inbound => {
      if (this._cut) return inbound.destroy()
      const outbound = connect(Number(port), hostname)
      ;[inbound, outbound].forEach(socket => {
        this._sockets.add(socket)
        socket.on('error', () => {}).on('close', () => [inbound, outbound].forEach(end => end.destroy()))
      })
      inbound.pipe(outbound).pipe(inbound)
    })
    this._server.listen(0, '127.0.0.1')
    signal.addEventListener('abort', () => { this._server.close(); this.cut(true) })
  }

  get url (): string {
    return `http://127.0.0.1:${(this._server.address() as AddressInfo).port}`
  }

  cut (cut: boolean): void {
    this._cut = cut
    if (cut) this._sockets.forEach(socket => socket.destroy())
  }
}

/** Hosts whose connections to each other can be cut, and to which different host lists can be published. */
export class PartitionableFleet {
  readonly configServer = new FakeConfigServer()
  readonly service: FakeServiceServer
  readonly hosts = new Map<string, RunningHost>()
  private readonly _relays = new Map<string, Relay>()
  private readonly _signal: AbortSignal

  constructor (signal: AbortSignal, latencyMs = 5) {
    this._signal = signal
    setMaxListeners(0, signal)
    this.service = new FakeServiceServer(latencyMs)
  }

  async startServers (): Promise<void> {
    await Promise.all([this.configServer.start(this._signal), this.service.start(this._signal)])
    this.configServer.publish('jaymill/fleet', demoFleet(1, {
      prefill: [UNUSED_URL], decode: ['http://127.0.0.1:10'], counter: [this.service.url]
    }))
  }

  async start (ids: readonly string[]): Promise<void> {
    await Promise.all(ids.filter(id => !this.hosts.has(id)).map(async id => await this.addHost(id)))
    await this.publish(1, ids, ids, Date.now() + COLD_START_DELAY_MS)
    await this.awaitKeyOwnership(ids)
    await Promise.all(ids.map(async id => await until(`${id} serves lookups`, async () => (await this.caller(id).stock('skates')).status === 200)))
  }

  settings (id: string): object {
    const listener = { address: '127.0.0.1', port: 0 }
    return {
      host: { id, zone: 'brest', region: 'brittany' },
      listen: { caller: listener, peer: listener, admin: listener, metrics: listener },
      platform: { kind: 'http', url: this.configServer.url, hostsKey: `hosts-${id}` },
      credentials: { peerToken: { value: 'demo-peer' }, adminToken: { value: DEMO_ADMIN_TOKEN } }
    }
  }

  async addHost (id: string): Promise<void> {
    const daemon = new Daemon(parseHostSettings(JSON.stringify(this.settings(id)), id), createHostLogger('error', id))
    this._signal.addEventListener('abort', () => daemon.kill())
    this._relayPeerCalls(id, daemon)
    const urls = await daemon.start()
    this.hosts.set(id, { daemon, urls })
  }

  async publish (
    revision: number, members: readonly string[], recipients: readonly string[], coldStartAtMs?: number,
    leaving: readonly string[] = []
  ): Promise<void> {
    const cold = coldStartAtMs === undefined ? {} : { coldStart: { revision, atMs: coldStartAtMs } }
    const state = (id: string): HostState => leaving.includes(id) ? HostState.Leaving : HostState.Live
    const hosts = members.map(id => ({
      id, zone: 'brest', region: 'brittany', peerUrl: this.hosts.get(id)?.urls.peer, state: state(id)
    }))
    recipients.forEach(id => this.configServer.publish(`hosts-${id}`, { revision, hosts, leavingEndpoints: [], ...cold }))
  }

  setPartitioned (side: readonly string[], partitioned: boolean): void {
    this._relays.forEach((relay, name) => {
      const [from, to] = name.split('>') as [string, string]
      if (side.includes(from) !== side.includes(to)) relay.cut(partitioned)
    })
  }

  caller (id: string): DemoCaller {
    return new DemoCaller(this.hosts.get(id)?.urls.caller ?? '')
  }

  /** Mints keys until the host owns one. */
  mintKeyOwnedBy (id: string, owners: readonly string[]): string {
    const key = mintKey()
    const list = { revision: 1, members: owners, owners }
    return ownerIn(`kerbrat/${key}`, list) === id ? key : this.mintKeyOwnedBy(id, owners)
  }

  countRuns (key: string): number {
    return this.service.bookings.filter(({ idempotencyKey }) => idempotencyKey === key).length
  }

  /** Waits until hosts hold the lease of their host list and can run requests under keys minted from now on. */
  async awaitKeyOwnership (ids: readonly string[], revision = 1): Promise<void> {
    await Promise.all(ids.map(async id => await until(`${id} owns keys under ${revision}`, async () => {
      const { activeRevision, leaseLeftMs, takeOverMs } = await this.status(id)
      return activeRevision >= revision && leaseLeftMs > 0 && takeOverMs !== null && takeOverMs < Date.now()
    })))
  }

  async status (id: string): Promise<KeyOwnerSnapshot> {
    const res = await fetch(`${this.hosts.get(id)?.urls.admin ?? ''}/status`, {
      headers: { Authorization: `Bearer ${DEMO_ADMIN_TOKEN}` }
    })
    const { idempotency } = await res.json() as { idempotency?: KeyOwnerSnapshot }
    return idempotency ?? new KeyOwner({
      self: id, incarnation: 1, startedAt: { nowMs: 0, wallMs: 0 }
    }).snapshot({ nowMs: 0, wallMs: 0 })
  }

  /** Routes the calls of a host to other hosts through relays. */
  private _relayPeerCalls (from: string, daemon: Daemon): void {
    const { peers } = daemon['_ctx']
    const direct = peers.clientAt.bind(peers)
    peers.clientAt = (to, url) => direct(to, this._relay(from, to, url).url)
  }

  private _relay (from: string, to: string, target: string): Relay {
    const name = `${from}>${to}`
    const relay = this._relays.get(name) ?? new Relay(target, this._signal)
    this._relays.set(name, relay)
    return relay
  }
}
