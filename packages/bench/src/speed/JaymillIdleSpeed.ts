import { setTimeout as sleep } from 'node:timers/promises'
import { printFigure } from './JaymillSpeedFigure.js'
import { PROCESS_ADMIN_TOKEN, ProcessSite } from '../processes/JaymillProcessSite.js'

const SETTLE_MS = 3_000
const WINDOW_MS = 10_000
const MS_PER_SECOND = 1_000
const PERCENT = 100

interface IdleCost {
  readonly cpuPercent: number
  readonly residentMib: number
  readonly peerBytesPerSecond: number
  readonly sourceReadsPerSecond: number
}

/**
 * Sums the byte counters of all peer connections.
 *
 * @param site - Running hosts.
 * @returns Bytes of all hosts; each byte is counted at both ends.
 */
export async function peerBytes (site: ProcessSite): Promise<number> {
  const bytesPerHost = await Promise.all(site.hosts.map(async host => {
    const { admin } = await host.listening()
    const res = await fetch(`${admin}/status`, { headers: { Authorization: `Bearer ${PROCESS_ADMIN_TOKEN}` } })
    const { peerBytes } = await res.json() as { peerBytes: { bytesIn: number, bytesOut: number } }
    return peerBytes.bytesIn + peerBytes.bytesOut
  }))
  return bytesPerHost.reduce((sum, bytes) => sum + bytes, 0)
}

/**
 * Measures the CPU time, memory, peer traffic and source reads of hosts that serve no callers.
 *
 * @param count - Number of hosts.
 * @param signal - Aborts the measurement.
 * @returns Means per host; the source reads are those of all hosts.
 */
export async function measureIdle (count: number, signal: AbortSignal): Promise<IdleCost> {
  const controller = new AbortController()
  const site = new ProcessSite(1, {})
  await site.start(count, AbortSignal.any([controller.signal, signal]))
  await sleep(SETTLE_MS, undefined, { signal })
  const cpu = (): number => site.hosts.reduce((sum, host) => sum + host.cpuMs(), 0)
  const before = { cpu: cpu(), bytes: await peerBytes(site), reads: site.configServer.reads }
  await sleep(WINDOW_MS, undefined, { signal })
  const cost = {
    cpuPercent: (cpu() - before.cpu) / WINDOW_MS / count * PERCENT,
    residentMib: site.hosts.reduce((sum, host) => sum + host.residentBytes(), 0) / count / 1_048_576,
    peerBytesPerSecond: (await peerBytes(site) - before.bytes) / count / WINDOW_MS * MS_PER_SECOND,
    sourceReadsPerSecond: (site.configServer.reads - before.reads) / WINDOW_MS * MS_PER_SECOND
  }
  controller.abort()
  printFigure({ name: `idle CPU per host, ${count} hosts`, value: cost.cpuPercent, unit: '% of a core' })
  printFigure({ name: `resident memory per host, ${count} hosts`, value: cost.residentMib, unit: 'MiB' })
  printFigure({ name: `bytes between hosts per host, ${count} hosts`, value: cost.peerBytesPerSecond, unit: 'B/s' })
  printFigure({ name: `platform reads, ${count} hosts`, value: cost.sourceReadsPerSecond, unit: '1/s' })
  return cost
}
