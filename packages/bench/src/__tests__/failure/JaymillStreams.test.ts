import { afterEach, beforeEach, describe, expect, test } from 'vitest'
import { CompletionResponse, DemoCaller } from '../../demo/JaymillDemoCaller.js'
import { DEMO_ADMIN_TOKEN, DemoFleet } from '../../demo/JaymillDemoFleet.js'
import { isExpectedResponse } from '../../demo/JaymillDemoScenarios.js'
import { until } from '../../demo/JaymillUntil.js'
import type { FakeEngineServer } from '../../standins/JaymillFakeEngineServer.js'

const TOKENS = 60
/** Lifetime of prefill results, in milliseconds: longer than any test, so that only a cancel frees them. */
const KV_TTL_MS = 600_000
const PROMPT = 'Wear report 7: front points worn by two millimetres.'

let controller: AbortController
let fleet: DemoFleet
let caller: DemoCaller

async function startFleet (decode: number): Promise<void> {
  fleet = new DemoFleet({ hosts: 1, prefill: 2, decode, services: 1, engine: { kvTtlMs: KV_TTL_MS } })
  await fleet.start(controller.signal)
  caller = new DemoCaller(fleet.hosts[0]?.urls.caller ?? '')
}

beforeEach(() => { controller = new AbortController() })
afterEach(() => controller.abort())

const busyEngine = (): FakeEngineServer | undefined => fleet.decode.find(engine => engine.running > 0)
const engines = (): FakeEngineServer[] => [...fleet.prefill, ...fleet.decode]
const totalHeldPieces = (): number => engines().reduce((sum, engine) => sum + engine.heldPieces, 0)
const problemTitle = (response: CompletionResponse): unknown => (response.problem as { title?: string } | undefined)?.title
const onTenthEvent = (action: () => void) => (count: number): void => { if (count === 10) action() }

async function admin (path: string, method = 'GET'): Promise<{ status: number, body: Record<string, never[]> }> {
  const headers = { Authorization: `Bearer ${DEMO_ADMIN_TOKEN}` }
  const res = await fetch(`${fleet.hosts[0]?.urls.admin ?? ''}${path}`, { method, headers })
  return { status: res.status, body: await res.json() as Record<string, never[]> }
}

async function countReceived (engine: FakeEngineServer): Promise<number> {
  const state = await (await fetch(`${engine.url}/state`)).json() as { received: unknown[] }
  return state.received.length
}

describe('responses stay complete, in order and without repeated tokens', () => {
  test('a stalled connection is resumed on a new connection to the same endpoint', async () => {
    await startFleet(2)
    const response = await caller.stream(PROMPT, TOKENS, { onEvent: onTenthEvent(() => busyEngine()?.mute()) })
    expect(isExpectedResponse(PROMPT, TOKENS, response)).toBe(true)
    const counts = await Promise.all(fleet.decode.map(countReceived))
    expect(counts.reduce((sum, count) => sum + count, 0)).toBe(1)
  })

  test.each(['kill', 'freeze'] as const)('a stream whose decode endpoint fails (%s) moves to another endpoint', async failure => {
    await startFleet(2)
    const response = await caller.stream(PROMPT, TOKENS, { onEvent: onTenthEvent(() => busyEngine()?.[failure]()) })
    expect(isExpectedResponse(PROMPT, TOKENS, response)).toBe(true)
  })

  test('the crash of an endpoint with many streams fails none of them, although the others are nearly full', async () => {
    await startFleet(3)
    const prompts = Array.from({ length: 45 }, (_, i) => `${PROMPT} ${i}`)
    const running = prompts.map(async prompt => await caller.stream(prompt, 400))
    await until('streams run', () => fleet.decode.reduce((sum, engine) => sum + engine.running, 0) === 45)
    fleet.decode[0]?.kill()
    const responses = await Promise.all(running)
    expect(responses.map(response => response.problem).filter(problem => problem !== undefined)).toEqual([])
    expect(responses.filter((response, i) => isExpectedResponse(prompts[i] ?? '', 400, response))).toHaveLength(45)
  })

  test('a request that a full engine refuses with 429 runs on another engine', async () => {
    await startFleet(2)
    fleet.decode[0]?.refuse(1)
    expect(isExpectedResponse(PROMPT, TOKENS, await caller.stream(PROMPT, TOKENS))).toBe(true)
    expect(await Promise.all(fleet.decode.map(countReceived))).toEqual([1, 1])
  })

  test('a stalled transfer is cancelled, memory on both sides is freed and the response is still complete', async () => {
    await startFleet(2)
    fleet.prefill[0]?.stallTransfers(true)
    const responses = await Promise.all([1, 2].map(async () => await caller.stream(PROMPT, TOKENS)))
    expect(responses.map(response => response.problem)).toEqual([undefined, undefined])
    expect(responses.map(response => isExpectedResponse(PROMPT, TOKENS, response))).toEqual([true, true])
    await until('memory freed', () => totalHeldPieces() === 0)
  })

  test('a retry takes over the response after its last event id, and the model runs once', async () => {
    await startFleet(1)
    const headers = { 'Idempotency-Key': 'verdict-1' }
    let retry: Promise<CompletionResponse> | undefined
    const onEvent = onTenthEvent(() => {
      retry = caller.stream(PROMPT, TOKENS, { headers: { ...headers, 'Last-Event-ID': '10' } })
    })
    const first = await caller.stream(PROMPT, TOKENS, { headers, onEvent })
    const second = await retry
    expect([problemTitle(first), first.complete, second?.complete]).toEqual(['superseded', false, true])
    expect(second?.ids).toEqual(Array.from({ length: TOKENS - 10 }, (_, i) => i + 11))
    const replay = await caller.stream(PROMPT, TOKENS, { headers })
    expect(isExpectedResponse(PROMPT, TOKENS, replay)).toBe(true)
    expect(await countReceived(fleet.decode[0] as FakeEngineServer)).toBe(1)
  })

  test('a caller that reconnects after a disconnect continues from the stored tokens', async () => {
    await startFleet(1)
    const disconnect = new AbortController()
    const headers = { 'Idempotency-Key': 'verdict-2' }
    const onEvent = onTenthEvent(() => disconnect.abort())
    await expect(caller.stream(PROMPT, TOKENS, { headers, onEvent, signal: disconnect.signal })).rejects.toThrow()
    await until('memory freed', () => totalHeldPieces() === 0)
    const response = await caller.stream(PROMPT, TOKENS, { headers: { ...headers, 'Last-Event-ID': '10' } })
    expect([response.complete, response.ids[0], response.ids.length]).toEqual([true, 11, TOKENS - 10])
  })
})

