import { ErrorKind, RanState } from '../errors/JaymillError.js'
import { RequestError } from '../errors/JaymillRequestError.js'
import { MAX_SUSPECT_ENTRIES, MAX_SUSPECTS, REMOTE_RUN_TTL_MS, SUSPECT_TTL_MS } from './constants.js'
import { EndpointCrash, isQuarantined, mergeSuspects, requiresIsolation, Suspect, withoutExpiredCrashes } from './JaymillSuspect.js'

/** One suspect as shared between hosts; it carries ages instead of times because hosts share no clock. */
export interface SuspectEntry {
  readonly fingerprint: string
  /** Crashes attributed to it, with the time since each, in milliseconds. */
  readonly deaths: readonly { readonly endpointId: string, readonly ageMs: number, readonly alone: boolean }[]
  /** Time since it was last cleared, in milliseconds; absent if it never was. */
  readonly clearedAgeMs?: number
  /** Endpoint on which the sender is running it. */
  readonly runsOn?: string
}

/** Suspects that one host shares with its peers. */
export interface QuarantineSummary {
  readonly suspects: readonly SuspectEntry[]
}

interface RemoteRun {
  readonly endpointId: string
  readonly seenMs: number
}

/** Endpoints that a suspect should not run on. */
export interface AntiAffinity {
  readonly endpoints: readonly string[]
  /** Whether it must wait instead of running on one of them. */
  readonly strict: boolean
}

/** A request that is running on an endpoint. */
interface Run {
  readonly fingerprint: string
  readonly endpointId: string
}

/** Requests suspected of crashing endpoints: bounded, expiring state that hosts share through summaries in heartbeats. */
export class Quarantine {
  private readonly _suspects = new Map<string, Suspect>()
  private readonly _runs = new Set<Run>()
  private readonly _remoteRuns = new Map<string, RemoteRun>()

  /**
   * Refuses a request that has crashed endpoints.
   *
   * @param fingerprint - Fingerprint of the request.
   * @param nowMs - Monotonic time in milliseconds.
   * @param ran - Whether earlier attempts have run.
   * @throws RequestError of kind `Quarantined`.
   */
  check (fingerprint: string, nowMs: number, ran = RanState.No): void {
    if (!isQuarantined(this._get(fingerprint, nowMs))) return
    throw new RequestError(ErrorKind.Quarantined, `endpoints crashed while running request ${fingerprint}`, { ran })
  }

  /**
   * @param fingerprint - Fingerprint of a request.
   * @param nowMs - Monotonic time in milliseconds.
   * @returns Whether an endpoint crashed while running it.
   */
  isSuspect (fingerprint: string, nowMs: number): boolean {
    return this._get(fingerprint, nowMs).crashes.length > 0
  }

  /**
   * Lists the endpoints that run other suspects. Keeping suspects apart makes the next crash implicate only one of them.
   *
   * @param fingerprint - Fingerprint of the request to run.
   * @param nowMs - Monotonic time in milliseconds.
   * @returns Endpoints on which it should not run; empty if it is not suspect.
   */
  antiAffinity (fingerprint: string, nowMs: number): AntiAffinity {
    const suspect = this._get(fingerprint, nowMs)
    if (suspect.crashes.length === 0) return { endpoints: [], strict: false }
    const others = this._suspectRuns(nowMs).filter(run => run.fingerprint !== fingerprint)
    return { endpoints: [...new Set(others.map(run => run.endpointId))], strict: requiresIsolation(suspect) }
  }

  /**
   * Tracks a request that starts on an endpoint.
   *
   * @param fingerprint - Fingerprint of the request.
   * @param endpointId - Endpoint that runs it.
   * @param signal - Aborts when it no longer runs there.
   */
  trackRun (fingerprint: string, endpointId: string, signal: AbortSignal): void {
    const run: Run = { fingerprint, endpointId }
    this._runs.add(run)
    signal.addEventListener('abort', () => this._runs.delete(run), { once: true })
  }

  /**
   * Records the crash of an endpoint. All requests that this host was running there become suspect and are no longer
   * tracked.
   *
   * @param endpointId - The endpoint.
   * @param nowMs - Monotonic time in milliseconds.
   */
  recordCrash (endpointId: string, nowMs: number): void {
    const endpointRuns = [...this._runs].filter(run => run.endpointId === endpointId)
    const suspects = this._suspectRuns(nowMs).filter(run => run.endpointId === endpointId).map(run => run.fingerprint)
    const crashOf = (fingerprint: string): EndpointCrash => {
      const alone = suspects.includes(fingerprint) && suspects.every(other => other === fingerprint)
      return { endpointId, atMs: nowMs, alone }
    }
    const fingerprints = [...new Set(endpointRuns.map(run => run.fingerprint))]
    const newSuspects = fingerprints.map(fingerprint => ({ fingerprint, crashes: [crashOf(fingerprint)], clearedMs: -Infinity }))
    newSuspects.forEach(suspect => this._merge(suspect, nowMs))
    endpointRuns.forEach(run => this._runs.delete(run))
  }

