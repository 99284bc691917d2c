import { randomUUID } from 'node:crypto'
import { v7 as mintKey } from 'uuid'
import { expectedAnswer } from '../standins/JaymillDeterministicText.js'
import type { EngineStandIn } from '../standins/JaymillEngineStandIn.js'
import { DemoCaller, StreamedAnswer } from './JaymillDemoCaller.js'
import { DemoFleet, DemoHost } from './JaymillDemoFleet.js'
import { wearReport } from './JaymillDemoReports.js'
import { DemoScenario, ScenarioResult } from './JaymillDemoScenario.js'
import { until } from './JaymillUntil.js'

const REPORT_TOKENS = 60
const LONG_TOKENS = 200
const RELEASE_MS = 5_000
const EXCERPT_CHARS = 56

function callerOf (host: DemoHost | undefined): DemoCaller {
  return new DemoCaller(host?.urls.caller ?? '')
}

/**
 * Compares an answer with what the engines generate for the prompt.
 *
 * @param prompt - Prompt.
 * @param tokens - Tokens asked for.
 * @param answer - What the caller received.
 * @returns Whether it is complete, in order and without repeats.
 */
export function isWhole (prompt: string, tokens: number, answer: StreamedAnswer): boolean {
  return answer.complete && answer.ids.every((id, i) => id === i + 1) && answer.text === expectedAnswer(prompt, tokens)
}

function describeAnswer (name: string, whole: boolean, answer: StreamedAnswer): string {
  return `${name}: ${answer.ids.length} tokens, ${whole ? 'whole' : 'NOT WHOLE'}:${answer.text.slice(0, EXCERPT_CHARS)}…`
}

/** Long reports through every host at once. */
export class ReportsScenario extends DemoScenario {
  readonly name = 'long reports through every host'

  /** {@inheritDoc DemoScenario.run} */
  async run (fleet: DemoFleet): Promise<ScenarioResult> {
    const prompts = Array.from({ length: 9 }, (_, i) => wearReport(i))
    const answers = await Promise.all(prompts.map((prompt, i) => callerOf(fleet.hosts[i % fleet.hosts.length]).stream(prompt, REPORT_TOKENS)))
    const wholes = answers.map((answer, i) => isWhole(prompts[i] ?? '', REPORT_TOKENS, answer))
    return { ok: wholes.every(Boolean), lines: answers.map((answer, i) => describeAnswer(`report ${i + 1}`, wholes[i] === true, answer)) }
  }
}

/** A caller hangs up; engine memory is freed. */
export class CancelScenario extends DemoScenario {
  readonly name = 'a caller hangs up in mid-answer'

  /** {@inheritDoc DemoScenario.run} */
  async run (fleet: DemoFleet): Promise<ScenarioResult> {
    const hangUp = new AbortController()
    const onEvent = (count: number): void => { if (count === 5) hangUp.abort() }
    await callerOf(fleet.hosts[0]).stream(wearReport(20), LONG_TOKENS * 10, { onEvent, signal: hangUp.signal }).catch(() => undefined)
    const engines = [...fleet.prefill, ...fleet.decode]
    const held = (): number => engines.reduce((sum, engine) => sum + engine.heldPieces, 0)
    const freed = await until('pieces freed', () => held() === 0, RELEASE_MS).then(() => true, () => false)
    return { ok: freed, lines: [`cancelled after 5 tokens: ${held()} pieces still held`] }
  }
}

/** The decode endpoint of a running answer dies. */
export class EndpointDeathScenario extends DemoScenario {
  readonly name = 'a decode endpoint dies in mid-answer'

  /** {@inheritDoc DemoScenario.run} */
  async run (fleet: DemoFleet): Promise<ScenarioResult> {
    const prompt = wearReport(30)
    const busy = (): EngineStandIn | undefined => fleet.decode.find(engine => engine.running > 0)
    const onEvent = (count: number): void => { if (count === 20) busy()?.kill() }
    const answer = await callerOf(fleet.hosts[1]).stream(prompt, LONG_TOKENS, { onEvent })
    const whole = isWhole(prompt, LONG_TOKENS, answer)
    return { ok: whole, lines: [describeAnswer('report', whole, answer)] }
  }
}

/** Bookings are sent once and resent through every other host, with a key that carries its time and with a plain one. */
export class BookingScenario extends DemoScenario {
  readonly name = 'bookings resent through every host'

  /** {@inheritDoc DemoScenario.run} */
  async run (fleet: DemoFleet): Promise<ScenarioResult> {
    const keys = [mintKey(), randomUUID()]
    const seen = await Promise.all(keys.map(key => Promise.all(fleet.hosts.map(host => callerOf(host).book('guide-17', key)))))
    const unkeyed = await callerOf(fleet.hosts[0]).book('guide-18')
    const counts = keys.map(key => fleet.services.flatMap(({ bookings }) => bookings).filter(item => item.idempotencyKey === key).length)
    const same = seen.every(answers => answers.every(({ status, body }) => status === 201 && body.booking === answers[0]?.body.booking))
    const lines = keys.map((key, i) => `key ${key}: sent through ${fleet.hosts.length} hosts, ran ${counts[i]} times`)
    const ok = same && counts.every(count => count === 1) && unkeyed.status === 201
    return { ok, lines: [...lines, `without a key: ${JSON.stringify(unkeyed.body)}`] }
  }
}

/** A host stops while it streams. */
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
    const late = await callerOf(host).stream(wearReport(43), REPORT_TOKENS)
    const answers = await Promise.all(running)
    await stopped
    const wholes = answers.map((answer, i) => isWhole(prompts[i] ?? '', LONG_TOKENS, answer))
    const refused = (late.problem as { ran?: string } | undefined)?.ran === 'no'
    const lines = answers.map((answer, i) => describeAnswer(`running report ${i + 1}`, wholes[i] === true, answer))
    return { ok: wholes.every(Boolean) && refused, lines: [...lines, `new report: ${JSON.stringify(late.problem)}`] }
  }
}
