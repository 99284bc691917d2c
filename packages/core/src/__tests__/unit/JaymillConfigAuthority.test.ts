import { createHash } from 'node:crypto'
import fc from 'fast-check'
import { describe, expect, test } from 'vitest'
import {
  ConfigAuthority, DocumentCodec, DocumentFetches, GateReason, HighWaterGate, HostList, HostState, LAG_REPORT_MS, OfferOutcome,
  PlatformKey, PublishedDocument, RevisionedDocument, watchDuty
} from '../../index.js'

class JsonCodec extends DocumentCodec<RevisionedDocument> {
  digest (text: string): string {
    return createHash('sha256').update(text).digest('hex')
  }

  parse (text: string): RevisionedDocument {
    return JSON.parse(text)
  }
}

const codec = new JsonCodec()
const textOf = (revision: number, variant = 0): string => JSON.stringify({ revision, variant })
const docOf = (revision: number, variant = 0): PublishedDocument => {
  const text = textOf(revision, variant)
  return { key: PlatformKey.Fleet, revision, digest: codec.digest(text), text }
}
const authority = () => new ConfigAuthority(PlatformKey.Fleet, codec)
const listOf = (ids: readonly string[], revision = 1): HostList => ({
  revision,
  hosts: ids.map((id, i) => ({ id, zone: `zone-${i % 3}`, region: 'r', peerUrl: 'http://127.0.0.1:1', state: HostState.Live })),
  leavingEndpoints: []
})
const ids = (count: number) => Array.from({ length: count }, (_, i) => `host-${i}`)

describe('ConfigAuthority', () => {
  test('never goes back when the platform returns with an older value', () => {
    const cfg = authority()
    cfg.offerDocument(docOf(7), 'host-1')
    expect(cfg.offerText(textOf(6), 'platform')).toMatchObject({ outcome: OfferOutcome.Older, error: { kind: 'config' } })
    expect(cfg.current?.document.revision).toBe(7)
  })

  test('refuses the same revision with another digest, from the platform and in heartbeats, until a higher one', () => {
    const cfg = authority()
    cfg.offerText(textOf(7), 'platform')
    expect(cfg.offerText(textOf(7, 1), 'platform').outcome).toBe(OfferOutcome.Conflict)
    expect(cfg.conflict).toMatchObject({ revision: 7, refusedDigest: docOf(7, 1).digest, source: 'platform' })
    cfg.hear(docOf(7, 2), 'host-2', 0)
    expect(cfg.conflict?.source).toBe('host-2')
    cfg.offerText(textOf(8), 'platform')
    expect(cfg.conflict).toBeUndefined()
  })

  test('refuses a document that does not fit its digest or is not valid', () => {
    const cfg = authority()
    expect(cfg.offerDocument({ ...docOf(7), text: textOf(9) }, 'host-1').outcome).toBe(OfferOutcome.Invalid)
    expect(cfg.offerText('{', 'platform').outcome).toBe(OfferOutcome.Invalid)
    expect(cfg.current).toBeUndefined()
  })

  test('says that a newer revision is not in force, counted from the first one heard of', () => {
    const cfg = authority()
    cfg.offerText(textOf(7), 'platform')
    expect(cfg.hear(docOf(8), 'host-1', 1_000)).toBe(true)
    cfg.hear(docOf(9), 'host-1', 9_000)
    expect(cfg.lag(1_000 + LAG_REPORT_MS)).toMatchObject({ knownRevision: 9, overdue: false })
    expect(cfg.lag(1_001 + LAG_REPORT_MS)?.overdue).toBe(true)
    cfg.offerText(textOf(8), 'platform')
    expect(cfg.lag(9_000)?.knownRevision).toBe(9)
    cfg.offerText(textOf(9), 'platform')
    expect(cfg.lag(9_000)).toBeUndefined()
  })

  test('model: no order of offers, heard marks and restarts goes back or shows two texts of one revision', () => {
    const step = fc.record({ op: fc.constantFrom('text', 'document', 'hear', 'bad'), revision: fc.integer({ min: 1, max: 6 }), variant: fc.integer({ min: 0, max: 1 }) })
    fc.assert(fc.property(fc.array(step, { maxLength: 30 }), steps => {
      const cfg = authority()
      const shown = new Map<number, string>()
      steps.reduce((highest, { op, revision, variant }) => {
        if (op === 'text') cfg.offerText(textOf(revision, variant), 'platform')
        if (op === 'document') cfg.offerDocument(docOf(revision, variant), 'host-1')
        if (op === 'hear') cfg.hear(docOf(revision, variant), 'host-1', 0)
        if (op === 'bad') cfg.offerDocument({ ...docOf(revision), digest: '0'.repeat(64) }, 'host-1')
        const { revision: now, digest } = cfg.mark ?? { revision: 0, digest: '' }
        expect(now).toBeGreaterThanOrEqual(highest)
        expect(shown.get(now) ?? digest).toBe(digest)
        shown.set(now, digest)
        return now
      }, 0)
    }), { seed: 7, numRuns: 500 })
  })
})

