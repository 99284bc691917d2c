import { randomUUID } from 'node:crypto'
import { v7 as mintKey } from 'uuid'
import { expectedCompletion } from '../standins/JaymillDeterministicText.js'
import type { FakeEngineServer } from '../standins/JaymillFakeEngineServer.js'
import { CompletionResponse, DemoCaller } from './JaymillDemoCaller.js'
import { DemoFleet, DemoHost } from './JaymillDemoFleet.js'
import { wearReport } from './JaymillDemoReports.js'
import { DemoScenario, ScenarioResult } from './JaymillDemoScenario.js'
import { until } from './JaymillUntil.js'

const REPORT_TOKENS = 60
const LONG_TOKENS = 200
const RELEASE_TIMEOUT_MS = 5_000
const EXCERPT_CHARS = 56

function callerOf (host: DemoHost | undefined): DemoCaller {
  return new DemoCaller(host?.urls.caller ?? '')
}

/**
 * Compares a response with the text that the engines generate for the prompt.
 *
 * @param prompt - Prompt.
 * @param tokens - Requested number of tokens.
 * @param response - Response that the caller received.
 * @returns Whether the response is complete, in order and without repeated tokens.
 */
export function isExpectedResponse (prompt: string, tokens: number, response: CompletionResponse): boolean {
  return response.complete && response.ids.every((id, i) => id === i + 1) && response.text === expectedCompletion(prompt, tokens)
}

function describeResponse (name: string, matches: boolean, response: CompletionResponse): string {
  return `${name}: ${response.ids.length} tokens, ${matches ? 'whole' : 'NOT WHOLE'}:${response.text.slice(0, EXCERPT_CHARS)}…`
}

/** Streams long reports through every host at once. */
export class ReportsScenario extends DemoScenario {
  readonly name = 'long reports through every host'

  /** {@inheritDoc DemoScenario.run} */
  async run (fleet: DemoFleet): Promise<ScenarioResult> {
    const prompts = Array.from({ length: 9 }, (_, i) => wearReport(i))
    const responses = await Promise.all(prompts.map((prompt, i) => callerOf(fleet.hosts[i % fleet.hosts.length]).stream(prompt, REPORT_TOKENS)))
    const results = responses.map((response, i) => isExpectedResponse(prompts[i] ?? '', REPORT_TOKENS, response))
    return {
      ok: results.every(Boolean),
      lines: responses.map((response, i) => describeResponse(`report ${i + 1}`, results[i] === true, response))
    }
  }
}

/** A caller disconnects; the engine memory of its request is freed. */
export class CancelScenario extends DemoScenario {
  readonly name = 'a caller disconnects in mid-stream'

  /** {@inheritDoc DemoScenario.run} */
  async run (fleet: DemoFleet): Promise<ScenarioResult> {
    const disconnect = new AbortController()
    const onEvent = (count: number): void => { if (count === 5) disconnect.abort() }
    await callerOf(fleet.hosts[0])
      .stream(wearReport(20), LONG_TOKENS * 10, { onEvent, signal: disconnect.signal })
      .catch(() => undefined)
    const engines = [...fleet.prefill, ...fleet.decode]
    const totalHeldPieces = (): number => engines.reduce((sum, engine) => sum + engine.heldPieces, 0)
    const freed = await until('pieces freed', () => totalHeldPieces() === 0, RELEASE_TIMEOUT_MS).then(() => true, () => false)
    return { ok: freed, lines: [`cancelled after 5 tokens: ${totalHeldPieces()} pieces still held`] }
  }
}

/** The decode endpoint of a running stream crashes. */
export class EndpointCrashScenario extends DemoScenario {
  readonly name = 'a decode endpoint crashes in mid-stream'

  /** {@inheritDoc DemoScenario.run} */
  async run (fleet: DemoFleet): Promise<ScenarioResult> {
    const prompt = wearReport(30)
    const busyEngine = (): FakeEngineServer | undefined => fleet.decode.find(engine => engine.running > 0)
    const onEvent = (count: number): void => { if (count === 20) busyEngine()?.kill() }
    const response = await callerOf(fleet.hosts[1]).stream(prompt, LONG_TOKENS, { onEvent })
    const matches = isExpectedResponse(prompt, LONG_TOKENS, response)
    return { ok: matches, lines: [describeResponse('report', matches, response)] }
  }
}

/**
 * Sends each booking through every host at once, under a key that contains its creation time (UUID v7) and under one that
 * does not (UUID v4).
 */
export class BookingScenario extends DemoScenario {
  readonly name = 'bookings retried through every host'

  /** {@inheritDoc DemoScenario.run} */
  async run (fleet: DemoFleet): Promise<ScenarioResult> {
    const keys = [mintKey(), randomUUID()]
    const responsesByKey = await Promise.all(keys.map(key => Promise.all(fleet.hosts.map(host => callerOf(host).book('guide-17', key)))))
    const unkeyed = await callerOf(fleet.hosts[0]).book('guide-18')
    const runCounts = keys.map(key => fleet.services.flatMap(({ bookings }) => bookings).filter(item => item.idempotencyKey === key).length)
    const same = responsesByKey.every(responses => responses.every(({ status, body }) => status === 201 && body.booking === responses[0]?.body.booking))
    const lines = keys.map((key, i) => `key ${key}: sent through ${fleet.hosts.length} hosts, ran ${runCounts[i]} times`)
    const ok = same && runCounts.every(count => count === 1) && unkeyed.status === 201
    return { ok, lines: [...lines, `without a key: ${JSON.stringify(unkeyed.body)}`] }
  }
}

/** A host stops gracefully while it streams: its streams finish, and a new request is refused as not run. */
export class GracefulStopScenario extends DemoScenario {
  readonly name = 'a host stops gracefully while it streams'

  /** {@inheritDoc DemoScenario.run} */
  async run (fleet: DemoFleet): Promise<ScenarioResult> {
    const host = fleet.hosts.at(-1)
    const prompts = [wearReport(40), wearReport(41), wearReport(42)]
    const started = new Set<string>()
    const running = prompts.map(prompt => callerOf(host).stream(prompt, LONG_TOKENS, { onEvent: () => started.add(prompt) }))
    await until('streams started', () => started.size === prompts.length)
    const stopped = host?.daemon.stop()
    const lateResponse = await callerOf(host).stream(wearReport(43), REPORT_TOKENS)
    const responses = await Promise.all(running)
    await stopped
    const results = responses.map((response, i) => isExpectedResponse(prompts[i] ?? '', LONG_TOKENS, response))
    const refused = (lateResponse.problem as { ran?: string } | undefined)?.ran === 'no'
    const lines = responses.map((response, i) => describeResponse(`running report ${i + 1}`, results[i] === true, response))
    return { ok: results.every(Boolean) && refused, lines: [...lines, `new report: ${JSON.stringify(lateResponse.problem)}`] }
  }
}
