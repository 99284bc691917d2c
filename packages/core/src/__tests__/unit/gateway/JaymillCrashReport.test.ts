import fc from 'fast-check'
import { describe, expect, test } from 'vitest'
import { mergeCrashEvidence, toCrashEvidence } from '../../../gateway/JaymillCrashEvidence.js'
import { CrashLog } from '../../../gateway/JaymillCrashLog.js'
import { ProvenKeyCache } from '../../../gateway/JaymillProvenKeyCache.js'
import { CrashQuarantine, CrashReport, RunKeys } from '../../../index.js'

const NOW_MS = 1_000_000
const APART_MS = 1_000

function run (request: string, ...parts: readonly string[]): RunKeys {
  return { request, parts }
}

/** Host with a monotonic clock of its own, given the time since the start of the test. */
class TestHost {
  readonly quarantine = new CrashQuarantine()
  private readonly _offsetMs: number

  constructor (offsetMs: number) {
    this._offsetMs = offsetMs
  }

  crash (id: string, atMs: number, ...runs: readonly RunKeys[]): void {
    this.quarantine.recordCrash({ id, runs }, atMs + this._offsetMs)
  }

  sound (keys: RunKeys, atMs: number): void {
    this.quarantine.recordProof(keys, atMs + this._offsetMs)
  }

  report (atMs: number): CrashReport {
    return structuredClone(this.quarantine.report(atMs + this._offsetMs))
  }

  merge (report: unknown, atMs: number): boolean {
    return this.quarantine.merge(report, atMs + this._offsetMs)
  }

  refused (keys: RunKeys, atMs: number): string | undefined {
    return this.quarantine.quarantined(keys, atMs + this._offsetMs)
  }
}

function createHosts (count: number): readonly TestHost[] {
  return Array.from({ length: count }, (_, i) => new TestHost(NOW_MS * (i + 1)))
}

/** Every host sends its report to all others, until none learns anything; returns the number of rounds. */
function exchange (hosts: readonly TestHost[], atMs: number, maxRounds = 10): number {
  const isNew = hosts.flatMap(from => hosts.filter(to => to !== from).map(to => to.merge(from.report(atMs), atMs)))
  return isNew.includes(true) && maxRounds > 0 ? 1 + exchange(hosts, atMs, maxRounds - 1) : 1
}

const REQUESTS = ['r0', 'r1', 'r2', 'r3', 'r4', 'r5']
const PARTS = ['p0', 'p1', 'p2', 'p3', 'p4']
const STEP_MS = 40_000
const MAX_EVENTS = 12

const arbitraryRun = fc.record({ request: fc.constantFrom(...REQUESTS), parts: fc.subarray(PARTS) })
const arbitraryEvent = fc.record({
  host: fc.nat({ max: 3 }),
  afterMs: fc.oneof(fc.nat({ max: 600 }), fc.nat({ max: STEP_MS })),
  isCrash: fc.integer({ min: 0, max: 4 }).map(value => value > 0),
  id: fc.constantFrom('e0', 'e1', 'e2', 'e3', 'e4', 'e5', 'e6'),
  runs: fc.array(arbitraryRun, { minLength: 1, maxLength: 3 }),
  /** Hosts to which an earlier report, chosen by its number, is delivered after the event. */
  deliveries: fc.array(fc.record({ report: fc.nat(), to: fc.nat({ max: 3 }) }), { maxLength: 4 })
})

type HostEvent = typeof arbitraryEvent extends fc.Arbitrary<infer T> ? T : never

/** Plays the events at all hosts and the crashes and proofs also at a host that observes everything itself. */
function play (events: readonly HostEvent[], hosts: readonly TestHost[], observer: TestHost): { sent: readonly CrashReport[], endMs: number } {
  const sent: CrashReport[] = []
  const endMs = events.reduce((beforeMs, { host, afterMs, isCrash, id, runs, deliveries }) => {
    const atMs = beforeMs + afterMs
    const observers = [hosts[host], observer].filter(each => each !== undefined)
    if (isCrash) observers.forEach(each => each.crash(id, atMs, ...runs))
    else observers.forEach(each => runs.forEach(keys => each.sound(keys, atMs)))
    sent.push(...hosts.map(each => each.report(atMs)))
    deliveries.forEach(({ report, to }) => hosts[to]?.merge(sent[report % sent.length], atMs))
    return atMs
  }, 0)
  return { sent, endMs }
}

function refusedKeys (host: TestHost, atMs: number): readonly string[] {
  const parts = PARTS.filter(part => host.refused(run('unknown', part), atMs) !== undefined)
  return [...parts, ...REQUESTS.filter(request => host.refused(run(request), atMs) !== undefined)]
}

