import {
  CRASH_REPORT_MAX_AGE_MS, MAX_PROOF_AGE_MS, MAX_REPORTED_CRASHES, MAX_REPORTED_PARTS, MAX_REPORTED_QUARANTINED, MAX_REPORTED_RUNS,
  MAX_REPORTED_PROVEN
} from './constants.js'
import { compareKeys, CrashEvidence, PartDepths } from './JaymillCrashEvidence.js'
import { CrashReport, ReportedCrash, ReportedPart, ReportedQuarantine, ReportedRun, ReportedProvenKey } from './JaymillCrashReport.js'
import { CrashTimes, KeyCrashTimes } from './JaymillCrashTimes.js'
import { ProvenKeys, QuarantineDecision, Sighting } from './JaymillQuarantineDecision.js'
import { selectWitnesses } from './JaymillQuarantineWitnesses.js'
import { ProvenKeyCache } from './JaymillProvenKeyCache.js'

/** State that a report is built from. */
export interface CrashReportSource {
  /** Crashes, the newest first. */
  readonly crashes: readonly CrashEvidence[]
  readonly times: CrashTimes
  readonly decision: QuarantineDecision
  readonly proven: ProvenKeys
}

/**
 * Builds the report of a host for its peers. Explained crashes follow the others: their parts can show a peer that it has
 * quarantined the wrong one.
 *
 * @param source - State of the host.
 * @param nowMs - Monotonic time in milliseconds.
 * @returns The report, within its bounds.
 */
export function buildCrashReport (source: CrashReportSource, nowMs: number): CrashReport {
  const provenParts = reportProven(source.proven.parts, source.times.parts, nowMs).slice(0, MAX_REPORTED_PROVEN)
  const provenRequests = reportProven(source.proven.requests, source.times.requests, nowMs)
  return {
    crashes: reportCrashes(source, nowMs),
    quarantined: reportQuarantined(source.decision, nowMs),
    provenParts,
    provenRequests: provenRequests.slice(0, MAX_REPORTED_PROVEN - provenParts.length)
  }
}

function reportCrashes (source: CrashReportSource, nowMs: number): readonly ReportedCrash[] {
  const { explained } = source.decision
  const recent = source.crashes.filter(({ atMs }) => nowMs - atMs < CRASH_REPORT_MAX_AGE_MS)
  const ordered = [...recent.filter(({ id }) => !explained.has(id)), ...recent.filter(({ id }) => explained.has(id))]
  return ordered
    .map((crash): ReportedCrash => [crash.id, nowMs - crash.atMs, reportRuns(crash, source)])
    .filter(([,, runs]) => runs.length > 0)
    .slice(0, MAX_REPORTED_CRASHES)
}

/** The runs that share keys with the most crashes come first. Proven keys are left out, as they are not the cause. */
function reportRuns (crash: CrashEvidence, { proven, times }: CrashReportSource): readonly ReportedRun[] {
  return [...crash.runs]
    .map(([request, parts]): ReportedRun => [request, reportParts(crash, parts, proven.parts, times.parts)])
    .filter(([request, parts]) => parts.length > 0 || !proven.requests.clears(request, crash.atMs))
    .sort((a, b) => countCrashes(b, times) - countCrashes(a, times) || compareKeys(a[0], b[0]))
    .slice(0, MAX_REPORTED_RUNS)
}

function reportParts (crash: CrashEvidence, parts: PartDepths, proven: ProvenKeyCache, times: KeyCrashTimes): readonly ReportedPart[] {
  const crashes = (part: string): number => times.get(part)?.length ?? 0
  return [...parts]
    .map(([part, depth]): ReportedPart => [depth, part])
    .filter(([, part]) => !proven.clears(part, crash.atMs))
    .sort(([depthA, a], [depthB, b]) => crashes(b) - crashes(a) || depthB - depthA || compareKeys(a, b))
    .slice(0, MAX_REPORTED_PARTS)
}

function countCrashes ([request, parts]: ReportedRun, times: CrashTimes): number {
  const ofParts = parts.map(([, part]) => times.parts.get(part)?.length ?? 0)
  return Math.max(times.requests.get(request)?.length ?? 0, ...ofParts)
}

function reportQuarantined ({ parts, requests }: QuarantineDecision, nowMs: number): readonly ReportedQuarantine[] {
  const reportedParts = [...parts].map(([key, sightings]) => reportQuarantine(key, sightings, nowMs, ({ depth }) => [[depth, key]]))
  const reportedRequests = [...requests].map(([key, sightings]) => reportQuarantine(key, sightings, nowMs, () => []))
  return [...reportedParts, ...reportedRequests]
    .filter(([,, crashes]) => crashes.length > 0)
    .sort((a, b) => a[1] - b[1] || compareKeys(a[0], b[0]))
    .slice(0, MAX_REPORTED_QUARANTINED)
}

function reportQuarantine (
  key: string, sightings: readonly Sighting[], nowMs: number, toParts: (sighting: Sighting) => readonly ReportedPart[]
): ReportedQuarantine {
  const ageMs = nowMs - Math.max(...sightings.map(({ crash }) => crash.atMs))
  const recent = sightings.filter(({ crash }) => nowMs - crash.atMs < CRASH_REPORT_MAX_AGE_MS)
  const crashes = selectWitnesses(recent).map((sighting): ReportedCrash => {
    return [sighting.crash.id, nowMs - sighting.crash.atMs, [[sighting.request, toParts(sighting)]]]
  })
  return [key, ageMs, crashes]
}

function reportProven (proven: ProvenKeyCache, times: KeyCrashTimes, nowMs: number): readonly ReportedProvenKey[] {
  const crashes = (key: string): number => times.get(key)?.length ?? 0
  return [...times.keys()]
    .map((key): ReportedProvenKey => [key, nowMs - (proven.provenMs(key) ?? Number.NEGATIVE_INFINITY)])
    .filter(([, ageMs]) => ageMs < MAX_PROOF_AGE_MS)
    .sort(([a, ageA], [b, ageB]) => crashes(b) - crashes(a) || ageA - ageB || compareKeys(a, b))
}
