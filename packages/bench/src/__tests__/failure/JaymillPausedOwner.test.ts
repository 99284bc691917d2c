import { ChildProcess, execFileSync, spawn } from 'node:child_process'
import { once } from 'node:events'
import { mkdtempSync, rmSync, writeFileSync } from 'node:fs'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { createInterface } from 'node:readline'
import { afterAll, beforeAll, describe, expect, test } from 'vitest'
import { until } from '../../demo/JaymillUntil.js'
import { SplitFleet } from './SplitFleet.js'

const IDS = ['host-1', 'host-2', 'host-3']
const REST = ['host-2', 'host-3']
const START_MS = 90_000
const owner = new AbortController()
const fleet = new SplitFleet(owner.signal, 100)
const directory = mkdtempSync(join(tmpdir(), 'jaymill-'))
let paused: ChildProcess

beforeAll(async () => {
  execFileSync(process.execPath, ['node_modules/typescript/bin/tsc', '-b'])
  await fleet.open()
  const file = join(directory, 'host-1.json')
  writeFileSync(file, JSON.stringify(fleet.settings('host-1')))
  paused = spawn(process.execPath, ['packages/daemon/dist/main.js', file], { stdio: ['ignore', 'pipe', 'ignore'] })
  const [line] = await once(createInterface({ input: paused.stdout as NodeJS.ReadableStream }), 'line') as [string]
  fleet.hosts.set('host-1', { urls: JSON.parse(line) as { caller: string, admin: string, peer: string } })
  await fleet.start(IDS)
}, START_MS)

afterAll(() => {
  paused.kill('SIGKILL')
  owner.abort()
  rmSync(directory, { recursive: true })
})

describe('an owner that is paused in mid-request and wakes under the old list', () => {
  test('runs nothing that its successors may have run', async () => {
    const key = fleet.keyOf('host-1', IDS)
    const first = fleet.caller('host-2').book('guide', key)
    await until('booking runs', () => fleet.service.received.some(call => call.idempotencyKey === key))
    paused.kill('SIGSTOP')
    await fleet.publish(2, REST, REST)
    await fleet.ownKeys(REST, 2)
    const fresh = fleet.keyOf('host-1', IDS)
    expect((await fleet.caller('host-3').book('guide', fresh)).status).toBe(201)
    const resent = await Promise.all(REST.map(async id => await fleet.caller(id).book('guide', key)))
    paused.kill('SIGCONT')
    const woken = await Promise.all([key, fresh].map(async item => await fleet.caller('host-1').book('guide', item)))
    expect(resent.map(({ body }) => body.ran)).toEqual(['unknown', 'unknown'])
    expect(woken.map(({ body }) => body.ran)).not.toContain('no')
    expect((await first).body).not.toMatchObject({ ran: 'no' })
    expect([fleet.runs(key), fleet.runs(fresh)]).toEqual([1, 1])
  })
})
