import { describe, expect, test } from 'vitest'
import { CrashObservation, CrashQuarantine, RunKeys } from '../../../index.js'

const TTL_MS = 600_000
const START_MS = 1_000_000
/** Time between unrelated crashes, in milliseconds. */
const APART_MS = 1_000

function run (request: string, ...parts: readonly string[]): RunKeys {
  return { request, parts }
}

/** Records crashes of different endpoints that are not related. */
function crashes (runsOfEach: readonly (readonly RunKeys[])[], quarantine = new CrashQuarantine()): CrashQuarantine {
  runsOfEach.forEach((runs, i) => quarantine.recordCrash({ id: `e${i}`, runs }, START_MS + i * APART_MS))
  return quarantine
}

const AFTER_MS = START_MS + 10 * APART_MS

function isRefused (quarantine: CrashQuarantine, keys: RunKeys, nowMs = AFTER_MS): boolean {
  return quarantine.quarantined(keys, nowMs) !== undefined
}

describe('a part that crashes engines', () => {
  test('in the middle is refused in any other request, and its shared first part is not, though nothing is proven', () => {
    const quarantine = crashes([[run('r1', 'first', 'poison', 'a')], [run('r2', 'first', 'poison', 'b')]])
    expect(quarantine.quarantined(run('r3', 'first', 'poison', 'c'), AFTER_MS)).toBe('poison')
    expect(isRefused(quarantine, run('r4', 'first', 'a'))).toBe(false)
    expect(isRefused(quarantine, run('r5', 'first', 'b'))).toBe(false)
  })

  test('in the middle is refused, and its proven first part is not, though more crashes have that', () => {
    const quarantine = new CrashQuarantine()
    quarantine.recordProof(run('s', 'first'), START_MS)
    crashes([[run('r1', 'first', 'poison')], [run('r2', 'first', 'poison')], [run('r3', 'first')], [run('r4', 'first')]], quarantine)
    expect(quarantine.quarantined(run('r5', 'first', 'poison'), AFTER_MS)).toBe('poison')
    expect(isRefused(quarantine, run('r6', 'first'))).toBe(false)
  })

  test('at the first position is refused, and the other parts are not', () => {
    const quarantine = crashes([[run('r1', 'poison', 'a', 'b')], [run('r2', 'poison', 'c', 'd')]])
    expect(quarantine.quarantined(run('r3', 'poison', 'e'), AFTER_MS)).toBe('poison')
    expect(isRefused(quarantine, run('r4', 'other', 'a', 'b', 'c', 'd'))).toBe(false)
  })

  test('is not refused after one crash', () => {
    const quarantine = crashes([[run('r1', 'poison'), run('r2', 'poison')]])
    expect(isRefused(quarantine, run('r1', 'poison'))).toBe(false)
  })

  test('is refused after three crashes if the same request carried it, not after two', () => {
    const two = crashes([[run('r1', 'p')], [run('r1', 'p')]])
    expect(isRefused(two, run('r2', 'p'))).toBe(false)
    const three = crashes([[run('r1', 'p')], [run('r1', 'p')], [run('r1', 'p')]])
    expect(three.quarantined(run('r2', 'p'), AFTER_MS)).toBe('p')
  })

  test('does not make two reports of one crash count as two', () => {
    const quarantine = new CrashQuarantine()
    const crash: CrashObservation = { id: 'e', runs: [run('r1', 'p')] }
    expect(quarantine.recordCrash(crash, START_MS)).toBe(true)
    expect(quarantine.recordCrash(crash, START_MS + APART_MS)).toBe(false)
    expect(quarantine.recordCrash({ id: 'e', runs: [run('r2', 'p')] }, START_MS + 2 * APART_MS)).toBe(true)
    expect(isRefused(quarantine, run('r1', 'p'))).toBe(false)
    quarantine.recordCrash({ id: 'f', runs: [run('r3', 'p')] }, START_MS + 3 * APART_MS)
    expect(isRefused(quarantine, run('r4', 'p'))).toBe(true)
  })

  test('is one of two that each explain their own crashes', () => {
    const quarantine = crashes([
      [run('r1', 'first', 'x')], [run('r2', 'first', 'x')], [run('r3', 'first', 'x')],
      [run('r4', 'other', 'y')], [run('r5', 'other', 'y')]
    ])
    expect(quarantine.quarantined(run('r6', 'x'), AFTER_MS)).toBe('x')
    expect(quarantine.quarantined(run('r7', 'y'), AFTER_MS)).toBe('y')
    expect(isRefused(quarantine, run('r8', 'first', 'other'))).toBe(false)
  })

  // Guards against causes that crash endpoints at about the same time and release each other with each new crash.
  test('stays refused while another part crashes engines at about the same time', () => {
    const quarantine = new CrashQuarantine()
    quarantine.recordProof(run('s', 'system'), 0)
    const crashesOf = new Map([['d1', 0], ['d2', 0]])
    Array.from({ length: 50 }, (_, i) => 1_000 + i * 400).forEach(startMs => [...crashesOf.keys()].forEach((part, i) => {
      const atMs = startMs + i * 100
      const keys = run(`${part}-${atMs}`, 'system', part)
      if (quarantine.quarantined(keys, atMs) !== undefined) return
      crashesOf.set(part, (crashesOf.get(part) ?? 0) + 1)
      quarantine.recordCrash({ id: `e-${part}-${atMs}`, runs: [keys] }, atMs)
    }))
    expect(Math.max(...crashesOf.values())).toBeLessThanOrEqual(5)
  })

  test('is chosen by key where crashes and depth are equal', () => {
    const runsOfEach = [[run('r1', 'y'), run('r2', 'x')], [run('r3', 'x'), run('r4', 'y')]]
    const quarantine = crashes(runsOfEach)
    const reversed = crashes(runsOfEach.toReversed().map(runs => runs.toReversed()))
    const refused = [quarantine, reversed].map(each => ['x', 'y'].filter(part => isRefused(each, run('r', part))))
    expect(refused).toEqual([['x'], ['x']])
  })

  test('that one host alone saw is refused once the crash of another host explains it', () => {
    const quarantine = crashes([[run('r1', 'first')], [run('r2', 'first')]])
    expect(isRefused(quarantine, run('r', 'first'))).toBe(true)
    quarantine.recordCrash({ id: 'e0', runs: [run('r3', 'first', 'poison')] }, AFTER_MS)
    quarantine.recordCrash({ id: 'e1', runs: [run('r4', 'first', 'poison')] }, AFTER_MS)
    expect(isRefused(quarantine, run('r', 'first'))).toBe(false)
    expect(isRefused(quarantine, run('r', 'first', 'poison'))).toBe(true)
  })
})

