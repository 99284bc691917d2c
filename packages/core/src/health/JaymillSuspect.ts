import { MAX_DEATHS, QUARANTINE_DEATHS, SAME_DEATH_MS, SUSPICION_TTL_MS } from './constants.js'

/** Death of an endpoint while a request ran on it. */
export interface Death {
  readonly endpointId: string
  /** Monotonic time in milliseconds. */
  readonly atMs: number
  /** Whether it was the only suspect there, so that the death speaks against it alone. */
  readonly alone: boolean
}

/** Deaths held against one fingerprint, and when it was last cleared. */
export interface Suspect {
  readonly fingerprint: string
  readonly deaths: readonly Death[]
  /** Deaths up to this time don't count, in monotonic milliseconds. */
  readonly clearedMs: number
}

/**
 * Joins two views of a suspect. The result is the same in any order and when repeated.
 *
 * @param a - One view.
 * @param b - Another view of the same fingerprint.
 * @returns Deaths of both that count after the later clearance; reports of one death are one.
 */
export function joinSuspects (a: Suspect, b: Suspect): Suspect {
  const clearedMs = Math.max(a.clearedMs, b.clearedMs)
  const deaths = [...a.deaths, ...b.deaths]
    .filter(death => death.atMs > clearedMs)
    .sort((x, y) => x.atMs - y.atMs || (x.endpointId < y.endpointId ? -1 : 1))
    .reduce<Death[]>(addDeath, [])
  return { fingerprint: a.fingerprint, deaths: deaths.slice(-MAX_DEATHS), clearedMs }
}

/**
 * @param suspect - Any suspect.
 * @param nowMs - Monotonic time in milliseconds.
 * @returns The suspect without deaths that are too old to count.
 */
export function withoutOldDeaths (suspect: Suspect, nowMs: number): Suspect {
  return { ...suspect, deaths: suspect.deaths.filter(death => nowMs - death.atMs < SUSPICION_TTL_MS) }
}

/**
 * @param suspect - Any suspect.
 * @returns Whether it is refused: after two deaths, or after a third where other suspects shared the second.
 */
export function isQuarantined (suspect: Suspect): boolean {
  const { deaths } = suspect
  const conclusive = deaths.some(death => death.alone)
  return deaths.length >= MAX_DEATHS || (deaths.length >= QUARANTINE_DEATHS && conclusive)
}

/**
 * @param suspect - Any suspect.
 * @returns Whether it has to run without other suspects beside it, because two deaths have not told them apart.
 */
export function mustIsolate (suspect: Suspect): boolean {
  return suspect.deaths.length >= QUARANTINE_DEATHS
}

function addDeath (kept: Death[], death: Death): Death[] {
  const index = kept.findIndex(other => sameDeath(other, death))
  const same = kept[index]
  if (same === undefined) return [...kept, death]
  return kept.with(index, { ...same, alone: same.alone && death.alone })
}

function sameDeath (a: Death, b: Death): boolean {
  return a.endpointId === b.endpointId && Math.abs(a.atMs - b.atMs) < SAME_DEATH_MS
}
