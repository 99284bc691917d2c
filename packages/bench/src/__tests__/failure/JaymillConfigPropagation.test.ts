import { Writable } from 'node:stream'
import { Daemon, DaemonUrls } from '@jaymill/daemon'
import { parseHostSettings } from '@jaymill/settings'
import { createLogger, transports } from 'winston'
import { afterAll, beforeAll, expect, test } from 'vitest'
import { DEMO_API_KEY, demoFleet, demoHosts } from '../../demo/JaymillDemoDocuments.js'
import { until } from '../../demo/JaymillUntil.js'
import { FakeConfigServer } from '../../standins/JaymillFakeConfigServer.js'

const controller = new AbortController()
const LISTENER = { address: '127.0.0.1', port: 0 }
const ENDPOINTS = { prefill: ['http://127.0.0.1:1'], decode: ['http://127.0.0.1:2'], counter: ['http://127.0.0.1:3'] }

interface Status {
  readonly fleetRevision: number
  readonly hostListRevision: number
  readonly configuration: { readonly gate: { readonly reason?: string }, readonly conflicts: ReadonlyArray<{ revision: number, source: string }> }
  readonly hosts: ReadonlyArray<{ readonly id: string, readonly status: string }>
}

/** Host with its own configuration source. */
class TestHost {
  readonly configServer = new FakeConfigServer()
  readonly logLines: Array<Record<string, unknown>> = []
  urls!: DaemonUrls
  daemon!: Daemon

  constructor (readonly id: string, readonly zone: string) {}

  async start (): Promise<this> {
    await this.configServer.start(controller.signal)
    return await this.startDaemon()
  }

  async startDaemon (): Promise<this> {
    const stream = new Writable({ write: (line, _encoding, done) => { this.logLines.push(JSON.parse(String(line))); done() } })
    const settings = {
      host: { id: this.id, zone: this.zone, region: 'brittany' },
      listen: { caller: LISTENER, peer: LISTENER, admin: LISTENER, metrics: LISTENER },
      platform: { kind: 'http', url: this.configServer.url, maxBackoffMs: 100 },
      credentials: { peerToken: { value: 'peer' }, adminToken: { value: 'admin' } }
    }
    this.daemon = new Daemon(
      parseHostSettings(JSON.stringify(settings), this.id), createLogger({ transports: [new transports.Stream({ stream })] })
    )
    this.urls = await this.daemon.start()
    return this
  }

  publish (fleet: number, hostList: number, leaving: readonly string[] = [], variant = 0): void {
    const cfg = demoFleet(fleet, ENDPOINTS)
    this.configServer.publish('jaymill/fleet', variant === 0 ? cfg : { ...cfg, models: [] })
    const entries = allHosts.map(({ id, zone, urls }) => ({ id, zone, peerUrl: urls.peer }))
    this.configServer.publish('jaymill/hosts', { ...demoHosts(hostList, entries), leavingEndpoints: leaving })
  }

  async status (): Promise<Status> {
    return await (await fetch(`${this.urls.admin}/status`, { headers: { Authorization: 'Bearer admin' } })).json() as Status
  }

  async ready (): Promise<boolean> {
    return (await fetch(`${this.urls.admin}/readyz`)).ok
  }

  async hasRevisions (fleet: number, hostList: number): Promise<boolean> {
    const { fleetRevision, hostListRevision } = await this.status()
    return fleetRevision === fleet && hostListRevision === hostList
  }
}

const [a, b, c] = [new TestHost('a', 'brest'), new TestHost('b', 'rennes'), new TestHost('c', 'lorient')]
const allHosts = [a, b, c]

beforeAll(async () => {
  await Promise.all(allHosts.map(host => host.start()))
  allHosts.forEach(host => host.publish(1, 1))
  await until('all ready', async () => (await Promise.all(allHosts.map(host => host.ready()))).every(Boolean))
})
afterAll(() => {
  allHosts.forEach(({ daemon }) => daemon.kill())
  controller.abort()
})

test('newer documents, including leaving endpoints, spread between hosts while the configuration source is down', async () => {
  b.configServer.setDown(true)
  c.configServer.setDown(true)
  a.publish(2, 2, ['decode-1'])
  await until('active on every host', async () => (await Promise.all(allHosts.map(host => host.hasRevisions(2, 2)))).every(Boolean), 5_000)
})

test('a configuration source that recovers with an older revision or other content changes nothing and is reported', async () => {
  b.publish(1, 1, ['decode-2'])
  b.configServer.setDown(false)
  await until('older refused', () => b.logLines.some(({ outcome }) => outcome === 'older'))
  b.publish(2, 2, [], 1)
  await until('conflict refused', () => b.logLines.some(({ outcome, document }) => outcome === 'conflict' && document === 'fleet'))
  expect(await b.hasRevisions(2, 2)).toBe(true)
  expect((await b.status()).configuration.conflicts[0]).toMatchObject({ revision: 2, source: 'platform' })
})

test('a new host with a stale configuration source is never ready under the older revision', async () => {
  c.daemon.kill()
  c.configServer.setDown(false)
  c.publish(1, 1)
  c.logLines.length = 0
  await c.startDaemon()
  const samples: Array<readonly [boolean, number]> = []
  await until('ready', async () => {
    const ready = await c.ready()
    samples.push([ready, (await c.status()).fleetRevision])
    return ready
  })
  expect(samples.filter(([ready, revision]) => ready && revision < 2)).toEqual([])
  expect(
    c.logLines.filter(({ message }) => message === 'configuration adopted').map(({ document, revision }) => [document, revision])
  ).toContainEqual(['fleet', 1])
})

test('a host that stops is reported as leaving at once', async () => {
  a.daemon.stop().catch(() => undefined)
  await until('leaving', () => b.logLines.some(({ message, hostId, status }) => message === 'host changed' && hostId === 'a' && status === 'leaving'))
})

test('a new host in a network partition serves nothing and reports the reason', async () => {
  allHosts.forEach(({ daemon }) => daemon.kill())
  await b.startDaemon()
  await until('documents read', async () => await b.hasRevisions(2, 2))
  expect(await b.ready()).toBe(false)
  expect((await b.status()).configuration.gate).toMatchObject({ open: false, reason: 'too-few-answers', answers: 0, needed: 2 })
  const res = await fetch(`${b.urls.caller}/v1/completions`, {
    method: 'POST', body: '{}', headers: { Authorization: `Bearer ${DEMO_API_KEY}` }
  })
  expect([res.status, await res.json()]).toMatchObject([503, { title: 'not-ready', ran: 'no' }])
})
