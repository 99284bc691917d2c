import { mkdtempSync, rmSync, writeFileSync } from 'node:fs'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { PassThrough } from 'node:stream'
import { parseHostSettings, SettingsError } from '@jaymill/settings'
import { generate } from 'selfsigned'
import { Agent, request } from 'undici'
import { afterAll, expect, test } from 'vitest'
import { Daemon } from '../../JaymillDaemon.js'
import { createHostLogger } from '../../logging/JaymillLogger.js'

const dir = mkdtempSync(join(tmpdir(), 'jaymill-tls-'))
afterAll(() => rmSync(dir, { recursive: true }))
const listener = { address: '127.0.0.1', port: 0 }

function daemonWith (keyPath: string, certPath: string): Daemon {
  const settings = parseHostSettings(JSON.stringify({
    host: { id: 'h1', zone: 'brest', region: 'b' },
    listen: { caller: listener, peer: listener, admin: listener, metrics: listener },
    platform: { kind: 'file', fleetPath: join(dir, 'none'), hostsPath: join(dir, 'none') },
    credentials: { peerToken: { value: 'p' }, adminToken: { value: 'a' } },
    tls: { keyPath, certPath }
  }), 'host')
  return new Daemon(settings, createHostLogger('error', 'h1', new PassThrough().resume()))
}

test('the admin listener accepts only TLS and uses the certificate from the settings', async () => {
  const altNames = [{ type: 7 as const, ip: '127.0.0.1' }]
  const pem = await generate([{ name: 'commonName', value: 'h1' }], { extensions: [{ name: 'subjectAltName', altNames }] })
  const [keyPath, certPath] = [join(dir, 'key.pem'), join(dir, 'cert.pem')]
  writeFileSync(keyPath, pem.private)
  writeFileSync(certPath, pem.cert)
  const daemon = daemonWith(keyPath, certPath)
  const { admin } = await daemon.start()
  expect(admin).toMatch(/^https:/)
  const trustingAgent = new Agent({ connect: { ca: pem.cert } })
  expect((await request(`${admin}/livez`, { dispatcher: trustingAgent })).statusCode).toBe(200)
  await expect(request(`${admin}/livez`)).rejects.toThrow(/self-signed|self signed/)
  await expect(request(`${admin.replace('https', 'http')}/livez`)).rejects.toThrow()
  await trustingAgent.close()
  daemon.kill()
})

test('an unreadable TLS file is reported as a settings error', () => {
  expect(() => daemonWith(join(dir, 'no-key'), join(dir, 'no-cert'))).toThrow(SettingsError)
})
