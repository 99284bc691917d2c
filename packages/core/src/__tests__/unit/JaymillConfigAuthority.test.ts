import { createHash } from 'node:crypto'
import fc from 'fast-check'
import { describe, expect, test } from 'vitest'
import {
  ConfigAuthority, DocumentCodec, DocumentFetchScheduler, GateReason, HighWaterGate, HostList, HostState, LAG_REPORT_MS, OfferOutcome,
  DocumentKey, PublishedDocument, RevisionedDocument, planSourceWatch
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
  return { key: DocumentKey.Fleet, revision, digest: codec.digest(text), text }
}
const authority = () => new ConfigAuthority(DocumentKey.Fleet, codec)
const listOf = (ids: readonly string[], revision = 1): HostList => ({
  revision,
  hosts: ids.map((id, i) => ({ id, zone: `zone-${i % 3}`, region: 'r', peerUrl: 'http://127.0.0.1:1', state: HostState.Live })),
  leavingEndpoints: []
})
const ids = (count: number) => Array.from({ length: count }, (_, i) => `host-${i}`)

describe('ConfigAuthority', () => {
  test('keeps the active revision when the configuration source returns an older one', () => {
    const cfg = authority()
    cfg.offerDocument(docOf(7), 'host-1')
    expect(cfg.offerText(textOf(6), 'platform')).toMatchObject({ outcome: OfferOutcome.Older, error: { kind: 'config' } })
    expect(cfg.current?.document.revision).toBe(7)
  })

  test('refuses the same revision with a different digest, from the source and in heartbeats, until a higher revision', () => {
    const cfg = authority()
    cfg.offerText(textOf(7), 'platform')
    expect(cfg.offerText(textOf(7, 1), 'platform').outcome).toBe(OfferOutcome.Conflict)
    expect(cfg.conflict).toMatchObject({ revision: 7, refusedDigest: docOf(7, 1).digest, source: 'platform' })
    cfg.observeVersion(docOf(7, 2), 'host-2', 0)
    expect(cfg.conflict?.source).toBe('host-2')
    cfg.offerText(textOf(8), 'platform')
    expect(cfg.conflict).toBeUndefined()
  })

  test('refuses a document that does not match its digest or is not valid', () => {
    const cfg = authority()
    expect(cfg.offerDocument({ ...docOf(7), text: textOf(9) }, 'host-1').outcome).toBe(OfferOutcome.Invalid)
    expect(cfg.offerText('{', 'platform').outcome).toBe(OfferOutcome.Invalid)
    expect(cfg.current).toBeUndefined()
  })

  test('reports the lag since another host first reported a newer revision', () => {
    const cfg = authority()
    cfg.offerText(textOf(7), 'platform')
    expect(cfg.observeVersion(docOf(8), 'host-1', 1_000)).toBe(true)
    cfg.observeVersion(docOf(9), 'host-1', 9_000)
    expect(cfg.lag(1_000 + LAG_REPORT_MS)).toMatchObject({ knownRevision: 9, overdue: false })
    expect(cfg.lag(1_001 + LAG_REPORT_MS)?.overdue).toBe(true)
    cfg.offerText(textOf(8), 'platform')
    expect(cfg.lag(9_000)?.knownRevision).toBe(9)
    cfg.offerText(textOf(9), 'platform')
    expect(cfg.lag(9_000)).toBeUndefined()
  })

  test('model: offers, observed versions and invalid documents never lower the revision or change the text of a revision', () => {
    const step = fc.record({ op: fc.constantFrom('text', 'document', 'hear', 'bad'), revision: fc.integer({ min: 1, max: 6 }), variant: fc.integer({ min: 0, max: 1 }) })
    fc.assert(fc.property(fc.array(step, { maxLength: 30 }), steps => {
      const cfg = authority()
      const digestOfRevision = new Map<number, string>()
      steps.reduce((highest, { op, revision, variant }) => {
        if (op === 'text') cfg.offerText(textOf(revision, variant), 'platform')
        if (op === 'document') cfg.offerDocument(docOf(revision, variant), 'host-1')
        if (op === 'hear') cfg.observeVersion(docOf(revision, variant), 'host-1', 0)
        if (op === 'bad') cfg.offerDocument({ ...docOf(revision), digest: '0'.repeat(64) }, 'host-1')
        const { revision: current, digest } = cfg.version ?? { revision: 0, digest: '' }
        expect(current).toBeGreaterThanOrEqual(highest)
        expect(digestOfRevision.get(current) ?? digest).toBe(digest)
        digestOfRevision.set(current, digest)
        return current
      }, 0)
    }), { seed: 7, numRuns: 500 })
  })
})