describe('a request that crashes endpoints', () => {
  test('is refused after two crashes, and other requests with its parts are not', () => {
    const quarantine = crashes([[run('r', 'first', 'p')], [run('r', 'first', 'p')]])
    expect(quarantine.quarantined(run('r', 'first', 'p'), AFTER_MS)).toBe('r')
    expect(isRefused(quarantine, run('s', 'first', 'p'))).toBe(false)
  })

  test('without shared parts is refused after two crashes', () => {
    const quarantine = crashes([[run('r')], [run('r')]])
    expect(quarantine.quarantined(run('r'), AFTER_MS)).toBe('r')
    expect(isRefused(quarantine, run('s'))).toBe(false)
  })

  test('does not explain crashes of a part', () => {
    const quarantine = crashes([[run('r'), run('s1', 'p')], [run('r'), run('s2', 'p')]])
    expect(quarantine.quarantined(run('r'), AFTER_MS)).toBe('r')
    expect(quarantine.quarantined(run('s3', 'p'), AFTER_MS)).toBe('p')
  })

  test('may be a sound one beside the cause, but then its shared parts are not refused', () => {
    const sound = run('sound', 'first', 'shared', 'more')
    const quarantine = crashes([[sound, run('r1', 'first', 'poison')], [sound, run('r2', 'first', 'poison')]])
    expect(quarantine.quarantined(run('r3', 'first', 'poison'), AFTER_MS)).toBe('poison')
    expect(isRefused(quarantine, run('other', 'first', 'shared', 'more'))).toBe(false)
  })

  test('is still refused by its fingerprint when it was beside a part that explains the crashes', () => {
    const quarantine = crashes([[run('r'), run('r1', 'poison')], [run('r'), run('r2', 'poison')]])
    expect(quarantine.quarantined(run('r'), AFTER_MS)).toBe('r')
  })
})

describe('crashes at about the same time', () => {
  const failing = [0, 50, 120, 250].map((afterMs, i) => ({ afterMs, id: `e${i}`, runs: [run(`r${i}`, 'first', 'p'), run('again', 'first')] }))

  test('of all endpoints count as one, so that nothing is refused though nothing is proven', () => {
    const quarantine = new CrashQuarantine()
    failing.forEach(({ afterMs, id, runs }) => quarantine.recordCrash({ id, runs }, START_MS + afterMs))
    failing.flatMap(({ runs }) => runs).forEach(keys => expect(quarantine.quarantined(keys, AFTER_MS)).toBeUndefined())
  })

  test('count as two from 251 ms on', () => {
    const quarantine = new CrashQuarantine()
    quarantine.recordCrash({ id: 'e0', runs: [run('r0', 'p')] }, START_MS)
    quarantine.recordCrash({ id: 'e1', runs: [run('r1', 'p')] }, START_MS + 250)
    expect(isRefused(quarantine, run('r', 'p'))).toBe(false)
    quarantine.recordCrash({ id: 'e2', runs: [run('r2', 'p')] }, START_MS + 251)
    expect(isRefused(quarantine, run('r', 'p'))).toBe(true)
  })

  test('at a steady rate do not all count as one', () => {
    const quarantine = new CrashQuarantine()
    Array.from({ length: 4 }, (_, i) => quarantine.recordCrash({ id: `e${i}`, runs: [run(`r${i}`, 'p')] }, START_MS + i * 200))
    expect(isRefused(quarantine, run('r', 'p'))).toBe(true)
  })
})

