import {
  CRASH_REPORT_MAX_AGE_MS, MAX_PROOF_AGE_MS, MAX_REPORTED_CRASHES, MAX_REPORTED_DEPTH, MAX_REPORTED_KEY_LENGTH, MAX_REPORTED_PARTS,
  MAX_REPORTED_QUARANTINED, MAX_REPORTED_RUNS, MAX_REPORTED_PROVEN, MAX_REPORTED_WITNESSES
} from './constants.js'
import { CrashReport, ReportedCrash, ReportedPart, ReportedQuarantine, ReportedRun, ReportedProvenKey } from './JaymillCrashReport.js'

/**
 * Reads a report of a peer. Malformed entries are left out, and so are those beyond the bounds of a report.
 *
 * @param value - Content of the peer's message.
 * @returns A report with the well-formed entries.
 */
export function parseCrashReport (value: unknown): CrashReport {
  const { crashes, quarantined, provenParts, provenRequests } = toRecord(value)
  return {
    crashes: parseEach(crashes, MAX_REPORTED_CRASHES, parseCrash),
    quarantined: parseEach(quarantined, MAX_REPORTED_QUARANTINED, parseQuarantine),
    provenParts: parseEach(provenParts, MAX_REPORTED_PROVEN, parseSoundKey),
    provenRequests: parseEach(provenRequests, MAX_REPORTED_PROVEN, parseSoundKey)
  }
}

function toRecord (value: unknown): Record<string, unknown> {
  return typeof value === 'object' && value !== null ? value as Record<string, unknown> : {}
}

function toArray (value: unknown): readonly unknown[] {
  return Array.isArray(value) ? value : []
}

function parseEach<T> (value: unknown, maxEntries: number, parse: (entry: readonly unknown[]) => T | undefined): readonly T[] {
  return toArray(value).slice(0, maxEntries).map(entry => parse(toArray(entry))).filter(entry => entry !== undefined)
}

function parseCrash ([id, ageMs, runs]: readonly unknown[]): ReportedCrash | undefined {
  const parsedRuns = parseEach(runs, MAX_REPORTED_RUNS, parseRun)
  return isKey(id) && isAge(ageMs, CRASH_REPORT_MAX_AGE_MS) && parsedRuns.length > 0 ? [id, ageMs, parsedRuns] : undefined
}

function parseRun ([request, parts]: readonly unknown[]): ReportedRun | undefined {
  return isKey(request) ? [request, parseEach(parts, MAX_REPORTED_PARTS, parsePart)] : undefined
}

function parsePart ([depth, part]: readonly unknown[]): ReportedPart | undefined {
  return isDepth(depth) && isKey(part) ? [depth, part] : undefined
}

function parseQuarantine ([key, ageMs, crashes]: readonly unknown[]): ReportedQuarantine | undefined {
  return isKey(key) && isAge(ageMs, CRASH_REPORT_MAX_AGE_MS) ? [key, ageMs, parseEach(crashes, MAX_REPORTED_WITNESSES, parseCrash)] : undefined
}

function parseSoundKey ([key, ageMs]: readonly unknown[]): ReportedProvenKey | undefined {
  return isKey(key) && isAge(ageMs, MAX_PROOF_AGE_MS) ? [key, ageMs] : undefined
}

function isKey (value: unknown): value is string {
  return typeof value === 'string' && value.length > 0 && value.length <= MAX_REPORTED_KEY_LENGTH
}

function isAge (value: unknown, maxMs: number): value is number {
  return typeof value === 'number' && value >= 0 && value < maxMs
}

function isDepth (value: unknown): value is number {
  return typeof value === 'number' && Number.isInteger(value) && value >= 0 && value <= MAX_REPORTED_DEPTH
}
