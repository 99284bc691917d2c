import { once } from 'node:events'
import { mkdtempSync, readFileSync, rmSync, writeFileSync } from 'node:fs'
import { createServer, type IncomingMessage, type ServerResponse } from 'node:http'
import type { AddressInfo } from 'node:net'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { BurnRecorder, ServiceLevel } from '@jaymill/core'
import { afterAll, beforeAll, describe, expect, test } from 'vitest'
import { ExitCode } from '../../JaymillExitCode.js'
import { runProgram } from '../../JaymillProgram.js'
import { Terminal } from '../../JaymillTerminal.js'

class TestTerminal extends Terminal {
  readonly out: string[] = []
  readonly diagnostics: string[] = []

  constructor (private readonly _env: Record<string, string> = {}) {
    super()
  }

  print (text: string): void { this.out.push(text) }
  printDiagnostic (text: string): void { this.diagnostics.push(text) }
  env (name: string): string | undefined { return this._env[name] }
}

const dir = mkdtempSync(join(tmpdir(), 'jaymill-cli-'))
const file = (name: string, text: string): string => {
  writeFileSync(join(dir, name), text)
  return join(dir, name)
}
const FLEET = { revision: 1, pools: [], routes: [{ id: 'stock', class: 'lookup', idempotent: false, ttftMs: 1, deadlineMs: 1 }], accounts: [] }
const good = file('good.json', JSON.stringify(FLEET))
const risky = file('risky.json', JSON.stringify({ ...FLEET, revision: 2, routes: [{ ...FLEET.routes[0], idempotent: true }] }))
const broken = file('broken.jsonc', '{\n  // no revision\n  "pols": [],\n  "routes": [{}]\n}')

const burn = new BurnRecorder()
Array.from({ length: 30 }, () => burn.record({ routeId: 'stock', accountId: '<b>', level: ServiceLevel.Failed }, 0))
const RESPONSES: Record<string, unknown> = {
  '/status': { host: { id: 'h1', zone: 'brest' }, ready: false, draining: false, fleetRevision: 1, hostListRevision: 1, running: 0 },
  '/endpoints': { endpoints: [{ id: 'e1', poolId: 'p', role: 'service', zone: 'brest', leaving: false, slots: 2, runningHere: 1 }] },
  '/requests?state=ended': { matching: 0, requests: [] },
  '/requests/r%201/explain': { requestId: 'r 1', accountId: 'a', routeId: 'stock', state: 'failed', tokens: 0, decisions: [{ atMs: 1, event: 'admit', reason: 'admitted' }] },
  '/burn?limit=50': burn.report(0, 50),
  '/drain': { draining: true },
  '/quarantine': { suspects: [{ fingerprint: 'f1', refused: true, deaths: [{ endpointId: 'd1' }, { endpointId: 'd2' }] }] },
  '/quarantine/f1': { cleared: true }
}
const serve = (req: IncomingMessage, res: ServerResponse): void => {
  const body = RESPONSES[req.url ?? '']
  const status = req.headers.authorization !== 'Bearer right' ? 401 : body === undefined ? 404 : 200
  res.writeHead(status).end(JSON.stringify(body ?? {}))
}
const server = createServer(serve)
let env: Record<string, string>

beforeAll(async () => {
  server.listen(0, '127.0.0.1')
  await once(server, 'listening')
  env = { JAYMILL_ADMIN: `http://127.0.0.1:${(server.address() as AddressInfo).port}`, JAYMILL_ADMIN_TOKEN: 'right' }
})
afterAll(() => {
  server.close()
  rmSync(dir, { recursive: true })
})

async function run (args: string[], variables: Record<string, string> = env) {
  const terminal = new TestTerminal(variables)
  const code = await runProgram(args, terminal)
  return { code, out: terminal.out.join('\n'), diagnostics: terminal.diagnostics.join('\n') }
}

describe('exit codes', () => {
  test.each<[string[], ExitCode]>([
    [['check', good], ExitCode.Ok],
    [['check', '--json', good], ExitCode.Ok],
    [['check', broken], ExitCode.Problems],
    [['check', join(dir, 'none')], ExitCode.Usage],
    [['check', good, '--kind', 'novel'], ExitCode.Usage],
    [['check'], ExitCode.Usage],
    [['diff', good, good], ExitCode.Ok],
    [['diff', good, risky], ExitCode.Problems],
    [['diff', good, broken], ExitCode.Usage],
    [['stauts'], ExitCode.Usage],
    [['status', '--jsn'], ExitCode.Usage],
    [['status', '--timeout', 'soon'], ExitCode.Usage],
    [['status'], ExitCode.Problems],
    [['endpoints'], ExitCode.Ok],
    [['requests', '--state', 'ended'], ExitCode.Ok],
    [['explain', 'r 1'], ExitCode.Ok],
    [['explain', 'nobody'], ExitCode.NotFound],
    [['burn'], ExitCode.Problems],
    [['drain'], ExitCode.Ok],
    [['quarantine'], ExitCode.Problems],
    [['quarantine', '--clear', 'f1'], ExitCode.Ok],
    [['quarantine', '--clear', 'f2'], ExitCode.NotFound],
    [['status', '--token', 'wrong'], ExitCode.Unauthorized],
    [['status', '--admin', 'http://127.0.0.1:1'], ExitCode.Unreachable],
    [['status', '--admin', 'nonsense'], ExitCode.Usage]
  ])('%j exits with %i', async (args, code) => {
    const result = await run(args)
    expect(result.code).toBe(code)
    expect(`${result.out}${result.diagnostics}`).not.toMatch(/\n\s+at /)
  })

  test('requires address and token, and never prints the token', async () => {
    expect((await run(['status'], {})).code).toBe(ExitCode.Usage)
    expect((await run(['status'], { JAYMILL_ADMIN: env.JAYMILL_ADMIN ?? '' })).code).toBe(ExitCode.Usage)
    expect((await run(['status', '--token', 'wrong'])).diagnostics).not.toContain('wrong ')
  })

  test('uses the hosts that respond and reports the one that does not', async () => {
    const result = await run(['endpoints', '--json', '--admin', `${env.JAYMILL_ADMIN},http://127.0.0.1:1,${env.JAYMILL_ADMIN}`])
    expect(result.code).toBe(ExitCode.Unreachable)
    expect(JSON.parse(result.out)).toMatchObject([{ id: 'e1', runningHere: 2 }])
    expect(result.diagnostics).toContain('http://127.0.0.1:1 does not answer')
  })
})

test('check prints every problem with its line', async () => {
  const { out } = await run(['check', broken])
  const lines = out.split('\n').map(line => line.slice(broken.length + 1))
  expect(lines.filter(line => line.startsWith('1:1: '))).toHaveLength(3)
  expect(lines).toContain('3:3: pols: unknown key; did you mean "pools"?')
  expect(lines.filter(line => line.startsWith('4:14: routes[0].'))).toHaveLength(5)
})

test('burn escapes markup in names', async () => {
  const [svg, html] = [join(dir, 'burn.svg'), join(dir, 'burn.html')]
  await run(['burn', '--svg', svg, '--html', html])
  expect(readFileSync(svg, 'utf8')).toContain('&#60;b&#62; on stock [fast]')
  expect(readFileSync(html, 'utf8')).not.toContain('<b>')
})
