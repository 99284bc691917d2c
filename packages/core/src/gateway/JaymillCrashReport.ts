/** Part of a prompt as a report carries it. */
export type ReportedPart = readonly [depth: number, part: string]

/** Run that was starting at an endpoint when it crashed, with some of its parts. */
export type ReportedRun = readonly [request: string, parts: readonly ReportedPart[]]

/** Crash of an endpoint, with some of the runs that were starting there. */
export type ReportedCrash = readonly [id: string, ageMs: number, runs: readonly ReportedRun[]]

/** Quarantined key, the time since its latest crash in milliseconds, and the crashes because of which any host quarantines it. */
export type ReportedQuarantine = readonly [key: string, ageMs: number, crashes: readonly ReportedCrash[]]

/** Proven key, and the time since its latest proof in milliseconds. */
export type ReportedProvenKey = readonly [key: string, ageMs: number]

/**
 * What a host tells its peers about crashes. It carries ages instead of times because hosts share no clock. It is complete by
 * itself, and merging reports in any order, or twice, gives the same evidence.
 */
export interface CrashReport {
  /** Crashes that no quarantined part explains, then the others; each the newest first. */
  readonly crashes: readonly ReportedCrash[]
  /** Quarantined parts and requests, the most recent first. */
  readonly quarantined: readonly ReportedQuarantine[]
  /** Parts of the crashes that are proven harmless, those in the most crashes first. */
  readonly provenParts: readonly ReportedProvenKey[]
  /** Requests of the crashes that are proven harmless, those in the most crashes first. */
  readonly provenRequests: readonly ReportedProvenKey[]
}
