import { ChildProcess, execFileSync, spawn } from 'node:child_process'
import { once } from 'node:events'
import { mkdtempSync, rmSync, writeFileSync } from 'node:fs'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { createInterface } from 'node:readline'
import { afterAll, beforeAll, describe, expect, test } from 'vitest'
import { until } from '../../demo/JaymillUntil.js'
import { PartitionableFleet } from './PartitionableFleet.js'

const IDS = ['host-1', 'host-2', 'host-3']
const REMAINING = ['host-2', 'host-3']
const START_TIMEOUT_MS = 90_000
const controller = new AbortController()
const fleet = new PartitionableFleet(controller.signal, 100)
const directory = mkdtempSync(join(tmpdir(), 'jaymill-'))
let paused: ChildProcess

beforeAll(async () => {
  execFileSync(process.execPath, ['node_modules/typescript/bin/tsc', '-b'])
  await fleet.startServers()
  const file = join(directory, 'host-1.json')
  writeFileSync(file, JSON.stringify(fleet.settings('host-1')))
  paused = spawn(process.execPath, ['packages/daemon/dist/main.js', file], { stdio: ['ignore', 'pipe', 'ignore'] })
  const [line] = await once(createInterface({ input: paused.stdout as NodeJS.ReadableStream }), 'line') as [string]
  fleet.hosts.set('host-1', { urls: JSON.parse(line) as { caller: string, admin: string, peer: string } })
  await fleet.start(IDS)
}, START_TIMEOUT_MS)

afterAll(() => {
  paused.kill('SIGKILL')
  controller.abort()
  rmSync(directory, { recursive: true })
})

describe('a key owner that is paused in mid-request and resumes under the old host list', () => {
  test('runs nothing that its successors may have run', async () => {
    const key = fleet.mintKeyOwnedBy('host-1', IDS)
    const first = fleet.caller('host-2').book('guide', key)
    await until('booking runs', () => fleet.service.received.some(call => call.idempotencyKey === key))
    paused.kill('SIGSTOP')
    await fleet.publish(2, REMAINING, REMAINING)
    await fleet.awaitKeyOwnership(REMAINING, 2)
    const newKey = fleet.mintKeyOwnedBy('host-1', IDS)
    expect((await fleet.caller('host-3').book('guide', newKey)).status).toBe(201)
    const retries = await Promise.all(REMAINING.map(async id => await fleet.caller(id).book('guide', key)))
    paused.kill('SIGCONT')
    const resumed = await Promise.all([key, newKey].map(async item => await fleet.caller('host-1').book('guide', item)))
    expect(retries.map(({ body }) => body.ran)).toEqual(['unknown', 'unknown'])
    expect(resumed.map(({ body }) => body.ran)).not.toContain('no')
    expect((await first).body).not.toMatchObject({ ran: 'no' })
    expect([fleet.countRuns(key), fleet.countRuns(newKey)]).toEqual([1, 1])
  })
})
