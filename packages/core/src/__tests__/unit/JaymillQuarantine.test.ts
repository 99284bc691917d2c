import { describe, expect, test } from 'vitest'
import { ErrorKind } from '../../errors/JaymillError.js'
import { MAX_SUSPECT_ENTRIES, MAX_SUSPECTS, SUSPICION_TTL_MS } from '../../health/constants.js'
import { fingerprint } from '../../health/JaymillFingerprint.js'
import { Quarantine } from '../../health/JaymillQuarantine.js'

const until = (): AbortSignal => new AbortController().signal
const refusal = expect.objectContaining({ kind: ErrorKind.Quarantined })

describe('Quarantine', () => {
  test('refuses after two deaths and clears the innocent that finished elsewhere', () => {
    const quarantine = new Quarantine()
    ;['poison', 'innocent'].forEach(print => quarantine.running(print, 'e1', until()))
    quarantine.died('e1', 0)
    quarantine.running('poison', 'e2', until())
    expect(quarantine.separation('innocent', 1)).toEqual({ endpoints: ['e2'], strict: false })
    quarantine.running('innocent', 'e3', until())
    quarantine.clear('innocent', 2)
    quarantine.died('e2', 20_000)
    expect(() => quarantine.check('poison', 20_001)).toThrow(refusal)
    expect(() => quarantine.check('innocent', 20_001)).not.toThrow()
    expect(quarantine.list(20_001).map(suspect => suspect.fingerprint)).toEqual(['poison'])
    expect([quarantine.clear('poison', 20_002), quarantine.clear('poison', 20_003)]).toEqual([true, false])
    expect(() => quarantine.check('poison', 20_003)).not.toThrow()
  })

  test('two suspects that die together twice are told apart before one is refused', () => {
    const quarantine = new Quarantine()
    const pair = ['poison', 'innocent']
    ;['e1', 'e2'].forEach((endpoint, i) => {
      pair.forEach(print => quarantine.running(print, endpoint, until()))
      quarantine.died(endpoint, i * 20_000)
    })
    expect(pair.map(print => quarantine.separation(print, 20_001).strict)).toEqual([true, true])
    pair.forEach(print => expect(() => quarantine.check(print, 20_001)).not.toThrow())
    quarantine.running('poison', 'e3', until())
    quarantine.died('e3', 40_000)
    expect(() => quarantine.check('poison', 40_001)).toThrow(refusal)
    expect(() => quarantine.check('innocent', 40_001)).not.toThrow()
  })

  test('reports of one death by several streams and hosts are one death', () => {
    const [a, b] = [new Quarantine(), new Quarantine()]
    a.running('p', 'e1', until())
    b.running('p', 'e1', until())
    a.died('e1', 0)
    b.died('e1', 300)
    a.died('e1', 400)
    a.merge(b.digest(500), 500)
    b.merge(a.digest(510), 510)
    a.merge(b.digest(520), 520)
    expect([a, b].map(host => host.list(600)[0]?.deaths.length)).toEqual([1, 1])
  })

  test('a resend through another host meets the deaths seen by the first, and a clearance as well', () => {
    const [a, b] = [new Quarantine(), new Quarantine()]
    a.running('p', 'e1', until())
    a.died('e1', 0)
    b.merge(a.digest(100), 5_100)
    b.running('p', 'e2', until())
    b.died('e2', 20_000)
    expect(() => b.check('p', 20_001)).toThrow(refusal)
    a.clear('p', 21_000)
    b.merge(a.digest(21_001), 26_001)
    expect(() => b.check('p', 26_002)).not.toThrow()
  })

  test('stays bounded and expires', () => {
    const quarantine = new Quarantine()
    Array.from({ length: MAX_SUSPECTS + 50 }, (_, i) => quarantine.running(`p${i}`, 'e1', until()))
    quarantine.died('e1', 0)
    expect(quarantine.list(1)).toHaveLength(MAX_SUSPECTS)
    expect(quarantine.digest(1).suspects).toHaveLength(MAX_SUSPECT_ENTRIES)
    expect(quarantine.list(SUSPICION_TTL_MS)).toEqual([])
  })

  test('fingerprints keep the parts of a request apart', () => {
    expect(fingerprint(['ab', 'c'])).not.toBe(fingerprint(['a', 'bc']))
  })
})
