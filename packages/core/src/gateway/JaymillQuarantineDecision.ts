import {
  PART_QUARANTINE_INCIDENTS, PART_QUARANTINE_INCIDENTS_OF_DIFFERENT_REQUESTS, REQUEST_QUARANTINE_INCIDENTS, SAME_INCIDENT_MS
} from './constants.js'
import { compareKeys, CrashEvidence } from './JaymillCrashEvidence.js'
import { ProvenKeyCache } from './JaymillProvenKeyCache.js'

/** A key in a run that was starting at an endpoint when it crashed. */
export interface Sighting {
  readonly key: string
  /** Position in the prompt; 0 for the fingerprint of a request. */
  readonly depth: number
  /** Fingerprint of the request that carried it. */
  readonly request: string
  readonly crash: CrashEvidence
  /** Number of the incident; crashes at about the same time are one incident. */
  readonly incident: number
}

/** Sightings because of which each key is quarantined. */
export type QuarantinedKeys = ReadonlyMap<string, readonly Sighting[]>

/** Requests and parts to refuse. */
export interface QuarantineDecision {
  readonly requests: QuarantinedKeys
  readonly parts: QuarantinedKeys
  /** Identifiers of the crashes that a quarantined part explains. */
  readonly explained: ReadonlySet<string>
}

/** Proven keys, which crashes do not count against. */
export interface ProvenKeys {
  readonly requests: ProvenKeyCache
  readonly parts: ProvenKeyCache
}

/** A part that may be the cause of crashes, with those of its sightings that no other part explains. */
interface Suspicion {
  readonly key: string
  readonly sightings: readonly Sighting[]
  readonly incidents: ReadonlySet<number>
  /** Largest position. */
  readonly depth: number
}

interface Incident {
  readonly firstMs: number
  readonly crashes: readonly CrashEvidence[]
}

/**
 * Decides which requests and parts are quarantined. Hosts with the same evidence decide the same. The parts with the most
 * incidents are chosen one after another, as in the greedy algorithm for set cover (Chvátal 1979): crashes with a chosen
 * part do not count against other parts.
 *
 * @param crashes - Evidence of recent crashes, in any order.
 * @param proven - Proven keys.
 * @returns The decision.
 */
export function decideQuarantine (crashes: readonly CrashEvidence[], proven: ProvenKeys): QuarantineDecision {
  const incidents = toIncidents(crashes.filter(crash => hasCandidate(crash, proven)))
  const parts = quarantineParts(incidents.flatMap(partSightings).filter(({ key, crash }) => !proven.parts.clears(key, crash.atMs)))
  const requests = incidents.flatMap(requestSightings).filter(({ key, crash }) => !proven.requests.clears(key, crash.atMs))
  const explained = new Set([...parts.values()].flat().map(({ crash }) => crash.id))
  return { requests: quarantineRequests(requests), parts, explained }
}

/** Crashes without any would group the others differently at hosts that were not told of them. */
function hasCandidate ({ atMs, runs }: CrashEvidence, { requests, parts }: ProvenKeys): boolean {
  return [...runs].some(([request, ofRun]) => !requests.clears(request, atMs) || [...ofRun.keys()].some(part => !parts.clears(part, atMs)))
}

function toIncidents (crashes: readonly CrashEvidence[]): readonly Incident[] {
  return [...crashes]
    .sort((a, b) => a.atMs - b.atMs || compareKeys(a.id, b.id))
    .reduce<Incident[]>(addToIncidents, [])
}

function addToIncidents (incidents: Incident[], crash: CrashEvidence): Incident[] {
  const last = incidents.at(-1)
  if (last === undefined || crash.atMs - last.firstMs > SAME_INCIDENT_MS) {
    return [...incidents, { firstMs: crash.atMs, crashes: [crash] }]
  }
  return incidents.with(-1, { ...last, crashes: [...last.crashes, crash] })
}

function partSightings ({ crashes }: Incident, incident: number): readonly Sighting[] {
  return crashes.flatMap(crash => [...crash.runs].flatMap(([request, parts]) =>
    [...parts].map(([key, depth]) => ({ key, depth, request, crash, incident }))))
}

function requestSightings ({ crashes }: Incident, incident: number): readonly Sighting[] {
  return crashes.flatMap(crash => [...crash.runs.keys()].map(key => ({ key, depth: 0, request: key, crash, incident })))
}

function quarantineRequests (sightings: readonly Sighting[]): QuarantinedKeys {
  const quarantined = toSuspicions(sightings).filter(({ incidents }) => incidents.size >= REQUEST_QUARANTINE_INCIDENTS)
  return new Map(quarantined.map(({ key, sightings }) => [key, sightings]))
}

function quarantineParts (unexplained: readonly Sighting[], quarantined: QuarantinedKeys = new Map()): QuarantinedKeys {
  const [strongest] = toSuspicions(unexplained).filter(isConclusive).sort(compareSuspicions)
  if (strongest === undefined) return quarantined
  const explained = new Set(strongest.sightings.map(({ crash }) => crash.id))
  const rest = unexplained.filter(({ crash }) => !explained.has(crash.id))
  return quarantineParts(rest, new Map([...quarantined, [strongest.key, strongest.sightings]]))
}

function toSuspicions (sightings: readonly Sighting[]): readonly Suspicion[] {
  const byKey = new Map<string, Sighting[]>()
  sightings.forEach(sighting => {
    const ofKey = byKey.get(sighting.key)
    if (ofKey === undefined) byKey.set(sighting.key, [sighting])
    else ofKey.push(sighting)
  })
  return [...byKey].map(([key, ofKey]) => toSuspicion(key, ofKey))
}

function toSuspicion (key: string, sightings: readonly Sighting[]): Suspicion {
  const incidents = new Set(sightings.map(({ incident }) => incident))
  return { key, sightings, incidents, depth: Math.max(...sightings.map(({ depth }) => depth)) }
}

function isConclusive ({ incidents, sightings }: Suspicion): boolean {
  if (incidents.size >= PART_QUARANTINE_INCIDENTS) return true
  const requests = new Set(sightings.map(({ request }) => request))
  return incidents.size >= PART_QUARANTINE_INCIDENTS_OF_DIFFERENT_REQUESTS && requests.size >= 2
}

function compareSuspicions (a: Suspicion, b: Suspicion): number {
  return b.incidents.size - a.incidents.size || b.depth - a.depth || compareKeys(a.key, b.key)
}
