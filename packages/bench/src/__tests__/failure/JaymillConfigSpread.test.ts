import { Writable } from 'node:stream'
import { Daemon, DaemonUrls } from '@jaymill/daemon'
import { parseHostSettings } from '@jaymill/settings'
import { createLogger, transports } from 'winston'
import { afterAll, beforeAll, expect, test } from 'vitest'
import { DEMO_API_KEY, demoFleet, demoHosts } from '../../demo/JaymillDemoDocuments.js'
import { until } from '../../demo/JaymillUntil.js'
import { PlatformStandIn } from '../../standins/JaymillPlatformStandIn.js'

const owner = new AbortController()
const LISTENER = { address: '127.0.0.1', port: 0 }
const ENDPOINTS = { prefill: ['http://127.0.0.1:1'], decode: ['http://127.0.0.1:2'], counter: ['http://127.0.0.1:3'] }

interface Status {
  readonly fleetRevision: number
  readonly hostListRevision: number
  readonly configuration: { readonly gate: { readonly reason?: string }, readonly conflicts: ReadonlyArray<{ revision: number, source: string }> }
  readonly hosts: ReadonlyArray<{ readonly id: string, readonly status: string }>
}

/** A host with a view of the platform of its own. */
class Host {
  readonly platform = new PlatformStandIn()
  readonly lines: Array<Record<string, unknown>> = []
  urls!: DaemonUrls
  daemon!: Daemon

  constructor (readonly id: string, readonly zone: string) {}

  async start (): Promise<this> {
    await this.platform.start(owner.signal)
    return await this.run()
  }

  async run (): Promise<this> {
    const stream = new Writable({ write: (line, _encoding, done) => { this.lines.push(JSON.parse(String(line))); done() } })
    const settings = {
      host: { id: this.id, zone: this.zone, region: 'brittany' },
      listen: { caller: LISTENER, peer: LISTENER, admin: LISTENER, metrics: LISTENER },
      platform: { kind: 'http', url: this.platform.url, maxBackoffMs: 100 },
      credentials: { peerToken: { value: 'peer' }, adminToken: { value: 'admin' } }
    }
    this.daemon = new Daemon(parseHostSettings(JSON.stringify(settings), this.id), createLogger({ transports: [new transports.Stream({ stream })] }))
    this.urls = await this.daemon.start()
    return this
  }

  publish (fleet: number, list: number, leaving: readonly string[] = [], linkNote = 0): void {
    const cfg = demoFleet(fleet, ENDPOINTS)
    this.platform.publish('jaymill/fleet', linkNote === 0 ? cfg : { ...cfg, models: [] })
    const entries = trio.map(({ id, zone, urls }) => ({ id, zone, peerUrl: urls.peer }))
    this.platform.publish('jaymill/hosts', { ...demoHosts(list, entries), leavingEndpoints: leaving })
  }

  async status (): Promise<Status> {
    return await (await fetch(`${this.urls.admin}/status`, { headers: { Authorization: 'Bearer admin' } })).json() as Status
  }

  async ready (): Promise<boolean> {
    return (await fetch(`${this.urls.admin}/readyz`)).ok
  }

  async has (fleet: number, list: number): Promise<boolean> {
    const { fleetRevision, hostListRevision } = await this.status()
    return fleetRevision === fleet && hostListRevision === list
  }
}

const [a, b, c] = [new Host('a', 'brest'), new Host('b', 'rennes'), new Host('c', 'lorient')]
const trio = [a, b, c]

beforeAll(async () => {
  await Promise.all(trio.map(host => host.start()))
  trio.forEach(host => host.publish(1, 1))
  await until('all ready', async () => (await Promise.all(trio.map(host => host.ready()))).every(Boolean))
})
afterAll(() => {
  trio.forEach(({ daemon }) => daemon.kill())
  owner.abort()
})

test('newer documents travel from host to host while the platform is down, leaving endpoints included', async () => {
  b.platform.setDown(true)
  c.platform.setDown(true)
  a.publish(2, 2, ['decode-1'])
  await until('in force everywhere', async () => (await Promise.all(trio.map(host => host.has(2, 2)))).every(Boolean), 5_000)
})

test('a platform that comes back with an older value, or with another text, changes nothing and is reported', async () => {
  b.publish(1, 1, ['decode-2'])
  b.platform.setDown(false)
  await until('older refused', () => b.lines.some(({ outcome }) => outcome === 'older'))
  b.publish(2, 2, [], 1)
  await until('conflict refused', () => b.lines.some(({ outcome, document }) => outcome === 'conflict' && document === 'fleet'))
  expect(await b.has(2, 2)).toBe(true)
  expect((await b.status()).configuration.conflicts[0]).toMatchObject({ revision: 2, source: 'platform' })
})

test('a fresh host with a stale platform is never ready under the older revision', async () => {
  c.daemon.kill()
  c.platform.setDown(false)
  c.publish(1, 1)
  c.lines.length = 0
  await c.run()
  const seen: Array<readonly [boolean, number]> = []
  await until('ready', async () => {
    const ready = await c.ready()
    seen.push([ready, (await c.status()).fleetRevision])
    return ready
  })
  expect(seen.filter(([ready, revision]) => ready && revision < 2)).toEqual([])
  expect(c.lines.filter(({ message }) => message === 'configuration adopted').map(({ document, revision }) => [document, revision])).toContainEqual(['fleet', 1])
})

test('a host that stops is known to be leaving at once', async () => {
  a.daemon.stop().catch(() => undefined)
  await until('leaving', () => b.lines.some(({ message, hostId, status }) => message === 'host changed' && hostId === 'a' && status === 'leaving'))
})

test('a fresh host in a partition serves nothing and says why', async () => {
  trio.forEach(({ daemon }) => daemon.kill())
  await b.run()
  await until('documents read', async () => await b.has(2, 2))
  expect(await b.ready()).toBe(false)
  expect((await b.status()).configuration.gate).toMatchObject({ open: false, reason: 'too-few-answers', answers: 0, needed: 2 })
  const res = await fetch(`${b.urls.caller}/v1/completions`, { method: 'POST', body: '{}', headers: { Authorization: `Bearer ${DEMO_API_KEY}` } })
  expect([res.status, await res.json()]).toMatchObject([503, { title: 'not-ready', ran: 'no' }])
})
