import { PaceMeasure } from './JaymillPaceMeasure.js'
import { DIGEST_TTL_MS, MAX_DIGEST_ENTRIES, MAX_DIGEST_HOSTS, MAX_HOST_SAMPLES } from './constants.js'

/** One endpoint's pace as a host saw it. */
export interface PaceEntry {
  readonly endpointId: string
  readonly measure: PaceMeasure
  /** Median logarithm of observed by expected time. */
  readonly pace: number
  readonly samples: number
}

/** What one host shares about the pace of endpoints. */
export interface PaceDigest {
  readonly hostId: string
  /** Rises with every digest of the host, over restarts as well. */
  readonly seq: number
  readonly entries: readonly PaceEntry[]
}

interface Held {
  readonly digest: PaceDigest
  readonly receivedMs: number
}

/** Latest digest of each peer. Merging is commutative and idempotent; digests expire. */
export class PaceDigests {
  private readonly _held = new Map<string, Held>()

  /**
   * @param digest - From a peer; its age is not known better than its arrival.
   * @param nowMs - Monotonic time in milliseconds.
   * @returns Whether it was newer than the held one.
   */
  merge (digest: PaceDigest, nowMs: number): boolean {
    const held = this._held.get(digest.hostId)
    if (held !== undefined && held.digest.seq >= digest.seq) return false
    if (held === undefined && this._held.size >= MAX_DIGEST_HOSTS) this._expire(nowMs)
    if (held === undefined && this._held.size >= MAX_DIGEST_HOSTS) return false
    const entries = digest.entries.slice(0, MAX_DIGEST_ENTRIES).map(bounded)
    this._held.set(digest.hostId, { digest: { ...digest, entries }, receivedMs: nowMs })
    return true
  }

  /**
   * @param nowMs - Monotonic time in milliseconds.
   * @returns Entries of peers that still count.
   */
  entries (nowMs: number): PaceEntry[] {
    return [...this._held.values()]
      .filter(held => nowMs - held.receivedMs < DIGEST_TTL_MS)
      .flatMap(held => held.digest.entries)
  }

  private _expire (nowMs: number): void {
    const old = [...this._held].filter(([, held]) => nowMs - held.receivedMs >= DIGEST_TTL_MS)
    old.forEach(([hostId]) => this._held.delete(hostId))
  }
}

function bounded (entry: PaceEntry): PaceEntry {
  return { ...entry, samples: Math.min(entry.samples, MAX_HOST_SAMPLES) }
}
