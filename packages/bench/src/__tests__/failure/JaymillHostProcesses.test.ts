import { afterEach, beforeEach, describe, expect, test } from 'vitest'
import { DemoCaller } from '../../demo/JaymillDemoCaller.js'
import { wearReport } from '../../demo/JaymillDemoReports.js'
import { isExpectedResponse } from '../../demo/JaymillDemoScenarios.js'
import { until } from '../../demo/JaymillUntil.js'
import { ProcessSite } from '../../processes/JaymillProcessSite.js'

const TOKENS = 120
const HOSTS = 3

let controller: AbortController
let site: ProcessSite

beforeEach(async () => {
  controller = new AbortController()
  site = new ProcessSite(2, {})
  await site.start(HOSTS, controller.signal)
})
afterEach(async () => {
  controller.abort()
  await Promise.all(site.hosts.map(async host => await host.exited()))
})

const callerOf = async (index: number): Promise<DemoCaller> => new DemoCaller((await site.hosts[index]?.listening())?.caller ?? '')
const heldPieces = (): number => [...site.prefill, ...site.decode].reduce((sum, { heldPieces }) => sum + heldPieces, 0)

describe('a host process', () => {
  test('that receives SIGTERM finishes its streams, refuses new requests as not run and exits with 0', async () => {
    const caller = await callerOf(0)
    const prompts = [wearReport(1), wearReport(2)]
    const started = new Set<string>()
    const running = prompts.map(async prompt => await caller.stream(prompt, TOKENS, { onEvent: () => started.add(prompt) }))
    await until('streams started', () => started.size === prompts.length)
    site.hosts[0]?.signal('SIGTERM')
    await until('host not ready', async () => !(await fetch(`${(await site.hosts[0]?.listening())?.admin ?? ''}/readyz`)).ok)
    const lateResponse = await caller.stream(wearReport(3), TOKENS)
    expect(lateResponse.problem).toMatchObject({ type: 'urn:jaymill:error:stopping', ran: 'no' })
    const responses = await Promise.all(running)
    expect(responses.map((response, i) => isExpectedResponse(prompts[i] ?? '', TOKENS, response))).toEqual([true, true])
    expect(await site.hosts[0]?.exited()).toBe(0)
  })

  test('whose caller disconnects frees engine memory', async () => {
    const disconnect = new AbortController()
    const caller = await callerOf(1)
    const onEvent = (count: number): void => { if (count === 3) disconnect.abort() }
    await caller.stream(wearReport(4), 5_000, { onEvent, signal: disconnect.signal }).catch(() => undefined)
    await until('pieces freed', () => heldPieces() === 0)
    expect(site.decode.some(({ running }) => running > 0)).toBe(false)
  })

  test('that is killed leaves no engine memory allocated, because the other hosts cancel its requests', async () => {
    const caller = await callerOf(2)
    const onEvent = (count: number): void => { if (count === 3) site.hosts[2]?.signal('SIGKILL') }
    await caller.stream(wearReport(5), 30_000, { onEvent }).catch(() => undefined)
    expect(site.decode.some(({ running }) => running > 0)).toBe(true)
    await until('pieces freed', () => heldPieces() === 0)
    expect(site.decode.some(({ running }) => running > 0)).toBe(false)
  })
})
