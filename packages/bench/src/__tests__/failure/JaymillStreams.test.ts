import { afterEach, beforeEach, describe, expect, test } from 'vitest'
import { DemoCaller, StreamedAnswer } from '../../demo/JaymillDemoCaller.js'
import { DEMO_ADMIN_TOKEN, DemoFleet } from '../../demo/JaymillDemoFleet.js'
import { isWhole } from '../../demo/JaymillDemoScenarios.js'
import { until } from '../../demo/JaymillUntil.js'
import type { EngineStandIn } from '../../standins/JaymillEngineStandIn.js'

const TOKENS = 60
/** Life of prefill results, longer than any test, so that only a cancel frees them. */
const KEPT_MS = 600_000
const PROMPT = 'Wear report 7: front points worn by two millimetres.'

let owner: AbortController
let fleet: DemoFleet
let caller: DemoCaller

async function startFleet (decode: number): Promise<void> {
  fleet = new DemoFleet({ hosts: 1, prefill: 2, decode, services: 1, engine: { kvTtlMs: KEPT_MS } })
  await fleet.start(owner.signal)
  caller = new DemoCaller(fleet.hosts[0]?.urls.caller ?? '')
}

beforeEach(() => { owner = new AbortController() })
afterEach(() => owner.abort())

const busy = (): EngineStandIn | undefined => fleet.decode.find(engine => engine.running > 0)
const engines = (): EngineStandIn[] => [...fleet.prefill, ...fleet.decode]
const held = (): number => engines().reduce((sum, engine) => sum + engine.heldPieces, 0)
const kindOf = (answer: StreamedAnswer): unknown => (answer.problem as { title?: string } | undefined)?.title
const tenth = (act: () => void) => (count: number): void => { if (count === 10) act() }

async function admin (path: string, method = 'GET'): Promise<{ status: number, body: Record<string, never[]> }> {
  const headers = { Authorization: `Bearer ${DEMO_ADMIN_TOKEN}` }
  const res = await fetch(`${fleet.hosts[0]?.urls.admin ?? ''}${path}`, { method, headers })
  return { status: res.status, body: await res.json() as Record<string, never[]> }
}

async function runs (engine: EngineStandIn): Promise<number> {
  const state = await (await fetch(`${engine.url}/state`)).json() as { received: unknown[] }
  return state.received.length
}

describe('answers stay complete, in order and single', () => {
  test('a connection that goes silent is read on from a new one, on the same endpoint', async () => {
    await startFleet(2)
    const answer = await caller.stream(PROMPT, TOKENS, { onEvent: tenth(() => busy()?.mute()) })
    expect(isWhole(PROMPT, TOKENS, answer)).toBe(true)
    const counts = await Promise.all(fleet.decode.map(runs))
    expect(counts.reduce((sum, count) => sum + count, 0)).toBe(1)
  })

  test.each(['kill', 'freeze'] as const)('a decode endpoint lost in mid-stream (%s) is left for another one', async how => {
    await startFleet(2)
    const answer = await caller.stream(PROMPT, TOKENS, { onEvent: tenth(() => busy()?.[how]()) })
    expect(isWhole(PROMPT, TOKENS, answer)).toBe(true)
  })

  test('an endpoint that dies with many answers costs none of them, though the others are nearly full', async () => {
    await startFleet(3)
    const prompts = Array.from({ length: 45 }, (_, i) => `${PROMPT} ${i}`)
    const running = prompts.map(async prompt => await caller.stream(prompt, 400))
    await until('answers run', () => fleet.decode.reduce((sum, engine) => sum + engine.running, 0) === 45)
    fleet.decode[0]?.kill()
    const answers = await Promise.all(running)
    expect(answers.map(answer => answer.problem).filter(problem => problem !== undefined)).toEqual([])
    expect(answers.filter((answer, i) => isWhole(prompts[i] ?? '', 400, answer))).toHaveLength(45)
  })

  test('a full engine that answers 429 is left for another one', async () => {
    await startFleet(2)
    fleet.decode[0]?.refuse(1)
    expect(isWhole(PROMPT, TOKENS, await caller.stream(PROMPT, TOKENS))).toBe(true)
    expect(await Promise.all(fleet.decode.map(runs))).toEqual([1, 1])
  })

  test('a stalled transfer is given up, both sides are freed and the answer is still whole', async () => {
    await startFleet(2)
    fleet.prefill[0]?.stallTransfers(true)
    const answers = await Promise.all([1, 2].map(async () => await caller.stream(PROMPT, TOKENS)))
    expect(answers.map(answer => answer.problem)).toEqual([undefined, undefined])
    expect(answers.map(answer => isWhole(PROMPT, TOKENS, answer))).toEqual([true, true])
    await until('memory freed', () => held() === 0)
  })

  test('a resend takes the answer over after its last id, and the model runs once', async () => {
    await startFleet(1)
    const headers = { 'Idempotency-Key': 'verdict-1' }
    let resend: Promise<StreamedAnswer> | undefined
    const onEvent = tenth(() => { resend = caller.stream(PROMPT, TOKENS, { headers: { ...headers, 'Last-Event-ID': '10' } }) })
    const first = await caller.stream(PROMPT, TOKENS, { headers, onEvent })
    const second = await resend
    expect([kindOf(first), first.complete, second?.complete]).toEqual(['superseded', false, true])
    expect(second?.ids).toEqual(Array.from({ length: TOKENS - 10 }, (_, i) => i + 11))
    const replay = await caller.stream(PROMPT, TOKENS, { headers })
    expect(isWhole(PROMPT, TOKENS, replay)).toBe(true)
    expect(await runs(fleet.decode[0] as EngineStandIn)).toBe(1)
  })

  test('a caller who left and comes back continues from the tokens that are there', async () => {
    await startFleet(1)
    const hangUp = new AbortController()
    const headers = { 'Idempotency-Key': 'verdict-2' }
    const onEvent = tenth(() => hangUp.abort())
    await expect(caller.stream(PROMPT, TOKENS, { headers, onEvent, signal: hangUp.signal })).rejects.toThrow()
    await until('memory freed', () => held() === 0)
    const answer = await caller.stream(PROMPT, TOKENS, { headers: { ...headers, 'Last-Event-ID': '10' } })
    expect([answer.complete, answer.ids[0], answer.ids.length]).toEqual([true, 11, TOKENS - 10])
  })
})