describe('HighWaterGate', () => {
  const required = [PlatformKey.Fleet]
  const gateOf = (count: number) => { const gate = new HighWaterGate('host-0'); gate.adoptList(listOf(ids(count))); return gate }

  test('any majority that has a revision is met by the answers that open it', () => {
    fc.assert(fc.property(fc.integer({ min: 1, max: 12 }), fc.infiniteStream(fc.nat()), (count, order) => {
      const draw = () => ids(count).map(id => ({ id, at: order.next().value as number })).sort((a, b) => a.at - b.at).map(({ id }) => id)
      const majority = draw().slice(0, Math.floor(count / 2) + 1)
      const gate = gateOf(count)
      const answering = draw().filter(id => id !== 'host-0')
      const opened = answering.some(id => {
        gate.answer(id, [docOf(majority.includes(id) ? 8 : 7)])
        return gate.state([docOf(7)], required).open
      })
      const alone = majority.every(id => id === 'host-0')
      expect(opened && !alone).toBe(false)
    }), { seed: 3, numRuns: 500 })
  })

  test('stays closed in a minority partition, behind, in conflict and without a list', () => {
    const gate = gateOf(7)
    const own = [docOf(7)]
    ;['host-1', 'host-2', 'host-3'].forEach(id => gate.answer(id, own))
    expect(gate.state(own, required)).toMatchObject({ open: false, reason: GateReason.TooFewAnswers, answers: 3, needed: 4 })
    gate.answer('stranger', own)
    expect(gate.state(own, required).reason).toBe(GateReason.TooFewAnswers)
    gate.answer('host-4', [docOf(8)])
    expect(gate.state(own, required).reason).toBe(GateReason.Behind)
    expect(gate.state([docOf(8, 1)], required).reason).toBe(GateReason.Conflict)
    expect(gate.state([], required).reason).toBe(GateReason.Behind)
    expect(new HighWaterGate('x').state(own, required).reason).toBe(GateReason.NoHostList)
    expect(gate.state([docOf(8)], required).open).toBe(true)
  })

  test('asks again after a pause', () => {
    const gate = gateOf(3)
    ids(3).forEach(id => gate.answer(id, []))
    expect(gate.state([docOf(1)], required).open).toBe(true)
    expect(gate.due(0)).toEqual([])
    gate.reset()
    expect(gate.state([docOf(1)], required).open).toBe(false)
    expect(gate.due(0).sort()).toEqual(['host-1', 'host-2'])
    expect(gate.due(1)).toEqual([])
  })
})

describe('DocumentFetches', () => {
  test('asks one host at a time and another one after a failure', () => {
    const fetches = new DocumentFetches(PlatformKey.Fleet)
    fetches.offer(docOf(8), 'host-1')
    fetches.offer(docOf(9), 'host-2')
    expect(fetches.next(7, 0)).toMatchObject({ hostId: 'host-2', revision: 8 })
    expect(fetches.next(7, 0)).toBeUndefined()
    fetches.finish()
    expect(fetches.next(7, 0)?.hostId).toBe('host-1')
    fetches.finish()
    expect(fetches.next(9, 10_000)).toBeUndefined()
  })
})

describe('watchDuty', () => {
  test('keeps a constant number of watchers in a zone and replaces one that is silent', () => {
    const { hosts } = listOf(ids(420))
    const watchers = (answers: (id: string) => boolean) => hosts.map(({ id }) => id).filter(id => answers(id) && watchDuty(id, hosts, answers).watches)
    const before = watchers(() => true)
    expect(before).toHaveLength(6)
    const after = watchers(id => id !== before[0])
    expect(after).toHaveLength(6)
    expect(after.filter(id => before.includes(id))).toHaveLength(5)
  })
})
