import { CRASH_REPORT_MAX_AGE_MS } from './constants.js'
import { toCrashEvidence } from './JaymillCrashEvidence.js'
import { CrashLog } from './JaymillCrashLog.js'
import { CrashReport, ReportedCrash, ReportedPart, ReportedRun, ReportedProvenKey } from './JaymillCrashReport.js'
import { buildCrashReport } from './JaymillCrashReportBuilder.js'
import { parseCrashReport } from './JaymillCrashReportParser.js'
import { CrashTimes, KeyCrashTimes, toCrashTimes } from './JaymillCrashTimes.js'
import { decideQuarantine, QuarantineDecision } from './JaymillQuarantineDecision.js'
import { RunKeys } from './JaymillRunKeys.js'
import { isCleared, ProvenKeyCache } from './JaymillProvenKeyCache.js'

/** Confirmed crash of an endpoint. */
export interface CrashObservation {
  /** Identifies the incarnation of the endpoint, for example by its identifier and start time. */
  readonly id: string
  /** Runs of this host that were starting there. */
  readonly runs: readonly RunKeys[]
}

/**
 * Decides which requests are refused because they, or a part of their prompts, crash the engines that begin a response to them.
 * Hosts share evidence, not decisions: crashes with the keys that were starting there, and proofs that keys are harmless. Reports
 * of crashes merge as in a state-based replicated data type (Shapiro et al. 2011), so loss, repetition and order do not matter.
 */
export class CrashQuarantine {
  private readonly _log = new CrashLog()
  private readonly _proven = { requests: new ProvenKeyCache(), parts: new ProvenKeyCache() }
  /** Derived from the log when needed, as is the decision. */
  private _cachedTimes?: CrashTimes
  private _decision?: QuarantineDecision

  /**
   * Records a crash that this host has noticed. Several observations of one crash count once, with all their runs.
   *
   * @param crash - The crash.
   * @param nowMs - Monotonic time in milliseconds.
   * @returns Whether the crash or one of its runs was unknown, so that the peers should be told.
   */
  recordCrash ({ id, runs }: CrashObservation, nowMs: number): boolean {
    if (runs.length === 0) return false
    const reportedRuns = runs.map(({ request, parts }): ReportedRun => [request, parts.map((part, depth): ReportedPart => [depth, part])])
    return this._addCrashes([[id, 0, reportedRuns]], nowMs)
  }

  /**
   * Records that a run completed or got well past its first event. Crashes up to `PROOF_TTL_MS` later do not count against its
   * keys, nor do earlier ones.
   *
   * @param keys - Keys of the run.
   * @param nowMs - Monotonic time in milliseconds.
   * @returns Whether it clears a key of a known crash, so that the peers should be told.
   */
  recordProof ({ request, parts }: RunKeys, nowMs: number): boolean {
    const clearsRequest = this._addProof(this._proven.requests, this._times.requests, request, nowMs)
    const clearsPart = parts.map(part => this._addProof(this._proven.parts, this._times.parts, part, nowMs))
    return clearsRequest || clearsPart.includes(true)
  }

  /**
   * Checks a request.
   *
   * @param keys - Keys of the request.
   * @param nowMs - Monotonic time in milliseconds.
   * @returns The key because of which the request must be refused, a part rather than the fingerprint; `undefined` if it may run.
   */
  quarantined ({ request, parts }: RunKeys, nowMs: number): string | undefined {
    this._expire(nowMs)
    if (this._log.size === 0) return undefined
    const decision = this._decide()
    return parts.find(part => decision.parts.has(part)) ?? (decision.requests.has(request) ? request : undefined)
  }

  /**
   * @param nowMs - Monotonic time in milliseconds.
   * @returns Whether there is nothing to report.
   */
  isEmpty (nowMs: number): boolean {
    return !this._log.list().some(({ atMs }) => nowMs - atMs < CRASH_REPORT_MAX_AGE_MS)
  }

  /**
   * Builds the report for the peers.
   *
   * @param nowMs - Monotonic time in milliseconds.
   * @returns The report; its lists are bounded so that it fits in a datagram.
   */
  report (nowMs: number): CrashReport {
    this._expire(nowMs)
    return buildCrashReport({ crashes: this._log.list(), times: this._times, decision: this._decide(), proven: this._proven }, nowMs)
  }

  /**
   * Merges the report of a peer. Malformed entries and those beyond the bounds of a report are ignored.
   *
   * @param report - The report, a `CrashReport` if it is well-formed.
   * @param nowMs - Monotonic time in milliseconds.
   * @returns Whether it contained a crash, run or proof that was unknown. Ages alone are nothing new.
   */
  merge (report: unknown, nowMs: number): boolean {
    const { crashes, quarantined, provenParts, provenRequests } = parseCrashReport(report)
    const hasNewCrash = this._addCrashes([...crashes, ...quarantined.flatMap(([,, ofKey]) => ofKey)], nowMs)
    const hasNewPart = this._mergeProofs(this._proven.parts, this._times.parts, provenParts, nowMs)
    const hasNewRequest = this._mergeProofs(this._proven.requests, this._times.requests, provenRequests, nowMs)
    return hasNewCrash || hasNewPart || hasNewRequest
  }

  private _addCrashes (crashes: readonly ReportedCrash[], nowMs: number): boolean {
    this._expire(nowMs)
    const changes = crashes.map(([id, ageMs, runs]) => this._log.add(toCrashEvidence(id, nowMs - ageMs, runs)))
    if (changes.some(({ isNew, isEarlier }) => isNew || isEarlier)) this._invalidate()
    return changes.some(({ isNew }) => isNew)
  }

  private _mergeProofs (proven: ProvenKeyCache, times: KeyCrashTimes, proofs: readonly ReportedProvenKey[], nowMs: number): boolean {
    const isNew = proofs.map(([key, ageMs]) => {
      const provenMs = nowMs - ageMs
      if (proven.provenMs(key) !== undefined && !clearsMore(proven, times, key, provenMs)) return false
      this._addProof(proven, times, key, provenMs)
      return true
    })
    return isNew.includes(true)
  }

  private _addProof (proven: ProvenKeyCache, times: KeyCrashTimes, key: string, provenMs: number): boolean {
    const clears = clearsMore(proven, times, key, provenMs)
    proven.add(key, provenMs, times)
    if (clears) this._decision = undefined
    return clears
  }

  private get _times (): CrashTimes {
    this._cachedTimes ??= toCrashTimes(this._log.list())
    return this._cachedTimes
  }

  private _decide (): QuarantineDecision {
    this._decision ??= decideQuarantine(this._log.list(), this._proven)
    return this._decision
  }

  private _expire (nowMs: number): void {
    if (this._log.expire(nowMs)) this._invalidate()
  }

  private _invalidate (): void {
    this._cachedTimes = undefined
    this._decision = undefined
  }
}

function clearsMore (proven: ProvenKeyCache, times: KeyCrashTimes, key: string, provenMs: number): boolean {
  const uncleared = times.get(key)?.filter(crashMs => !proven.clears(key, crashMs)) ?? []
  return uncleared.some(crashMs => isCleared(crashMs, provenMs))
}