describe('engine memory of a caller who has gone is freed', () => {
  const stages: Array<[string, () => void, () => boolean]> = [
    ['prefill', () => fleet.prefill.forEach(engine => engine.slow(100_000)), () => fleet.prefill.some(engine => engine.running > 0)],
    ['transfer', () => fleet.prefill.forEach(engine => engine.stallTransfers(true)), () => held() > 0 && fleet.prefill.every(engine => engine.running === 0)],
    ['decode', () => fleet.decode.forEach(engine => engine.slow(1_000)), () => fleet.decode.some(engine => engine.running > 0)]
  ]
  test.each(stages)('during %s', async (_stage, prepare, reached) => {
    await startFleet(1)
    prepare()
    const hangUp = new AbortController()
    const running = caller.stream(PROMPT, TOKENS, { signal: hangUp.signal }).catch((err: unknown) => err)
    await until('stage reached', reached)
    hangUp.abort()
    await running
    await until('memory freed', () => held() === 0 && engines().every(engine => engine.running === 0))
    await until('request ended', async () => (await admin('/status')).body.running as unknown === 0)
  })
})

describe('requests that stop endpoints', () => {
  test('one is refused after two deaths, its neighbours finish, an operator clears it', async () => {
    await startFleet(4)
    fleet.decode.forEach(engine => engine.killOn('poison'))
    const innocents = ['a', 'b', 'c', 'd'].map(name => `${PROMPT} ${name}`)
    const running = innocents.map(prompt => caller.stream(prompt, 400))
    await until('neighbours run', () => fleet.decode.filter(engine => engine.running > 0).length === 4)
    const poison = await caller.stream('poison', TOKENS)
    expect(kindOf(poison)).toBe('quarantined')
    expect(kindOf(await caller.stream('poison', TOKENS))).toBe('quarantined')
    const answers = await Promise.all(running)
    expect(answers.map((answer, i) => isWhole(innocents[i] ?? '', 400, answer))).toEqual([true, true, true, true])
    const { suspects } = (await admin('/quarantine')).body as unknown as { suspects: Array<{ fingerprint: string, refused: boolean, deaths: unknown[] }> }
    expect(suspects.map(({ refused, deaths }) => [refused, deaths.length])).toEqual([[true, 2]])
    expect((await admin(`/quarantine/${suspects[0]?.fingerprint ?? ''}`, 'DELETE')).status).toBe(200)
    expect((await admin('/quarantine')).body.suspects).toEqual([])
  })
})
