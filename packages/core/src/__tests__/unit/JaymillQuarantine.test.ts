import { describe, expect, test } from 'vitest'
import { ErrorKind } from '../../errors/JaymillError.js'
import { MAX_SUSPECT_ENTRIES, MAX_SUSPECTS, SUSPECT_TTL_MS } from '../../health/constants.js'
import { fingerprint } from '../../health/JaymillFingerprint.js'
import { Quarantine } from '../../health/JaymillQuarantine.js'

const neverAborted = (): AbortSignal => new AbortController().signal
const refusal = expect.objectContaining({ kind: ErrorKind.Quarantined })

describe('Quarantine', () => {
  test('refuses a request after two crashes and clears one that completed elsewhere', () => {
    const quarantine = new Quarantine()
    ;['poison', 'innocent'].forEach(hash => quarantine.trackRun(hash, 'e1', neverAborted()))
    quarantine.recordCrash('e1', 0)
    quarantine.trackRun('poison', 'e2', neverAborted())
    expect(quarantine.antiAffinity('innocent', 1)).toEqual({ endpoints: ['e2'], strict: false })
    quarantine.trackRun('innocent', 'e3', neverAborted())
    quarantine.clear('innocent', 2)
    quarantine.recordCrash('e2', 20_000)
    expect(() => quarantine.check('poison', 20_001)).toThrow(refusal)
    expect(() => quarantine.check('innocent', 20_001)).not.toThrow()
    expect(quarantine.list(20_001).map(suspect => suspect.fingerprint)).toEqual(['poison'])
    expect([quarantine.clear('poison', 20_002), quarantine.clear('poison', 20_003)]).toEqual([true, false])
    expect(() => quarantine.check('poison', 20_003)).not.toThrow()
  })

  test('separates two suspects that shared both crashes before it refuses one of them', () => {
    const quarantine = new Quarantine()
    const pair = ['poison', 'innocent']
    ;['e1', 'e2'].forEach((endpoint, i) => {
      pair.forEach(hash => quarantine.trackRun(hash, endpoint, neverAborted()))
      quarantine.recordCrash(endpoint, i * 20_000)
    })
    expect(pair.map(hash => quarantine.antiAffinity(hash, 20_001).strict)).toEqual([true, true])
    pair.forEach(hash => expect(() => quarantine.check(hash, 20_001)).not.toThrow())
    quarantine.trackRun('poison', 'e3', neverAborted())
    quarantine.recordCrash('e3', 40_000)
    expect(() => quarantine.check('poison', 40_001)).toThrow(refusal)
    expect(() => quarantine.check('innocent', 40_001)).not.toThrow()
  })

  test('counts reports of one crash by several streams and hosts once', () => {
    const [a, b] = [new Quarantine(), new Quarantine()]
    a.trackRun('p', 'e1', neverAborted())
    b.trackRun('p', 'e1', neverAborted())
    a.recordCrash('e1', 0)
    b.recordCrash('e1', 300)
    a.recordCrash('e1', 400)
    a.merge(b.summarize(500), 500)
    b.merge(a.summarize(510), 510)
    a.merge(b.summarize(520), 520)
    expect([a, b].map(host => host.list(600)[0]?.crashes.length)).toEqual([1, 1])
  })

  test('shares crashes and clearing with other hosts through summaries', () => {
    const [a, b] = [new Quarantine(), new Quarantine()]
    a.trackRun('p', 'e1', neverAborted())
    a.recordCrash('e1', 0)
    b.merge(a.summarize(100), 5_100)
    b.trackRun('p', 'e2', neverAborted())
    b.recordCrash('e2', 20_000)
    expect(() => b.check('p', 20_001)).toThrow(refusal)
    a.clear('p', 21_000)
    b.merge(a.summarize(21_001), 26_001)
    expect(() => b.check('p', 26_002)).not.toThrow()
  })

  test('limits the number of suspects and expires them', () => {
    const quarantine = new Quarantine()
    Array.from({ length: MAX_SUSPECTS + 50 }, (_, i) => quarantine.trackRun(`p${i}`, 'e1', neverAborted()))
    quarantine.recordCrash('e1', 0)
    expect(quarantine.list(1)).toHaveLength(MAX_SUSPECTS)
    expect(quarantine.summarize(1).suspects).toHaveLength(MAX_SUSPECT_ENTRIES)
    expect(quarantine.list(SUSPECT_TTL_MS)).toEqual([])
  })

  test('fingerprints depend on the boundaries between the fields of a request', () => {
    expect(fingerprint(['ab', 'c'])).not.toBe(fingerprint(['a', 'bc']))
  })
})
