import { MAX_HOST_SAMPLES, MAX_SUMMARY_ENTRIES, MAX_SUMMARY_HOSTS, SUMMARY_TTL_MS } from './constants.js'
import { LatencyMeasure } from './JaymillLatencyMeasure.js'

/** Latency of one endpoint relative to its expected latency, as observed by one host. */
export interface LatencySummaryEntry {
  readonly endpointId: string
  readonly measure: LatencyMeasure
  /** Median of log(observed / expected latency). */
  readonly pace: number
  readonly samples: number
}

/** Endpoint latencies that one host shares with its peers. */
export interface LatencySummary {
  readonly hostId: string
  /** Increases with every summary of the host, also across restarts. */
  readonly seq: number
  readonly entries: readonly LatencySummaryEntry[]
}

interface ReceivedSummary {
  readonly summary: LatencySummary
  readonly receivedMs: number
}

/** Latest summary of each peer. Merging is commutative and idempotent; summaries expire. */
export class PeerLatencySummaries {
  private readonly _latest = new Map<string, ReceivedSummary>()

  /**
   * Stores a summary if it is newer than the stored one. Hosts share no clock, so its age counts from its arrival.
   *
   * @param summary - Summary of a peer.
   * @param nowMs - Monotonic time in milliseconds.
   * @returns Whether it was stored; false also when `MAX_SUMMARY_HOSTS` hosts are stored.
   */
  merge (summary: LatencySummary, nowMs: number): boolean {
    const previous = this._latest.get(summary.hostId)
    if (previous !== undefined && previous.summary.seq >= summary.seq) return false
    if (previous === undefined && this._latest.size >= MAX_SUMMARY_HOSTS) this._expire(nowMs)
    if (previous === undefined && this._latest.size >= MAX_SUMMARY_HOSTS) return false
    const entries = summary.entries.slice(0, MAX_SUMMARY_ENTRIES).map(limitSamples)
    this._latest.set(summary.hostId, { summary: { ...summary, entries }, receivedMs: nowMs })
    return true
  }

  /**
   * @param nowMs - Monotonic time in milliseconds.
   * @returns Entries of all summaries that have not expired.
   */
  entries (nowMs: number): LatencySummaryEntry[] {
    return [...this._latest.values()]
      .filter(received => nowMs - received.receivedMs < SUMMARY_TTL_MS)
      .flatMap(received => received.summary.entries)
  }

  private _expire (nowMs: number): void {
    const expired = [...this._latest].filter(([, received]) => nowMs - received.receivedMs >= SUMMARY_TTL_MS)
    expired.forEach(([hostId]) => this._latest.delete(hostId))
  }
}

function limitSamples (entry: LatencySummaryEntry): LatencySummaryEntry {
  return { ...entry, samples: Math.min(entry.samples, MAX_HOST_SAMPLES) }
}
