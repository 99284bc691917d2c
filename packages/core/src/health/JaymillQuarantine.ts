import { ErrorKind, RanState } from '../errors/JaymillError.js'
import { RequestError } from '../errors/JaymillRequestError.js'
import { MAX_SUSPECT_ENTRIES, MAX_SUSPECTS, REMOTE_RUN_TTL_MS, SUSPICION_TTL_MS } from './constants.js'
import { Death, isQuarantined, joinSuspects, mustIsolate, Suspect, withoutOldDeaths } from './JaymillSuspect.js'

/** One suspect as hosts share it; ages instead of times, because hosts share no clock. */
export interface SuspectEntry {
  readonly fingerprint: string
  readonly deaths: readonly { readonly endpointId: string, readonly ageMs: number, readonly alone: boolean }[]
  /** Time since the last clearance, in milliseconds; absent when there was none. */
  readonly clearedAgeMs?: number
  /** Endpoint on which the sender runs it now. */
  readonly runsOn?: string
}

/** What one host shares about suspects. */
export interface QuarantineDigest {
  readonly suspects: readonly SuspectEntry[]
}

interface RemoteRun {
  readonly endpointId: string
  readonly seenMs: number
}

/** Endpoints that a suspect keeps away from. */
export interface Separation {
  readonly endpoints: readonly string[]
  /** Whether it waits rather than share one of them. */
  readonly strict: boolean
}

/** One run of a request on an endpoint. */
interface Run {
  readonly fingerprint: string
  readonly endpointId: string
}

/** Requests suspected of killing endpoints: bounded, expiring state that hosts share by digests. */
export class Quarantine {
  private readonly _suspects = new Map<string, Suspect>()
  private readonly _runs = new Set<Run>()
  private readonly _remote = new Map<string, RemoteRun>()

  /**
   * Refuses a request that has killed endpoints.
   *
   * @param fingerprint - What is to run.
   * @param nowMs - Monotonic time in milliseconds.
   * @param ran - Effect of earlier attempts.
   * @throws RequestError of kind `Quarantined`.
   */
  check (fingerprint: string, nowMs: number, ran = RanState.No): void {
    if (!isQuarantined(this._get(fingerprint, nowMs))) return
    throw new RequestError(ErrorKind.Quarantined, `endpoints stopped while running request ${fingerprint}`, { ran })
  }

  /**
   * @param fingerprint - Any fingerprint.
   * @param nowMs - Monotonic time in milliseconds.
   * @returns Whether an endpoint died while running it.
   */
  isSuspect (fingerprint: string, nowMs: number): boolean {
    return this._get(fingerprint, nowMs).deaths.length > 0
  }

  /**
   * @param fingerprint - What is to run.
   * @param nowMs - Monotonic time in milliseconds.
   * @returns Where it should not run, so that the next death speaks against one suspect only.
   */
  separation (fingerprint: string, nowMs: number): Separation {
    const suspect = this._get(fingerprint, nowMs)
    if (suspect.deaths.length === 0) return { endpoints: [], strict: false }
    const others = this._suspectRuns(nowMs).filter(run => run.fingerprint !== fingerprint)
    return { endpoints: [...new Set(others.map(run => run.endpointId))], strict: mustIsolate(suspect) }
  }

  /**
   * Notes that a request starts on an endpoint.
   *
   * @param fingerprint - What runs.
   * @param endpointId - Where it runs.
   * @param signal - Aborted when it no longer runs there.
   */
  running (fingerprint: string, endpointId: string, signal: AbortSignal): void {
    const run: Run = { fingerprint, endpointId }
    this._runs.add(run)
    signal.addEventListener('abort', () => this._runs.delete(run), { once: true })
  }

  /**
   * Notes that an endpoint died; all that this host ran there becomes suspect and counts as ended there.
   *
   * @param endpointId - The endpoint.
   * @param nowMs - Monotonic time in milliseconds.
   */
  died (endpointId: string, nowMs: number): void {
    const lost = [...this._runs].filter(run => run.endpointId === endpointId)
    const suspects = this._suspectRuns(nowMs).filter(run => run.endpointId === endpointId).map(run => run.fingerprint)
    const death = (print: string): Death => {
      const alone = suspects.includes(print) && suspects.every(other => other === print)
      return { endpointId, atMs: nowMs, alone }
    }
    const prints = [...new Set(lost.map(run => run.fingerprint))]
    const joined = prints.map(print => ({ fingerprint: print, deaths: [death(print)], clearedMs: -Infinity }))
    joined.forEach(suspect => this._join(suspect, nowMs))
    lost.forEach(run => this._runs.delete(run))
  }

