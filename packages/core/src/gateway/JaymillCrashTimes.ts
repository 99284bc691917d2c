import { CrashEvidence } from './JaymillCrashEvidence.js'

/** Times of the crashes in which each key occurs, in monotonic milliseconds. */
export type KeyCrashTimes = ReadonlyMap<string, readonly number[]>

/** Times of the crashes in which each request and each part occurs. */
export interface CrashTimes {
  readonly requests: KeyCrashTimes
  readonly parts: KeyCrashTimes
}

/**
 * Collects the keys of crashes.
 *
 * @param crashes - Evidence of the crashes.
 * @returns Times of the crashes of each key.
 */
export function toCrashTimes (crashes: readonly CrashEvidence[]): CrashTimes {
  const requests = crashes.map(({ atMs, runs }) => ({ atMs, keys: [...runs.keys()] }))
  const parts = crashes.map(({ atMs, runs }) => ({ atMs, keys: [...runs.values()].flatMap(ofRun => [...ofRun.keys()]) }))
  return { requests: collect(requests), parts: collect(parts) }
}

function collect (crashes: readonly { readonly atMs: number, readonly keys: readonly string[] }[]): KeyCrashTimes {
  const times = new Map<string, number[]>()
  const addTime = (key: string, atMs: number): void => {
    const ofKey = times.get(key)
    if (ofKey === undefined) times.set(key, [atMs])
    else ofKey.push(atMs)
  }
  crashes.forEach(({ atMs, keys }) => new Set(keys).forEach(key => addTime(key, atMs)))
  return times
}