describe('HighWaterGate', () => {
  const required = [DocumentKey.Fleet]
  const gateOf = (count: number) => { const gate = new HighWaterGate('host-0'); gate.adoptList(listOf(ids(count))); return gate }

  test('opens only after responses that intersect every majority with a higher revision', () => {
    fc.assert(fc.property(fc.integer({ min: 1, max: 12 }), fc.infiniteStream(fc.nat()), (count, order) => {
      const draw = () => ids(count).map(id => ({ id, at: order.next().value as number })).sort((a, b) => a.at - b.at).map(({ id }) => id)
      const majority = draw().slice(0, Math.floor(count / 2) + 1)
      const gate = gateOf(count)
      const responding = draw().filter(id => id !== 'host-0')
      const opened = responding.some(id => {
        gate.receive(id, [docOf(majority.includes(id) ? 8 : 7)])
        return gate.state([docOf(7)], required).open
      })
      const alone = majority.every(id => id === 'host-0')
      expect(opened && !alone).toBe(false)
    }), { seed: 3, numRuns: 500 })
  })

  test('stays closed in a minority partition, when behind, in a conflict and without a host list', () => {
    const gate = gateOf(7)
    const own = [docOf(7)]
    ;['host-1', 'host-2', 'host-3'].forEach(id => gate.receive(id, own))
    expect(gate.state(own, required)).toMatchObject({ open: false, reason: GateReason.TooFewResponses, answers: 3, needed: 4 })
    gate.receive('stranger', own)
    expect(gate.state(own, required).reason).toBe(GateReason.TooFewResponses)
    gate.receive('host-4', [docOf(8)])
    expect(gate.state(own, required).reason).toBe(GateReason.Behind)
    expect(gate.state([docOf(8, 1)], required).reason).toBe(GateReason.Conflict)
    expect(gate.state([], required).reason).toBe(GateReason.Behind)
    expect(new HighWaterGate('x').state(own, required).reason).toBe(GateReason.NoHostList)
    expect(gate.state([docOf(8)], required).open).toBe(true)
  })

  test('queries the hosts again after a pause', () => {
    const gate = gateOf(3)
    ids(3).forEach(id => gate.receive(id, []))
    expect(gate.state([docOf(1)], required).open).toBe(true)
    expect(gate.dueHosts(0)).toEqual([])
    gate.reset()
    expect(gate.state([docOf(1)], required).open).toBe(false)
    expect(gate.dueHosts(0).sort()).toEqual(['host-1', 'host-2'])
    expect(gate.dueHosts(1)).toEqual([])
  })
})

describe('DocumentFetchScheduler', () => {
  test('requests from one host at a time and from another one after a failure', () => {
    const scheduler = new DocumentFetchScheduler(DocumentKey.Fleet)
    scheduler.addCandidate(docOf(8), 'host-1')
    scheduler.addCandidate(docOf(9), 'host-2')
    expect(scheduler.next(7, 0)).toMatchObject({ hostId: 'host-2', revision: 8 })
    expect(scheduler.next(7, 0)).toBeUndefined()
    scheduler.finish()
    expect(scheduler.next(7, 0)?.hostId).toBe('host-1')
    scheduler.finish()
    expect(scheduler.next(9, 10_000)).toBeUndefined()
  })
})

describe('planSourceWatch', () => {
  test('keeps a constant number of watchers in each zone and replaces an unreachable one', () => {
    const { hosts } = listOf(ids(420))
    const watchers = (isReachable: (id: string) => boolean) => hosts.map(({ id }) => id).filter(id => isReachable(id) && planSourceWatch(id, hosts, isReachable).watches)
    const before = watchers(() => true)
    expect(before).toHaveLength(6)
    const after = watchers(id => id !== before[0])
    expect(after).toHaveLength(6)
    expect(after.filter(id => before.includes(id))).toHaveLength(5)
  })
})