describe('hosts', () => {
  test('decide the same after lost, late, repeated and reordered reports, and as one host that observes everything', () => {
    let quarantines = 0
    fc.assert(fc.property(fc.array(arbitraryEvent, { minLength: 2, maxLength: MAX_EVENTS }), events => {
      const hosts = createHosts(4)
      const observer = new TestHost(0)
      const { sent, endMs } = play(events, hosts, observer)
      exchange(hosts, endMs)
      const expected = refusedKeys(observer, endMs)
      quarantines += expected.length
      hosts.forEach(host => expect(refusedKeys(host, endMs)).toEqual(expected))
      const atMs = endMs + APART_MS
      hosts.forEach(host => sent.forEach(report => host.merge(report, atMs)))
      hosts.forEach(host => sent.forEach(report => expect(host.merge(report, atMs)).toBe(false)))
      hosts.forEach(host => expect(refusedKeys(host, atMs)).toEqual(expected))
    }), { numRuns: 200, seed: 20 })
    expect(quarantines).toBeGreaterThan(100)
  })

  test('refuse a part of which each has seen only one crash', () => {
    const [a, b, c] = createHosts(3) as [TestHost, TestHost, TestHost]
    a.crash('e1', 0, run('r1', 'first', 'poison'))
    b.crash('e2', APART_MS, run('r2', 'first', 'poison'))
    exchange([a, b, c], 2 * APART_MS)
    expect([a, b, c].map(host => host.refused(run('r3', 'first', 'poison'), 3 * APART_MS))).toEqual(['poison', 'poison', 'poison'])
    expect([a, b, c].map(host => host.refused(run('r3', 'first'), 3 * APART_MS))).toEqual([undefined, undefined, undefined])
  })

  test('do not count a crash twice that several of them report', () => {
    const hosts = createHosts(3)
    hosts.forEach((host, i) => host.crash('e', i * APART_MS, run(`r${i}`, 'p')))
    exchange(hosts, 5 * APART_MS)
    hosts.forEach(host => expect(host.refused(run('r', 'p'), 6 * APART_MS)).toBeUndefined())
  })

  test('correct the quarantine of a shared part when another host knows what ran beside it', () => {
    const [a, b, c] = createHosts(3) as [TestHost, TestHost, TestHost]
    a.crash('e1', 0, run('r1', 'first'), run('r2', 'first', 'poison'))
    a.crash('e2', APART_MS, run('r3', 'first'), run('r4', 'first', 'poison'))
    a.crash('e3', 2 * APART_MS, run('r5', 'first'))
    b.crash('e3', 2 * APART_MS, run('r6', 'first', 'poison'))
    expect(a.refused(run('r', 'first'), 3 * APART_MS)).toBe('first')
    b.merge(a.report(3 * APART_MS), 3 * APART_MS)
    c.merge(a.report(3 * APART_MS), 3 * APART_MS)
    exchange([a, b, c], 4 * APART_MS)
    expect([a, b, c].map(host => host.refused(run('r', 'first'), 5 * APART_MS))).toEqual([undefined, undefined, undefined])
    expect([a, b, c].map(host => host.refused(run('r', 'poison'), 5 * APART_MS))).toEqual(['poison', 'poison', 'poison'])
  })

  test('lift a quarantine after a late proof at one of them, and old reports do not restore it', () => {
    const hosts = createHosts(3)
    const [a, b, c] = hosts as [TestHost, TestHost, TestHost]
    a.crash('e1', 0, run('r1', 'p'))
    b.crash('e2', APART_MS, run('r2', 'p'))
    exchange(hosts, 2 * APART_MS)
    expect(hosts.map(host => host.refused(run('r', 'p'), 2 * APART_MS))).toEqual(['p', 'p', 'p'])
    const old = hosts.map(host => host.report(2 * APART_MS))
    c.sound(run('s', 'p'), 3 * APART_MS)
    exchange(hosts, 4 * APART_MS)
    expect(hosts.map(host => host.refused(run('r', 'p'), 5 * APART_MS))).toEqual([undefined, undefined, undefined])
    const isNew = hosts.flatMap(host => old.map(report => host.merge(report, 100 * APART_MS)))
    expect(isNew).not.toContain(true)
    expect(hosts.map(host => host.refused(run('r', 'p'), 100 * APART_MS))).toEqual([undefined, undefined, undefined])
  })

  test('agree on which crashes are one incident, though some are not told of an earlier crash whose keys are all proven', () => {
    const hosts = createHosts(2)
    const [a] = hosts as [TestHost, TestHost]
    a.sound(run('s', 'p'), 0)
    a.crash('e1', APART_MS, run('s', 'p'))
    a.crash('e2', APART_MS + 200, run('r1', 'q'))
    a.crash('e3', APART_MS + 300, run('r2', 'q'))
    exchange(hosts, 2 * APART_MS)
    expect(hosts.map(host => host.refused(run('r', 'q'), 2 * APART_MS))).toEqual([undefined, undefined])
  })

  test('learn a proof from a host that learns of the crashes only later', () => {
    const [a, b] = createHosts(2) as [TestHost, TestHost]
    b.sound(run('s', 'p'), 0)
    a.crash('e1', 0, run('r1', 'p'))
    a.crash('e2', APART_MS, run('r2', 'p'))
    expect(a.refused(run('r', 'p'), 2 * APART_MS)).toBe('p')
    exchange([a, b], 2 * APART_MS)
    expect([a, b].map(host => host.refused(run('r', 'p'), 2 * APART_MS))).toEqual([undefined, undefined])
  })

  test('do not keep a crash alive by telling each other', () => {
    const hosts = createHosts(2)
    const [a, b] = hosts as [TestHost, TestHost]
    a.crash('e1', 0, run('r'))
    a.crash('e2', APART_MS, run('r'))
    const delayMs = 5_000
    Array.from({ length: 200 }, (_, i) => i * delayMs).forEach(atMs => {
      const reports = [a.report(atMs), b.report(atMs)]
      a.merge(reports[1], atMs + delayMs)
      b.merge(reports[0], atMs + delayMs)
    })
    expect(hosts.map(host => host.refused(run('r'), 620_000))).toEqual([undefined, undefined])
    expect(hosts.every(host => host.quarantine.isEmpty(3 * NOW_MS))).toBe(true)
  })
})

