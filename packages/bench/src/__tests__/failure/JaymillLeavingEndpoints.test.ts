import { setTimeout as sleep } from 'node:timers/promises'
import { afterAll, beforeAll, describe, expect, test } from 'vitest'
import { fromProblem, RanState } from '@jaymill/core'
import { DemoCaller } from '../../demo/JaymillDemoCaller.js'
import { DEMO_ZONES, demoHosts } from '../../demo/JaymillDemoDocuments.js'
import { DemoFleet } from '../../demo/JaymillDemoFleet.js'
import { wearReport } from '../../demo/JaymillDemoReports.js'
import { isExpectedResponse } from '../../demo/JaymillDemoScenarios.js'
import { until } from '../../demo/JaymillUntil.js'

const TOKENS = 400
const LEAVING_ENDPOINT = 'decode-1'
const PROPAGATION_TIMEOUT_MS = 5_000
const DEFAULT_RETRY_MS = 250
const controller = new AbortController()
const fleet = new DemoFleet({ hosts: 3, prefill: 1, decode: 2, services: 1 })

beforeAll(async () => await fleet.start(controller.signal))
afterAll(() => controller.abort())

const callerOf = (i: number): DemoCaller => new DemoCaller(fleet.hosts[i % fleet.hosts.length]?.urls.caller ?? '')
/** Streams and retries when the request has not run, because a busy machine may refuse some of many concurrent requests. */
const streamWithRetry = async (
  i: number, prompt: string, tokens: number, onEvent: () => void = () => {}
): ReturnType<DemoCaller['stream']> => {
  const response = await callerOf(i).stream(prompt, tokens, { onEvent })
  const problem = fromProblem(response.problem)
  if (problem?.ran !== RanState.No) return response
  await sleep(problem.retryAfterMs ?? DEFAULT_RETRY_MS)
  return await streamWithRetry(i, prompt, tokens, onEvent)
}
const countReceived = async (i: number): Promise<number> => (
  (await (await fetch(`${fleet.decode[i]?.url ?? ''}/state`)).json() as { received: unknown[] }).received.length
)
const listsAsLeaving = async (admin: string): Promise<boolean> => {
  const res = await fetch(`${admin}/endpoints`, { headers: { Authorization: 'Bearer demo-admin' } })
  const { endpoints } = await res.json() as { endpoints: Array<{ id: string, leaving: boolean }> }
  return endpoints.some(({ id, leaving }) => id === LEAVING_ENDPOINT && leaving)
}

describe('an endpoint that is published as leaving', () => {
  test('finishes its streams and receives no new requests from any host after 5 s', async () => {
    const prompts = Array.from({ length: 6 }, (_, i) => wearReport(i))
    const started = new Set<number>()
    const running = prompts.map(async (prompt, i) => await streamWithRetry(i, prompt, TOKENS, () => started.add(i)))
    await until('all streams have started', () => started.size === prompts.length)
    expect(fleet.decode.every(engine => engine.running > 0)).toBe(true)
    const entries = fleet.hosts.map(({ id, urls }, i) => ({ id, zone: DEMO_ZONES[i] ?? '', peerUrl: urls.peer }))
    fleet.configServer.publish('jaymill/hosts', { ...demoHosts(2, entries), leavingEndpoints: [LEAVING_ENDPOINT] })
    await until('every host lists the endpoint as leaving', async () => (await Promise.all(
      fleet.hosts.map(async ({ urls }) => await listsAsLeaving(urls.admin))
    )).every(Boolean), PROPAGATION_TIMEOUT_MS)
    const before = [await countReceived(0), await countReceived(1)]
    const lateResponses = await Promise.all(Array.from({ length: 12 }, async (_, i) => await streamWithRetry(i, wearReport(20 + i), 10)))
    expect(lateResponses.map(({ problem }) => problem).filter(problem => problem !== undefined)).toEqual([])
    expect([await countReceived(0), await countReceived(1)]).toEqual([before[0], (before[1] ?? 0) + 12])
    expect((await Promise.all(running)).map((response, i) => isExpectedResponse(prompts[i] ?? '', TOKENS, response))).not.toContain(false)
  })
})