describe('a proof', () => {
  test('lifts the quarantine of a request and of its parts', () => {
    const quarantine = crashes([[run('r', 'a'), run('s', 'b')], [run('r', 'a'), run('t', 'b')]])
    expect([run('r'), run('x', 'b')].map(keys => isRefused(quarantine, keys))).toEqual([true, true])
    expect(quarantine.recordProof(run('r', 'b'), AFTER_MS)).toBe(true)
    expect([run('r'), run('x', 'b')].map(keys => isRefused(quarantine, keys))).toEqual([false, false])
    expect(quarantine.recordProof(run('r', 'b'), AFTER_MS)).toBe(false)
  })

  test('of one part makes the crashes count against another', () => {
    const quarantine = crashes([[run('r1', 'poison', 'p')], [run('r2', 'poison', 'p')]])
    expect(quarantine.quarantined(run('r', 'poison', 'p'), AFTER_MS)).toBe('p')
    quarantine.recordProof(run('s', 'p'), AFTER_MS)
    expect(quarantine.quarantined(run('r', 'poison', 'p'), AFTER_MS)).toBe('poison')
  })

  test('counts for crashes within its TTL, not for later ones', () => {
    const afterProof = (delayMs: number): CrashQuarantine => {
      const quarantine = new CrashQuarantine()
      quarantine.recordProof(run('s', 'p'), START_MS - delayMs)
      return crashes([[run('r1', 'p')], [run('r2', 'p')]], quarantine)
    }
    expect(isRefused(afterProof(TTL_MS - APART_MS - 1), run('r', 'p'))).toBe(false)
    expect(isRefused(afterProof(TTL_MS), run('r', 'p'))).toBe(true)
  })

  test('still clears crashes after its TTL, as long as they are known', () => {
    const quarantine = new CrashQuarantine()
    quarantine.recordProof(run('s', 'p'), START_MS - TTL_MS + 5 * APART_MS)
    crashes([[run('r1', 'p')], [run('r2', 'p')]], quarantine)
    expect(isRefused(quarantine, run('r', 'p'), START_MS + TTL_MS - 1)).toBe(false)
  })

  test('is kept while crashes have its key, though many others follow', () => {
    const quarantine = crashes([[run('r1', 'first')], [run('r2', 'first')]])
    quarantine.recordProof(run('s', 'first'), AFTER_MS)
    Array.from({ length: 20_000 }, (_, i) => quarantine.recordProof(run(`s${i}`, `p${i}`), AFTER_MS))
    expect(isRefused(quarantine, run('r', 'first'))).toBe(false)
  })

  test('of a part is not displaced by fingerprints of many requests', () => {
    const quarantine = new CrashQuarantine()
    quarantine.recordProof(run('s', 'first'), START_MS)
    Array.from({ length: 20_000 }, (_, i) => quarantine.recordProof(run(`s${i}`), START_MS))
    crashes([[run('r1', 'first')], [run('r2', 'first')]], quarantine)
    expect(isRefused(quarantine, run('r', 'first'))).toBe(false)
  })
})

describe('expiry', () => {
  test('ends a quarantine when its crashes have expired', () => {
    const quarantine = crashes([[run('r', 'p')], [run('s', 'p')]])
    expect(isRefused(quarantine, run('t', 'p'), START_MS + TTL_MS - 1)).toBe(true)
    expect(isRefused(quarantine, run('t', 'p'), START_MS + APART_MS + TTL_MS)).toBe(false)
    expect(quarantine.isEmpty(START_MS + APART_MS + TTL_MS)).toBe(true)
  })

  test('makes earlier crashes not count together with later ones', () => {
    const quarantine = new CrashQuarantine()
    quarantine.recordCrash({ id: 'e0', runs: [run('r')] }, START_MS)
    quarantine.recordCrash({ id: 'e1', runs: [run('r')] }, START_MS + TTL_MS)
    expect(isRefused(quarantine, run('r'), START_MS + TTL_MS)).toBe(false)
  })
})