describe('merging a report', () => {
  function createReport (): CrashReport {
    const [host] = createHosts(1) as [TestHost]
    host.sound(run('s', 'first'), 0)
    host.crash('e1', 0, run('r1', 'first', 'p'), run('s', 'first'))
    host.crash('e2', APART_MS, run('r2', 'first', 'p'), run('r3', 'q'))
    return host.report(2 * APART_MS)
  }

  function withAges (report: CrashReport, addedMs: number): unknown {
    const older = (entry: readonly unknown[]): readonly unknown[] => entry.with(1, Number(entry[1]) + addedMs)
    const { crashes, quarantined, provenParts, provenRequests } = report
    const olderQuarantined = quarantined.map(([key, ageMs, ofKey]) => [key, ageMs + addedMs, ofKey.map(older)])
    return { crashes: crashes.map(older), quarantined: olderQuarantined, provenParts: provenParts.map(older), provenRequests: provenRequests.map(older) }
  }

  test('is new once, also with other ages', () => {
    const report = createReport()
    const quarantine = new CrashQuarantine()
    expect(quarantine.merge(report, NOW_MS)).toBe(true)
    expect(quarantine.merge(report, NOW_MS)).toBe(false)
    expect(quarantine.merge(report, NOW_MS + 50_000)).toBe(false)
    expect(quarantine.merge(withAges(report, 50_000), NOW_MS + 50_000)).toBe(false)
    expect(quarantine.merge(withAges(report, 90_000), NOW_MS + 50_000)).toBe(false)
  })

  test('is new again when it has another crash, run, part or proof', () => {
    const quarantine = new CrashQuarantine()
    quarantine.merge({ crashes: [['e', 0, [['r1', [[0, 'p']]]]]] }, NOW_MS)
    expect(quarantine.merge({ crashes: [['e', 0, [['r1', [[1, 'q']]]]]] }, NOW_MS)).toBe(true)
    expect(quarantine.merge({ crashes: [['e', 0, [['r2', []]]]] }, NOW_MS)).toBe(true)
    expect(quarantine.merge({ crashes: [['f', 0, [['r2', []]]]] }, NOW_MS)).toBe(true)
    expect(quarantine.merge({ provenParts: [['p', 10]] }, NOW_MS)).toBe(true)
    expect(quarantine.merge({ provenRequests: [['r1', 10]] }, NOW_MS)).toBe(true)
    expect(quarantine.merge({ provenParts: [['p', 5]], provenRequests: [['r1', 5]] }, NOW_MS)).toBe(false)
  })

  test('of a quarantined key suffices for refusing it', () => {
    const { quarantined } = createReport()
    const quarantine = new CrashQuarantine()
    quarantine.merge({ quarantined }, NOW_MS)
    expect(quarantine.quarantined(run('r', 'first', 'p'), NOW_MS)).toBe('p')
  })

  test('of a quarantined key suffices also if one of its crashes had several of its requests', () => {
    const [host] = createHosts(1) as [TestHost]
    host.crash('e1', 0, run('r1', 'p'))
    host.crash('e2', APART_MS, run('r1', 'p'), run('r2', 'p'))
    const { quarantined } = host.report(2 * APART_MS)
    const quarantine = new CrashQuarantine()
    quarantine.merge({ quarantined: quarantined.filter(([key]) => key === 'p') }, NOW_MS)
    expect(quarantine.quarantined(run('r', 'p'), NOW_MS)).toBe('p')
  })

  const RUNS = [['r', []]]

  test.each([
    null, 7, 'x', [], ['e'], ['e', -1, RUNS], ['e', 1e12, RUNS], ['e', Number.NaN, RUNS], ['e', '0', RUNS], ['', 0, RUNS], [{}, 0, RUNS],
    ['e'.repeat(300), 0, RUNS], ['e', 0, []], ['e', 0, [[7, []]]]
  ].map(entry => [entry]))('ignores the malformed crash %j', entry => {
    const { crashes } = createReport()
    const quarantine = new CrashQuarantine()
    expect(quarantine.merge({ crashes: [entry], quarantined: [['k', 0, [entry]]] }, NOW_MS)).toBe(false)
    expect(quarantine.isEmpty(NOW_MS)).toBe(true)
    quarantine.merge({ crashes: [entry, ...crashes] }, NOW_MS)
    expect(quarantine.quarantined(run('r', 'p'), NOW_MS)).toBe('p')
  })

  test.each([
    null, 7, 'x', [], ['p'], ['p', -1], ['p', 1e12], ['p', Number.NaN], ['p', '0'], [7, 0], ['', 0]
  ].map(entry => [entry]))('ignores the malformed proof %j', entry => {
    const quarantine = new CrashQuarantine()
    quarantine.merge(createReport(), NOW_MS)
    expect(quarantine.merge({ provenParts: [entry], provenRequests: entry }, NOW_MS)).toBe(false)
    expect(quarantine.quarantined(run('r', 'p'), NOW_MS)).toBe('p')
    expect(quarantine.merge({ provenParts: [entry, ['p', 0]] }, NOW_MS)).toBe(true)
    expect(quarantine.quarantined(run('r', 'p'), NOW_MS)).toBeUndefined()
  })
})

