import { Pool } from 'undici'
import { DEMO_API_KEY } from '../demo/JaymillDemoDocuments.js'
import { ProcessSite } from '../processes/JaymillProcessSite.js'
import { peerBytes } from './JaymillIdleSpeed.js'
import { runConcurrently, timeStream } from './JaymillRequestSpeed.js'
import { printFigure } from './JaymillSpeedFigure.js'

const HOSTS = 3
const COMPLETIONS = 900
const TOKENS = 50
const MS_PER_SECOND = 1_000

/**
 * Measures the CPU time and peer traffic of a completion over several hosts, each of which owns some of the endpoints.
 *
 * @param signal - Aborts the measurement.
 */
export async function measureFleetRequests (signal: AbortSignal): Promise<void> {
  const site = new ProcessSite(HOSTS, { interTokenMs: 2, prefillMsPerToken: 0 })
  await site.start(HOSTS, signal)
  const urls = await Promise.all(site.hosts.map(async host => (await host.listening()).caller))
  const pools = urls.map(url => new Pool(url, { connections: 40 }))
  const run = async (i: number): ReturnType<typeof timeStream> => (
    await timeStream(pools[i % HOSTS] as Pool, { authorization: `Bearer ${DEMO_API_KEY}` }, TOKENS)
  )
  await runConcurrently(HOSTS * 20, run)
  const cpu = (): number => site.hosts.reduce((sum, host) => sum + host.cpuMs(), 0)
  const before = { cpu: cpu(), bytes: await peerBytes(site), wall: performance.now() }
  await runConcurrently(COMPLETIONS, run)
  const seconds = (performance.now() - before.wall) / MS_PER_SECOND
  printFigure({
    name: `bytes between ${HOSTS} hosts per completion, both ends counted`,
    value: (await peerBytes(site) - before.bytes) / COMPLETIONS,
    unit: 'B'
  })
  printFigure({
    name: `CPU of ${HOSTS} hosts per completion of ${TOKENS} tokens`,
    value: (cpu() - before.cpu) / COMPLETIONS,
    unit: 'ms'
  })
  printFigure({ name: `completions per second through ${HOSTS} hosts`, value: COMPLETIONS / seconds, unit: '1/s' })
  await Promise.all(pools.map(async pool => await pool.close()))
}
