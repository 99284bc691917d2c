import { v7 as mintKey } from 'uuid'
import { afterEach, beforeEach, describe, expect, test } from 'vitest'
import { rendezvousOwner } from '@jaymill/core'
import { DemoCaller } from '../../demo/JaymillDemoCaller.js'
import { wearReport } from '../../demo/JaymillDemoReports.js'
import { isExpectedResponse } from '../../demo/JaymillDemoScenarios.js'
import { until } from '../../demo/JaymillUntil.js'
import { ProcessSite } from '../../processes/JaymillProcessSite.js'
import { expectedCompletion } from '../../standins/JaymillDeterministicText.js'

const TOKENS = 150
const PROMPT = wearReport(7)

let controller: AbortController
let site: ProcessSite

beforeEach(async () => {
  controller = new AbortController()
  site = new ProcessSite(2, {})
  await site.start(3, controller.signal)
})
afterEach(async () => {
  controller.abort()
  await Promise.all(site.hosts.map(async host => await host.exited()))
})

const callerOf = async (index: number): Promise<DemoCaller> => new DemoCaller((await site.hosts[index]?.listening())?.caller ?? '')
const countDecodeCalls = async (): Promise<number> => {
  const states = await Promise.all(site.decode.map(async ({ url }) => await (await fetch(`${url}/state`)).json() as { received: unknown[] }))
  return states.reduce((sum, { received }) => sum + received.length, 0)
}

/** Mints a key that the given host owns by the rendezvous hash that hosts use. */
function mintKeyOwnedBy (index: number): string {
  const nodes = site.hosts.map(({ id }) => ({ id, weight: 1 }))
  const keys = Array.from({ length: 200 }, () => mintKey())
  return keys.find(key => rendezvousOwner(`kerbrat/${key}`, nodes)?.id === site.hosts[index]?.id) ?? ''
}

describe('a completion with a key', () => {
  test('that is retried through another host joins the running response; only the newest connection gets its end', async () => {
    const headers = { 'Idempotency-Key': mintKeyOwnedBy(0) }
    let started = false
    const first = (await callerOf(1)).stream(PROMPT, TOKENS, { headers, onEvent: () => { started = true } })
    await until('the first stream has started', () => started)
    const second = await (await callerOf(2)).stream(PROMPT, TOKENS, { headers })
    expect(isExpectedResponse(PROMPT, TOKENS, second)).toBe(true)
    expect(await first).toMatchObject({ complete: false, problem: { type: 'urn:jaymill:error:superseded' } })
    expect(await countDecodeCalls()).toBe(1)
  })

  test('is resumed through another host after the last event id', async () => {
    const headers = { 'Idempotency-Key': mintKeyOwnedBy(0) }
    const full = await (await callerOf(1)).stream(PROMPT, TOKENS, { headers })
    const rest = await (await callerOf(2)).stream(PROMPT, TOKENS, { headers: { ...headers, 'Last-Event-ID': '100' } })
    expect(rest.ids).toEqual(full.ids.slice(100))
    expect(full.text.endsWith(rest.text)).toBe(true)
    expect(await countDecodeCalls()).toBe(1)
  })

  test.each(['SIGKILL', 'SIGSTOP'] as const)('resumes on the entry host when the key owner gets %s mid-stream', async signal => {
    const headers = { 'Idempotency-Key': mintKeyOwnedBy(0) }
    const onEvent = (count: number): void => { if (count === 30) site.hosts[0]?.signal(signal) }
    const response = await (await callerOf(1)).stream(PROMPT, TOKENS, { headers, onEvent })
    expect(response.text).toBe(expectedCompletion(PROMPT, TOKENS))
    expect(isExpectedResponse(PROMPT, TOKENS, response)).toBe(true)
  })
})

test('two requests with the same request id do not affect each other', async () => {
  const headers = { 'X-Request-Id': 'same' }
  const prompts = [wearReport(8), wearReport(9)]
  const responses = await Promise.all(prompts.map(async (prompt, i) => await (await callerOf(i)).stream(prompt, TOKENS, { headers })))
  expect(responses.map((response, i) => isExpectedResponse(prompts[i] ?? '', TOKENS, response))).toEqual([true, true])
})