describe('engine memory of a request whose caller has disconnected is freed', () => {
  const phases: Array<[string, () => void, () => boolean]> = [
    [
      'prefill',
      () => fleet.prefill.forEach(engine => engine.slow(100_000)),
      () => fleet.prefill.some(engine => engine.running > 0)
    ],
    [
      'transfer',
      () => fleet.prefill.forEach(engine => engine.stallTransfers(true)),
      () => totalHeldPieces() > 0 && fleet.prefill.every(engine => engine.running === 0)
    ],
    [
      'decode',
      () => fleet.decode.forEach(engine => engine.slow(1_000)),
      () => fleet.decode.some(engine => engine.running > 0)
    ]
  ]
  test.each(phases)('during %s', async (_phase, prepare, reached) => {
    await startFleet(1)
    prepare()
    const disconnect = new AbortController()
    const running = caller.stream(PROMPT, TOKENS, { signal: disconnect.signal }).catch((err: unknown) => err)
    await until('phase reached', reached)
    disconnect.abort()
    await running
    await until('memory freed', () => totalHeldPieces() === 0 && engines().every(engine => engine.running === 0))
    await until('request ended', async () => (await admin('/status')).body.running as unknown === 0)
  })
})

describe('requests that crash endpoints', () => {
  test('one is quarantined after two crashes, concurrent requests finish, and an operator can clear it', async () => {
    await startFleet(4)
    fleet.decode.forEach(engine => engine.crashOn('poison'))
    const otherPrompts = ['a', 'b', 'c', 'd'].map(name => `${PROMPT} ${name}`)
    const running = otherPrompts.map(prompt => caller.stream(prompt, 400))
    await until('concurrent requests run', () => fleet.decode.filter(engine => engine.running > 0).length === 4)
    const poison = await caller.stream('poison', TOKENS)
    expect(problemTitle(poison)).toBe('quarantined')
    expect(problemTitle(await caller.stream('poison', TOKENS))).toBe('quarantined')
    const responses = await Promise.all(running)
    expect(responses.map((response, i) => isExpectedResponse(otherPrompts[i] ?? '', 400, response))).toEqual([true, true, true, true])
    const { suspects } = (await admin('/quarantine')).body as unknown as {
      suspects: Array<{ fingerprint: string, refused: boolean, deaths: unknown[] }>
    }
    expect(suspects.map(({ refused, deaths }) => [refused, deaths.length])).toEqual([[true, 2]])
    expect((await admin(`/quarantine/${suspects[0]?.fingerprint ?? ''}`, 'DELETE')).status).toBe(200)
    expect((await admin('/quarantine')).body.suspects).toEqual([])
  })
})
