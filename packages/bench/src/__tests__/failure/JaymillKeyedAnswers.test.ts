import { v7 as mintKey } from 'uuid'
import { afterEach, beforeEach, describe, expect, test } from 'vitest'
import { rendezvousOwner } from '@jaymill/core'
import { DemoCaller } from '../../demo/JaymillDemoCaller.js'
import { wearReport } from '../../demo/JaymillDemoReports.js'
import { isWhole } from '../../demo/JaymillDemoScenarios.js'
import { until } from '../../demo/JaymillUntil.js'
import { ProcessSite } from '../../processes/JaymillProcessSite.js'
import { expectedAnswer } from '../../standins/JaymillDeterministicText.js'

const TOKENS = 150
const PROMPT = wearReport(7)

let owner: AbortController
let site: ProcessSite

beforeEach(async () => {
  owner = new AbortController()
  site = new ProcessSite(2, {})
  await site.start(3, owner.signal)
})
afterEach(async () => {
  owner.abort()
  await Promise.all(site.hosts.map(async host => await host.exited()))
})

const callerOf = async (index: number): Promise<DemoCaller> => new DemoCaller((await site.hosts[index]?.listening())?.caller ?? '')
const decodeCalls = async (): Promise<number> => {
  const states = await Promise.all(site.decode.map(async ({ url }) => await (await fetch(`${url}/state`)).json() as { received: unknown[] }))
  return states.reduce((sum, { received }) => sum + received.length, 0)
}

/** Key that a given host owns, found by the choice that hosts make. */
function keyOwnedBy (index: number): string {
  const nodes = site.hosts.map(({ id }) => ({ id, weight: 1 }))
  const keys = Array.from({ length: 200 }, () => mintKey())
  return keys.find(key => rendezvousOwner(`kerbrat/${key}`, nodes)?.id === site.hosts[index]?.id) ?? ''
}

describe('a completion with a key', () => {
  test('that is resent through another host joins the running answer; only the newest connection gets the end', async () => {
    const headers = { 'Idempotency-Key': keyOwnedBy(0) }
    let begun = false
    const first = (await callerOf(1)).stream(PROMPT, TOKENS, { headers, onEvent: () => { begun = true } })
    await until('the first stream has begun', () => begun)
    const second = await (await callerOf(2)).stream(PROMPT, TOKENS, { headers })
    expect(isWhole(PROMPT, TOKENS, second)).toBe(true)
    expect(await first).toMatchObject({ complete: false, problem: { type: 'urn:jaymill:error:superseded' } })
    expect(await decodeCalls()).toBe(1)
  })

  test('is resumed through another host after the last id', async () => {
    const headers = { 'Idempotency-Key': keyOwnedBy(0) }
    const whole = await (await callerOf(1)).stream(PROMPT, TOKENS, { headers })
    const rest = await (await callerOf(2)).stream(PROMPT, TOKENS, { headers: { ...headers, 'Last-Event-ID': '100' } })
    expect(rest.ids).toEqual(whole.ids.slice(100))
    expect(whole.text.endsWith(rest.text)).toBe(true)
    expect(await decodeCalls()).toBe(1)
  })

  test.each(['SIGKILL', 'SIGSTOP'] as const)('goes on at the entry host when the key owner gets %s in mid-answer', async signal => {
    const headers = { 'Idempotency-Key': keyOwnedBy(0) }
    const onEvent = (count: number): void => { if (count === 30) site.hosts[0]?.signal(signal) }
    const answer = await (await callerOf(1)).stream(PROMPT, TOKENS, { headers, onEvent })
    expect(answer.text).toBe(expectedAnswer(PROMPT, TOKENS))
    expect(isWhole(PROMPT, TOKENS, answer)).toBe(true)
  })
})

test('two requests with the same request id do not disturb one another', async () => {
  const headers = { 'X-Request-Id': 'same' }
  const prompts = [wearReport(8), wearReport(9)]
  const answers = await Promise.all(prompts.map(async (prompt, i) => await (await callerOf(i)).stream(prompt, TOKENS, { headers })))
  expect(answers.map((answer, i) => isWhole(prompts[i] ?? '', TOKENS, answer))).toEqual([true, true])
})
