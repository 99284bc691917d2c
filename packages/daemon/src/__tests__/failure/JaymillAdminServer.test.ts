import { mkdtempSync, rmSync, writeFileSync } from 'node:fs'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { PassThrough } from 'node:stream'
import { parseHostSettings } from '@jaymill/settings'
import { afterAll, beforeAll, describe, expect, test } from 'vitest'
import { Daemon, type DaemonUrls } from '../../JaymillDaemon.js'
import { createHostLogger } from '../../logging/JaymillLogger.js'

const TOKEN = 'operators-only'
const KEY_SHA256 = '85dbe15d75ef9308c7ae0f33c7a324cc6f4bf519a2ed2f3027bd33c140a4f9aa'
const listener = { address: '127.0.0.1', port: 0 }
const dir = mkdtempSync(join(tmpdir(), 'jaymill-admin-'))
const fleetPath = join(dir, 'fleet.json')
const hostsPath = join(dir, 'hosts.json')
const endpoint = { id: 'e1', url: 'http://127.0.0.1:9', zone: 'brest', slots: 2 }
const FLEET = {
  revision: 3,
  pools: [{
    id: 'desk', role: 'service', adapter: 'http', endpoints: [endpoint, { ...endpoint, id: 'e2', url: 'http://127.0.0.2:9' }]
  }],
  services: [{ id: 'desk', pool: 'desk', paths: [{ method: 'GET', path: '/stock', route: 'stock' }] }],
  routes: [{ id: 'stock', class: 'lookup', idempotent: true, ttftMs: 100, deadlineMs: 1_000 }],
  accounts: [{ id: 'kerbrat', keySha256: KEY_SHA256, requestsPerSecond: 1, tokensPerSecond: 1 }]
}

let daemon: Daemon
let urls: DaemonUrls

async function call (path: string, authorization?: string, method = 'GET') {
  const headers: Record<string, string> = authorization === undefined ? {} : { authorization }
  const res = await fetch(`${urls.admin}${path}`, { method, headers })
  return { status: res.status, body: await res.json() as any }
}

/** Polls without pauses until the host is ready, that is, both documents are active. */
async function untilReady (): Promise<void> {
  if ((await call('/readyz')).status !== 200) await untilReady()
}

beforeAll(async () => {
  writeFileSync(fleetPath, JSON.stringify(FLEET))
  writeFileSync(hostsPath, JSON.stringify({
    revision: 1, hosts: [{ id: 'h1', zone: 'brest', region: 'b', peerUrl: 'http://127.0.0.1:9' }], leavingEndpoints: ['e2']
  }))
  const settings = parseHostSettings(JSON.stringify({
    host: { id: 'h1', zone: 'brest', region: 'b' },
    listen: { caller: listener, peer: listener, admin: listener, metrics: listener },
    platform: { kind: 'file', fleetPath, hostsPath },
    credentials: { peerToken: { value: 'p' }, adminToken: { value: TOKEN } }
  }), 'host')
  daemon = new Daemon(settings, createHostLogger('error', 'h1', new PassThrough().resume()))
  urls = await daemon.start()
  await untilReady()
})

afterAll(() => {
  daemon.kill()
  rmSync(dir, { recursive: true })
})

describe('admin API', () => {
  test.each(['/status', '/endpoints', '/requests', '/burn', '/config', '/requests/x/explain', '/nowhere'])(
    '%s returns 401 without the token', async path => {
      const refusals = await Promise.all([undefined, '', 'Bearer', 'Bearer wrong', TOKEN, `Bearer ${TOKEN} `.repeat(2)]
        .map(header => call(path, header)))
      expect(refusals.map(({ status }) => status)).toEqual(Array(6).fill(401))
    })

  test('drains only with the token and POST', async () => {
    expect((await call('/drain', 'Bearer wrong', 'POST')).status).toBe(401)
    expect((await call('/drain', `Bearer ${TOKEN}`, 'GET')).status).toBe(404)
    expect((await call('/readyz')).status).toBe(200)
  })

  test('shows endpoints and the configuration without key hashes', async () => {
    const { body } = await call('/endpoints', `Bearer ${TOKEN}`)
    expect(body.endpoints.map(({ id, leaving }: any) => [id, leaving])).toEqual([['e1', false], ['e2', true]])
    const config = await call('/config', `Bearer ${TOKEN}`)
    expect(config.body.fleet.accounts[0].id).toBe('kerbrat')
    expect(JSON.stringify(config.body)).not.toContain(KEY_SHA256)
  })

  test('shows a failed request in the list, explanation, burn report and metrics', async () => {
    const headers = { authorization: 'Bearer secret-key', 'x-request-id': 'r-1' }
    expect((await fetch(`${urls.caller}/stock`, { headers })).status).toBeGreaterThanOrEqual(500)
    const list = await call('/requests?state=ended&limit=1', `Bearer ${TOKEN}`)
    expect(list.body).toMatchObject({ matching: 1, requests: [{ requestId: 'r-1', accountId: 'kerbrat' }] })
    expect((await call('/requests/r-1/explain', `Bearer ${TOKEN}`)).body.decisions.length).toBeGreaterThan(1)
    expect((await call('/burn', `Bearer ${TOKEN}`)).body.routes[0].windows[0]).toMatchObject({ total: 1, bad: 1 })
    const metrics = await (await fetch(`${urls.metrics}/metrics`)).text()
    expect(metrics).toContain('jaymill_requests_total{route="stock",class="lookup",state="failed"')
    expect(metrics).toContain('jaymill_fleet_revision 3')
    expect(metrics).toContain('jaymill_burn_rate{route="stock",window_seconds="300"} 20')
    expect(metrics).toContain('jaymill_documents_overdue 0')
  })

  test.each([['/stock', 'wrong-key'], ['/nowhere', 'secret-key'], ['/v1/completions', 'secret-key']])(
    'an entry host that refuses %s (%s) reports "not run" only for a request without an idempotency key', async (path, key) => {
      const ranOf = async (headers: Record<string, string>) => {
        const res = await fetch(`${urls.caller}${path}`, {
          method: 'POST', body: 'no JSON', headers: { authorization: `Bearer ${key}`, ...headers }
        })
        expect(res.ok).toBe(false)
        return (await res.json() as { ran: string }).ran
      }
      expect([await ranOf({}), await ranOf({ 'idempotency-key': 'k1' })]).toEqual(['no', 'unknown'])
    })

  test.each([
    ['/requests?limit=0', 400],
    ['/requests?state=lost', 400],
    ['/requests/%E0%A4%A/explain', 400],
    ['/requests/none/explain', 404]
  ])('refuses %s', async (path, status) => {
    expect((await call(path, `Bearer ${TOKEN}`)).status).toBe(status)
  })
})