describe('bounds', () => {
  const arbitraryAge = fc.oneof(fc.nat({ max: 1_000 }), fc.double(), fc.anything())
  const arbitraryKey = fc.oneof(fc.string({ maxLength: 2 }), fc.anything())
  const arbitraryFuzzedRun = fc.oneof(fc.tuple(arbitraryKey, fc.array(fc.oneof(fc.tuple(arbitraryAge, arbitraryKey), fc.anything()))), fc.anything())
  const arbitraryCrash = fc.oneof(fc.tuple(arbitraryKey, arbitraryAge, fc.array(arbitraryFuzzedRun)), fc.anything())
  const arbitraryReport = fc.oneof(fc.anything(), fc.record({
    crashes: fc.oneof(fc.array(arbitraryCrash), fc.anything()),
    quarantined: fc.oneof(fc.array(fc.tuple(arbitraryKey, arbitraryAge, fc.array(arbitraryCrash))), fc.anything()),
    provenParts: fc.oneof(fc.array(fc.tuple(arbitraryKey, arbitraryAge)), fc.anything()),
    provenRequests: fc.oneof(fc.array(fc.tuple(arbitraryKey, arbitraryAge)), fc.anything())
  }))

  function expectBounded ({ crashes, quarantined, provenParts, provenRequests }: CrashReport): void {
    const allCrashes = [...crashes, ...quarantined.flatMap(([,, ofKey]) => ofKey)]
    const runs = allCrashes.map(([,, ofCrash]) => ofCrash)
    expect(crashes.length).toBeLessThanOrEqual(8)
    expect(quarantined.length).toBeLessThanOrEqual(16)
    expect(provenParts.length + provenRequests.length).toBeLessThanOrEqual(16)
    quarantined.forEach(([,, ofKey]) => expect(ofKey.length).toBeLessThanOrEqual(3))
    runs.forEach(ofCrash => expect(ofCrash.length).toBeLessThanOrEqual(8))
    runs.flat().forEach(([, parts]) => expect(parts.length).toBeLessThanOrEqual(6))
  }

  test('hold for any content from peers, which never throws and is new once', () => {
    fc.assert(fc.property(fc.array(arbitraryReport, { maxLength: 5 }), reports => {
      const quarantine = new CrashQuarantine()
      reports.forEach(report => quarantine.merge(report, NOW_MS))
      reports.forEach(report => expect(quarantine.merge(report, NOW_MS)).toBe(false))
      expectBounded(quarantine.report(NOW_MS))
    }), { numRuns: 300, seed: 21 })
  })

  test('hold for many crashes with many runs and parts, and the newest crashes are reported first', () => {
    const quarantine = new CrashQuarantine()
    const parts = Array.from({ length: 20 }, (_, i) => `shared${i}`)
    quarantine.recordProof(run('s', ...parts), NOW_MS)
    Array.from({ length: 300 }, (_, i) => quarantine.recordCrash({
      id: `e${i}`,
      runs: Array.from({ length: 20 }, (_, j) => run(`r${i}-${j}`, ...parts, ...Array.from({ length: 10 }, (_, k) => `p${i}-${j}-${k}`)))
    }, NOW_MS + i * APART_MS))
    const report = quarantine.report(NOW_MS + 300 * APART_MS)
    expectBounded(report)
    expect(report.crashes.map(([id]) => id)).toEqual(['e299', 'e298', 'e297', 'e296', 'e295', 'e294', 'e293', 'e292'])
    expect(report.crashes.every(([,, runs]) => runs.length === 8 && runs.every(([, ofRun]) => ofRun.length === 6))).toBe(true)
    expect(report.provenParts.length).toBe(16)
  })

  test('keep the key that occurs in most crashes in the report', () => {
    const [host] = createHosts(1) as [TestHost]
    const crowd = (crash: number): readonly RunKeys[] => Array.from({ length: 20 }, (_, i) => run(`a${crash}-${i}`, `x${crash}-${i}`))
    const many = (crash: number): readonly string[] => Array.from({ length: 10 }, (_, i) => `y${crash}-${i}`)
    host.crash('e1', 0, ...crowd(1), run('z1', 'poison', ...many(1)))
    host.crash('e2', APART_MS, ...crowd(2), run('z2', 'poison', ...many(2)))
    const { crashes } = host.report(2 * APART_MS)
    const reportedParts = crashes.map(([,, runs]) => runs.flatMap(([, parts]) => parts.map(([, part]) => part)))
    expect(reportedParts.map(ofCrash => ofCrash.includes('poison'))).toEqual([true, true])
  })

  test('report crashes that nothing explains before newer ones that a part explains', () => {
    const [host] = createHosts(1) as [TestHost]
    host.crash('unexplained', 0, run('r', 'other'))
    Array.from({ length: 9 }, (_, i) => host.crash(`e${i}`, (i + 1) * APART_MS, run(`r${i}`, 'p')))
    expect(host.report(20 * APART_MS).crashes.map(([id]) => id)).toEqual(['unexplained', 'e8', 'e7', 'e6', 'e5', 'e4', 'e3', 'e2'])
  })

  test('limit the stored crashes to the newest 64, whatever their order', () => {
    const log = new CrashLog()
    Array.from({ length: 1_000 }, (_, i) => (i * 7) % 1_000).forEach(i => log.add(toCrashEvidence(`e${i}`, i, [['r', []]])))
    expect(log.list().map(({ atMs }) => atMs)).toEqual(Array.from({ length: 64 }, (_, i) => 999 - i))
    expect(log.add(toCrashEvidence('old', 0, [['r', []]]))).toEqual({ isNew: false, isEarlier: false })
    expect(log.size).toBe(64)
  })

  test('limit the runs and parts of a crash in the same way on all hosts', () => {
    const single = (i: number): ReturnType<typeof toCrashEvidence> => toCrashEvidence('e', 0, [[`r${i % 50}`, [[i, `p${i}`]]]])
    const records = Array.from({ length: 5_000 }, (_, i) => single(i))
    const merged = records.reduce(mergeCrashEvidence)
    const reversed = records.toReversed().reduce(mergeCrashEvidence)
    expect(reversed).toEqual(merged)
    expect(merged.runs.size).toBe(32)
    expect([...merged.runs.values()].every(parts => parts.size === 32)).toBe(true)
  })

  test('limit the proven keys, even if all are pinned', () => {
    const sound = new ProvenKeyCache()
    Array.from({ length: 10_000 }, (_, i) => sound.add(`a${i}`, i, new Set()))
    expect(sound.size).toBe(4_096)
    expect([sound.provenMs('a0'), sound.provenMs('a9999')]).toEqual([undefined, 9_999])
    Array.from({ length: 10 }, (_, i) => sound.add(`b${i}`, i, { has: () => true }))
    expect(sound.size).toBe(4_096)
  })
})