  /**
   * Clears a request that completed on an endpoint or that an operator has cleared.
   *
   * @param fingerprint - Fingerprint of the request.
   * @param nowMs - Monotonic time in milliseconds.
   * @returns Whether it was suspect.
   */
  clear (fingerprint: string, nowMs: number): boolean {
    if (!this.isSuspect(fingerprint, nowMs)) return false
    this._merge({ fingerprint, crashes: [], clearedMs: nowMs }, nowMs)
    return true
  }

  /**
   * Lists all suspects.
   *
   * @param nowMs - Monotonic time in milliseconds.
   * @returns Requests with at least one crash.
   */
  list (nowMs: number): readonly Suspect[] {
    this._expire(nowMs)
    return [...this._suspects.values()].filter(suspect => suspect.crashes.length > 0)
  }

  /**
   * Builds the summary for peers.
   *
   * @param nowMs - Monotonic time in milliseconds.
   * @returns At most `MAX_SUSPECT_ENTRIES` suspects: those with the most crashes first, then the most recently changed.
   */
  summarize (nowMs: number): QuarantineSummary {
    this._expire(nowMs)
    const suspects = [...this._suspects.values()]
      .sort((a, b) => b.crashes.length - a.crashes.length || lastChangeMs(b) - lastChangeMs(a))
      .slice(0, MAX_SUSPECT_ENTRIES)
    return { suspects: suspects.map(suspect => this._summaryEntry(suspect, nowMs)) }
  }

  /**
   * Merges the summary of a peer.
   *
   * @param summary - Summary of the peer.
   * @param nowMs - Monotonic time in milliseconds.
   */
  merge (summary: QuarantineSummary, nowMs: number): void {
    summary.suspects.slice(0, MAX_SUSPECT_ENTRIES).forEach(entry => {
      const crashes = entry.deaths.map(({ endpointId, ageMs, alone }) => ({ endpointId, atMs: nowMs - ageMs, alone }))
      const clearedMs = entry.clearedAgeMs === undefined ? -Infinity : nowMs - entry.clearedAgeMs
      this._merge({ fingerprint: entry.fingerprint, crashes, clearedMs }, nowMs)
      if (entry.runsOn !== undefined) this._remoteRuns.set(entry.fingerprint, { endpointId: entry.runsOn, seenMs: nowMs })
    })
  }

  private _suspectRuns (nowMs: number): Run[] {
    const own = [...this._runs].filter(run => this.isSuspect(run.fingerprint, nowMs))
    const remote = [...this._remoteRuns]
      .filter(([, run]) => nowMs - run.seenMs < REMOTE_RUN_TTL_MS)
      .map(([fingerprint, run]) => ({ fingerprint, endpointId: run.endpointId }))
    return [...own, ...remote]
  }

  private _summaryEntry (suspect: Suspect, nowMs: number): SuspectEntry {
    const run = [...this._runs].find(({ fingerprint }) => fingerprint === suspect.fingerprint)
    return {
      fingerprint: suspect.fingerprint,
      deaths: suspect.crashes.map(({ endpointId, atMs, alone }) => ({ endpointId, ageMs: nowMs - atMs, alone })),
      ...(suspect.clearedMs === -Infinity ? {} : { clearedAgeMs: nowMs - suspect.clearedMs }),
      ...(run === undefined ? {} : { runsOn: run.endpointId })
    }
  }

  private _get (fingerprint: string, nowMs: number): Suspect {
    const existing = this._suspects.get(fingerprint)
    return withoutExpiredCrashes(existing ?? { fingerprint, crashes: [], clearedMs: -Infinity }, nowMs)
  }

  private _merge (suspect: Suspect, nowMs: number): void {
    const merged = mergeSuspects(this._get(suspect.fingerprint, nowMs), suspect)
    if (!this._suspects.has(suspect.fingerprint) && this._suspects.size >= MAX_SUSPECTS) this._evict(nowMs)
    this._suspects.set(suspect.fingerprint, merged)
  }

  private _evict (nowMs: number): void {
    this._expire(nowMs)
    if (this._suspects.size < MAX_SUSPECTS) return
    const [evicted] = [...this._suspects.values()]
      .sort((a, b) => a.crashes.length - b.crashes.length || lastChangeMs(a) - lastChangeMs(b))
    if (evicted !== undefined) this._suspects.delete(evicted.fingerprint)
  }

  private _expire (nowMs: number): void {
    const unexpired = [...this._suspects.values()]
      .map(suspect => withoutExpiredCrashes(suspect, nowMs))
      .filter(suspect => suspect.crashes.length > 0 || nowMs - suspect.clearedMs < SUSPECT_TTL_MS)
    this._suspects.clear()
    unexpired.forEach(suspect => this._suspects.set(suspect.fingerprint, suspect))
    const stale = [...this._remoteRuns].filter(([, run]) => nowMs - run.seenMs >= REMOTE_RUN_TTL_MS)
    stale.forEach(([fingerprint]) => this._remoteRuns.delete(fingerprint))
  }
}

function lastChangeMs (suspect: Suspect): number {
  return Math.max(suspect.clearedMs, ...suspect.crashes.map(crash => crash.atMs))
}
