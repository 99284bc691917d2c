import { MAX_CRASHES, QUARANTINE_CRASHES, SAME_CRASH_MS, SUSPECT_TTL_MS } from './constants.js'

/** Crash of an endpoint while a request was running on it. */
export interface EndpointCrash {
  readonly endpointId: string
  /** Monotonic time in milliseconds. */
  readonly atMs: number
  /** Whether the request was the only suspect on the endpoint, so that the crash implicates it alone. */
  readonly alone: boolean
}

/** Crashes attributed to one request, and when it was last cleared. */
export interface Suspect {
  readonly fingerprint: string
  readonly crashes: readonly EndpointCrash[]
  /** Crashes up to this time are ignored, in monotonic milliseconds. */
  readonly clearedMs: number
}

/**
 * Merges two records of a suspect. Merging is commutative and idempotent.
 *
 * @param a - One record.
 * @param b - Another record of the same fingerprint.
 * @returns Crashes of both after the later clearing; reports of the same crash count once.
 */
export function mergeSuspects (a: Suspect, b: Suspect): Suspect {
  const clearedMs = Math.max(a.clearedMs, b.clearedMs)
  const crashes = [...a.crashes, ...b.crashes]
    .filter(crash => crash.atMs > clearedMs)
    .sort((x, y) => x.atMs - y.atMs || (x.endpointId < y.endpointId ? -1 : 1))
    .reduce<EndpointCrash[]>(addCrash, [])
  return { fingerprint: a.fingerprint, crashes: crashes.slice(-MAX_CRASHES), clearedMs }
}

/**
 * Removes crashes older than `SUSPECT_TTL_MS`.
 *
 * @param suspect - A suspect.
 * @param nowMs - Monotonic time in milliseconds.
 * @returns The suspect without expired crashes.
 */
export function withoutExpiredCrashes (suspect: Suspect, nowMs: number): Suspect {
  return { ...suspect, crashes: suspect.crashes.filter(crash => nowMs - crash.atMs < SUSPECT_TTL_MS) }
}

/**
 * Decides whether a suspect is refused: after two crashes of which one implicates it alone, else after three.
 *
 * @param suspect - A suspect.
 * @returns Whether it is refused.
 */
export function isQuarantined (suspect: Suspect): boolean {
  const { crashes } = suspect
  const conclusive = crashes.some(crash => crash.alone)
  return crashes.length >= MAX_CRASHES || (crashes.length >= QUARANTINE_CRASHES && conclusive)
}

/**
 * Decides whether a suspect must run on an endpoint without other suspects, because two crashes have not shown which of
 * them is the cause.
 *
 * @param suspect - A suspect.
 * @returns Whether it needs such an endpoint.
 */
export function requiresIsolation (suspect: Suspect): boolean {
  return suspect.crashes.length >= QUARANTINE_CRASHES
}

function addCrash (recordedCrashes: EndpointCrash[], crash: EndpointCrash): EndpointCrash[] {
  const index = recordedCrashes.findIndex(other => isSameCrash(other, crash))
  const same = recordedCrashes[index]
  if (same === undefined) return [...recordedCrashes, crash]
  return recordedCrashes.with(index, { ...same, alone: same.alone && crash.alone })
}

function isSameCrash (a: EndpointCrash, b: EndpointCrash): boolean {
  return a.endpointId === b.endpointId && Math.abs(a.atMs - b.atMs) < SAME_CRASH_MS
}
