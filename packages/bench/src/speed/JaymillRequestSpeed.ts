import { createParser } from 'eventsource-parser'
import { Pool } from 'undici'
import { DEMO_API_KEY, DEMO_MODEL } from '../demo/JaymillDemoDocuments.js'
import { median, printFigure } from './JaymillSpeedFigure.js'
import { ProcessSite } from '../processes/JaymillProcessSite.js'

const FAST = { interTokenMs: 0, prefillMsPerToken: 0 }
const WARM_UP = 200
const SAMPLES = 300
const SHORT_TOKENS = 1
const LONG_TOKENS = 101
const LOAD_REQUESTS = 1_500
const CONCURRENCY = 40
const MS_PER_SECOND = 1_000

/** Latencies of one stream, in milliseconds. */
export interface Timing {
  readonly firstMs: number
  readonly perTokenMs: number
}

/**
 * Streams one completion.
 *
 * @param pool - Connections to a host or an engine.
 * @param headers - Extra headers.
 * @param tokens - Number of tokens to generate.
 * @returns Time to the first token, and mean time between tokens.
 */
export async function timeStream (pool: Pool, headers: Record<string, string>, tokens: number): Promise<Timing> {
  const started = performance.now()
  const body = JSON.stringify({ model: DEMO_MODEL, prompt: 'Check pair 9 for wear.', max_tokens: tokens, stream: true })
  const res = await pool.request({ path: '/v1/completions', method: 'POST', headers, body })
  let first = 0
  let last = 0
  const parser = createParser({ onEvent: () => { first ||= last = performance.now() } })
  for await (const chunk of res.body as AsyncIterable<Buffer>) {
    parser.feed(chunk.toString('utf8'))
    last = performance.now()
  }
  return { firstMs: first - started, perTokenMs: (last - first) / Math.max(1, tokens - 1) }
}

async function repeat (count: number, run: (index: number) => Promise<Timing>): Promise<Timing[]> {
  const timings: Timing[] = []
  for (let i = 0; i < count; i++) timings.push(await run(i))
  return timings
}

/**
 * Runs a task repeatedly with `CONCURRENCY` concurrent runs.
 *
 * @param count - Number of runs.
 * @param run - Task; receives the index of the run, from 0.
 */
export async function runConcurrently (count: number, run: (index: number) => Promise<Timing>): Promise<void> {
  let next = 0
  const worker = async (): Promise<void> => {
    while (next < count) await run(next++)
  }
  await Promise.all(Array.from({ length: CONCURRENCY }, worker))
}

/**
 * Measures the latency that one host adds to a completion, its CPU time per completion, and its memory after load.
 *
 * @param signal - Aborts the measurement.
 */
export async function measureRequests (signal: AbortSignal): Promise<void> {
  const site = new ProcessSite(1, FAST)
  await site.start(1, signal)
  const [host] = site.hosts
  const urls = await host?.listening()
  if (host === undefined || urls === undefined) return
  const router = new Pool(urls.caller, { connections: CONCURRENCY })
  const engine = new Pool(site.decode[0]?.url ?? '', { connections: CONCURRENCY })
  const viaRouter = async (tokens: number): Promise<Timing> => await timeStream(router, { authorization: `Bearer ${DEMO_API_KEY}` }, tokens)
  let id = 0
  const direct = async (tokens: number): Promise<Timing> => await timeStream(engine, { 'x-request-id': `direct-${id++}` }, tokens)

  await repeat(WARM_UP, async () => await viaRouter(SHORT_TOKENS))
  await repeat(WARM_UP, async () => await direct(SHORT_TOKENS))
  printComparison(
    await repeat(SAMPLES, async () => await direct(LONG_TOKENS)),
    await repeat(SAMPLES, async () => await viaRouter(LONG_TOKENS))
  )

  const cost = async (tokens: number): Promise<{ cpuMs: number, wallMs: number }> => {
    const [cpu, wall] = [host.cpuMs(), performance.now()]
    await runConcurrently(LOAD_REQUESTS, async () => await viaRouter(tokens))
    return { cpuMs: host.cpuMs() - cpu, wallMs: performance.now() - wall }
  }
  const short = await cost(SHORT_TOKENS)
  const long = await cost(LONG_TOKENS)
  const perToken = (long.cpuMs - short.cpuMs) / (LOAD_REQUESTS * (LONG_TOKENS - SHORT_TOKENS))
  printFigure({ name: 'host CPU per completion', value: short.cpuMs / LOAD_REQUESTS - perToken, unit: 'ms' })
  printFigure({ name: 'host CPU per token', value: perToken, unit: 'ms' })
  printFigure({
    name: 'completions per second and core, 1 token',
    value: LOAD_REQUESTS * MS_PER_SECOND / short.cpuMs,
    unit: '1/s'
  })
  printFigure({
    name: 'tokens per second and core, 101-token answers',
    value: LOAD_REQUESTS * LONG_TOKENS * MS_PER_SECOND / long.cpuMs,
    unit: '1/s'
  })
  printFigure({ name: 'host resident memory after load', value: host.residentBytes() / 1_048_576, unit: 'MiB' })
  await Promise.all([router.close(), engine.close()])
}

function printComparison (direct: readonly Timing[], routed: readonly Timing[]): void {
  const [directFirst, routedFirst] = [direct, routed].map(timings => median(timings.map(({ firstMs }) => firstMs)))
  const [directToken, routedToken] = [direct, routed].map(timings => median(timings.map(({ perTokenMs }) => perTokenMs)))
  if (directFirst === undefined || routedFirst === undefined || directToken === undefined || routedToken === undefined) return
  printFigure({ name: 'first token, direct decode call without prefill', value: directFirst, unit: 'ms' })
  printFigure({ name: 'first token, through the router with prefill', value: routedFirst, unit: 'ms' })
  printFigure({ name: 'added to the first token', value: routedFirst - directFirst, unit: 'ms' })
  printFigure({ name: 'time per token, direct', value: directToken, unit: 'ms' })
  printFigure({ name: 'time per token, through the router', value: routedToken, unit: 'ms' })
  printFigure({ name: 'ratio of time per token', value: routedToken / directToken, unit: 'ratio' })
}