  /**
   * Clears a fingerprint, because it finished somewhere or an operator says so.
   *
   * @param fingerprint - What is cleared.
   * @param nowMs - Monotonic time in milliseconds.
   * @returns Whether it was suspect.
   */
  clear (fingerprint: string, nowMs: number): boolean {
    if (!this.isSuspect(fingerprint, nowMs)) return false
    this._join({ fingerprint, deaths: [], clearedMs: nowMs }, nowMs)
    return true
  }

  /**
   * @param nowMs - Monotonic time in milliseconds.
   * @returns Fingerprints with deaths against them.
   */
  list (nowMs: number): readonly Suspect[] {
    this._expire(nowMs)
    return [...this._suspects.values()].filter(suspect => suspect.deaths.length > 0)
  }

  /**
   * @param nowMs - Monotonic time in milliseconds.
   * @returns What peers need, bounded: the refused first, then the latest changes.
   */
  digest (nowMs: number): QuarantineDigest {
    this._expire(nowMs)
    const suspects = [...this._suspects.values()]
      .sort((a, b) => b.deaths.length - a.deaths.length || changedMs(b) - changedMs(a))
      .slice(0, MAX_SUSPECT_ENTRIES)
    return { suspects: suspects.map(suspect => this._entry(suspect, nowMs)) }
  }

  /**
   * @param digest - From a peer.
   * @param nowMs - Monotonic time in milliseconds.
   */
  merge (digest: QuarantineDigest, nowMs: number): void {
    digest.suspects.slice(0, MAX_SUSPECT_ENTRIES).forEach(entry => {
      const deaths = entry.deaths.map(({ endpointId, ageMs, alone }) => ({ endpointId, atMs: nowMs - ageMs, alone }))
      const clearedMs = entry.clearedAgeMs === undefined ? -Infinity : nowMs - entry.clearedAgeMs
      this._join({ fingerprint: entry.fingerprint, deaths, clearedMs }, nowMs)
      if (entry.runsOn !== undefined) this._remote.set(entry.fingerprint, { endpointId: entry.runsOn, seenMs: nowMs })
    })
  }

  private _suspectRuns (nowMs: number): Run[] {
    const own = [...this._runs].filter(run => this.isSuspect(run.fingerprint, nowMs))
    const remote = [...this._remote]
      .filter(([, run]) => nowMs - run.seenMs < REMOTE_RUN_TTL_MS)
      .map(([fingerprint, run]) => ({ fingerprint, endpointId: run.endpointId }))
    return [...own, ...remote]
  }

  private _entry (suspect: Suspect, nowMs: number): SuspectEntry {
    const run = [...this._runs].find(({ fingerprint }) => fingerprint === suspect.fingerprint)
    return {
      fingerprint: suspect.fingerprint,
      deaths: suspect.deaths.map(({ endpointId, atMs, alone }) => ({ endpointId, ageMs: nowMs - atMs, alone })),
      ...(suspect.clearedMs === -Infinity ? {} : { clearedAgeMs: nowMs - suspect.clearedMs }),
      ...(run === undefined ? {} : { runsOn: run.endpointId })
    }
  }

  private _get (fingerprint: string, nowMs: number): Suspect {
    const known = this._suspects.get(fingerprint)
    return withoutOldDeaths(known ?? { fingerprint, deaths: [], clearedMs: -Infinity }, nowMs)
  }

  private _join (suspect: Suspect, nowMs: number): void {
    const joined = joinSuspects(this._get(suspect.fingerprint, nowMs), suspect)
    if (!this._suspects.has(suspect.fingerprint) && this._suspects.size >= MAX_SUSPECTS) this._makeRoom(nowMs)
    this._suspects.set(suspect.fingerprint, joined)
  }

  private _makeRoom (nowMs: number): void {
    this._expire(nowMs)
    if (this._suspects.size < MAX_SUSPECTS) return
    const [weakest] = [...this._suspects.values()]
      .sort((a, b) => a.deaths.length - b.deaths.length || changedMs(a) - changedMs(b))
    if (weakest !== undefined) this._suspects.delete(weakest.fingerprint)
  }

  private _expire (nowMs: number): void {
    const kept = [...this._suspects.values()]
      .map(suspect => withoutOldDeaths(suspect, nowMs))
      .filter(suspect => suspect.deaths.length > 0 || nowMs - suspect.clearedMs < SUSPICION_TTL_MS)
    this._suspects.clear()
    kept.forEach(suspect => this._suspects.set(suspect.fingerprint, suspect))
    const stale = [...this._remote].filter(([, run]) => nowMs - run.seenMs >= REMOTE_RUN_TTL_MS)
    stale.forEach(([print]) => this._remote.delete(print))
  }
}

function changedMs (suspect: Suspect): number {
  return Math.max(suspect.clearedMs, ...suspect.deaths.map(death => death.atMs))
}
