import { MAX_STORED_PARTS, MAX_STORED_RUNS } from './constants.js'
import { ReportedRun } from './JaymillCrashReport.js'

/** Parts of a prompt with their positions; the first part has position 0. */
export type PartDepths = ReadonlyMap<string, number>

const NO_PARTS: PartDepths = new Map()

/** What is known about one crash of an endpoint. */
export interface CrashEvidence {
  /** Identifies the incarnation of the endpoint that crashed. */
  readonly id: string
  /** Earliest time at which a host noticed the crash, in monotonic milliseconds. */
  readonly atMs: number
  /** Parts of the runs that were starting there, by the fingerprint of the request. */
  readonly runs: ReadonlyMap<string, PartDepths>
}

/**
 * Creates the evidence of a crash.
 *
 * @param id - Identifies the incarnation of the endpoint.
 * @param atMs - Monotonic time in milliseconds.
 * @param runs - Runs that were starting there; a request may occur more than once.
 * @returns The evidence, within the bounds.
 */
export function toCrashEvidence (id: string, atMs: number, runs: readonly ReportedRun[]): CrashEvidence {
  const single = runs.map(([request, parts]) => new Map([[request, toPartDepths(parts)]]))
  return { id, atMs, runs: single.reduce<CrashEvidence['runs']>(mergeRuns, new Map()) }
}

/**
 * Merges two records of the same crash. Merging is commutative, associative and idempotent.
 *
 * @param a - One record.
 * @param b - Another record of the same crash.
 * @returns The union of the runs within the bounds, with the earlier time: transfer makes a reported time only later.
 */
export function mergeCrashEvidence (a: CrashEvidence, b: CrashEvidence): CrashEvidence {
  return { id: a.id, atMs: Math.min(a.atMs, b.atMs), runs: mergeRuns(a.runs, b.runs) }
}

/**
 * Checks whether runs are already known. Times are not compared.
 *
 * @param known - Known record of a crash.
 * @param merged - Record of the same crash after merging.
 * @returns Whether the known record has all runs and parts of the merged one.
 */
export function hasAllRuns (known: CrashEvidence, merged: CrashEvidence): boolean {
  return [...merged.runs].every(([request, parts]) => {
    const knownParts = known.runs.get(request)
    return knownParts !== undefined && [...parts].every(([part, depth]) => knownParts.get(part) === depth)
  })
}

/**
 * Compares strings by their code units, the same on all hosts.
 *
 * @param a - One string.
 * @param b - Another string.
 * @returns Negative if `a` comes first, positive if `b` does, 0 if they are equal.
 */
export function compareKeys (a: string, b: string): number {
  if (a === b) return 0
  return a < b ? -1 : 1
}

/** The largest position of each part. */
function toPartDepths (parts: ReportedRun[1]): PartDepths {
  const deepest = new Map(parts.toSorted(([depthA], [depthB]) => depthA - depthB).map(([depth, part]) => [part, depth]))
  return deepestParts([...deepest])
}

function mergeRuns (a: CrashEvidence['runs'], b: CrashEvidence['runs']): CrashEvidence['runs'] {
  const requests = [...new Set([...a.keys(), ...b.keys()])].sort(compareKeys).slice(0, MAX_STORED_RUNS)
  return new Map(requests.map(request => [request, mergeParts(a.get(request), b.get(request))]))
}

function mergeParts (a: PartDepths = NO_PARTS, b: PartDepths = NO_PARTS): PartDepths {
  if (a.size === 0) return b
  if (b.size === 0) return a
  const parts = [...new Set([...a.keys(), ...b.keys()])]
  return deepestParts(parts.map(part => [part, Math.max(a.get(part) ?? 0, b.get(part) ?? 0)]))
}

function deepestParts (parts: readonly (readonly [part: string, depth: number])[]): PartDepths {
  const deepestFirst = parts.toSorted(([partA, depthA], [partB, depthB]) => depthB - depthA || compareKeys(partA, partB))
  return new Map(deepestFirst.slice(0, MAX_STORED_PARTS))
}
