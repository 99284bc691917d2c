import { describe, expect, test } from 'vitest'
import {
  AdoptionRule, BookingStage, CountingRule, EndpointLedger, grantId, GRANT_TTL_MS, GrantRefusal, GrantRequest, HOLD_OFF_MS,
  LinkLedger, LoadReport, SeededRandom
} from '../../index.js'

const CAPACITY = { slots: 4, pieces: 100, stage: BookingStage.Decode }

function request (requestId: string, changes: Partial<GrantRequest> = {}): GrantRequest {
  const stage = BookingStage.Decode
  const base = { attempt: 1, stage, hostId: 'host-0', incarnation: 1, pieces: 10, transferBytes: 0, startInMs: 200, expectedMs: 4_000, nonce: 'n' }
  return { requestId, ...base, ...changes }
}

function report (ids: readonly string[], ageMs = 0, runningMs = 1_000): LoadReport {
  const running = ids.map(requestId => ({ requestId, attempt: 1, hostId: 'host-0', incarnation: 1, pieces: 10, ageMs: runningMs }))
  return { running, heldPieces: running.length * 10, ageMs }
}

const ledger = (link = new LinkLedger(0)): EndpointLedger => new EndpointLedger(CAPACITY, link)

describe('EndpointLedger', () => {
  test('never grants more than slots and pieces over a random walk of grants, releases and silences', () => {
    const random = new SeededRandom(7)
    const book = ledger()
    Array.from({ length: 5_000 }, (_, step) => step).forEach(step => {
      const req = request(`req-${Math.floor(random.next() * 40)}-${Math.floor(step / 200)}`, { pieces: Math.floor(random.next() * 60) })
      if (random.next() < 0.6) book.grant(req, step)
      else book.release(grantId(req), step)
      if (random.next() < 0.02) book.expire(step)
      expect(book.free.slots).toBeGreaterThanOrEqual(0)
      expect(book.free.pieces).toBeGreaterThanOrEqual(0)
    })
  })

  test('meets a repeated request with its first grant', () => {
    const book = ledger()
    expect(book.grant(request('a'), 0).grant).toEqual(book.grant(request('a'), 5).grant)
    expect(book.free.slots).toBe(3)
  })

  test('counts two bookings of one request id apart', () => {
    const book = ledger()
    book.grant(request('a'), 0)
    book.grant(request('a', { nonce: 'other' }), 0)
    expect(book.free.slots).toBe(2)
    book.release(grantId(request('a')), 0)
    expect(book.free.slots).toBe(3)
    expect(book.grant(request('a', { nonce: 'third' }), 1).grant).not.toBeNull()
  })

  test('an adopted grant is renewed and released by its holder', () => {
    const book = ledger()
    book.takeOver(0)
    book.reconcile(report(['a', 'b']), HOLD_OFF_MS)
    expect(book.renew(grantId(request('a')), HOLD_OFF_MS)).toBe(true)
    book.reconcile(report(['a', 'b']), HOLD_OFF_MS + 1)
    expect(book.free.slots).toBe(2)
    book.release(grantId(request('a')), HOLD_OFF_MS + 2)
    book.release(grantId(request('b')), HOLD_OFF_MS + 2)
    expect(book.free.slots).toBe(4)
  })

  test('refuses a request that arrives after its own release', () => {
    const book = ledger()
    book.release(grantId(request('a')), 0)
    expect(book.grant(request('a'), 1).refusal).toBe(GrantRefusal.Released)
  })

  test('grants nothing on a leaving endpoint', () => {
    const book = ledger()
    book.setLeaving(true)
    expect(book.grant(request('a'), 0).refusal).toBe(GrantRefusal.Leaving)
  })

  test('keeps the capacity of an expired grant until the endpoint no longer lists its request', () => {
    const book = ledger()
    book.grant(request('a'), 0)
    expect(book.expire(GRANT_TTL_MS).map(grant => grant.requestId)).toEqual(['a'])
    book.reconcile(report(['a']), GRANT_TTL_MS + 1)
    expect(book.free.slots).toBe(3)
    book.reconcile(report([], 500), GRANT_TTL_MS + 2)
    expect(book.free.slots).toBe(3)
    book.reconcile(report([]), GRANT_TTL_MS + 3)
    expect(book.free.slots).toBe(4)
  })

  test('does not free a grant whose use has not begun', () => {
    const book = ledger()
    book.grant(request('a'), 0)
    book.reconcile(report([]), 100)
    expect(book.free.slots).toBe(3)
  })

  test('grants after a take-over only with a list taken after the hold-off', () => {
    const book = ledger()
    book.takeOver(0)
    book.reconcile(report(['a', 'b']), 10)
    expect(book.grant(request('c'), HOLD_OFF_MS).refusal).toBe(GrantRefusal.HoldOff)
    book.reconcile(report(['a', 'b', 'd'], 50), HOLD_OFF_MS + 49)
    expect(book.grant(request('c'), HOLD_OFF_MS + 49).refusal).toBe(GrantRefusal.HoldOff)
    book.reconcile(report(['a', 'b', 'd']), HOLD_OFF_MS + 50)
    expect(book.grant(request('c'), HOLD_OFF_MS + 50).grant).not.toBeNull()
    expect(book.grant(request('e'), HOLD_OFF_MS + 50).refusal).toBe(GrantRefusal.NoSlot)
  })

  test('a deputy books only what began before the end of its hold-off', () => {
    const book = new EndpointLedger(CAPACITY, new LinkLedger(0), CountingRule.Exact, AdoptionRule.BeforeHoldOffEnd)
    book.takeOver(0)
    book.reconcile(report(['old']), HOLD_OFF_MS)
    book.reconcile(report(['old', 'new'], 0, 10), HOLD_OFF_MS + 5_000)
    expect(book.grants.map(grant => grant.requestId)).toEqual(['old'])
  })

  test('refuses a transfer that would lag, and one that would make another lag', () => {
    const book = ledger(new LinkLedger(1_000_000, 300))
    expect(book.grant(request('late', { transferBytes: 400_000, startInMs: 300 }), 0).grant).not.toBeNull()
    expect(book.grant(request('same', { transferBytes: 1, startInMs: 300 }), 0).refusal).toBe(GrantRefusal.LinkBusy)
    expect(book.grant(request('early', { transferBytes: 700_000, startInMs: 0 }), 0).refusal).toBe(GrantRefusal.LinkBusy)
    book.release(grantId(request('late')), 0)
    expect(book.grant(request('other', { transferBytes: 700_000, startInMs: 0 }), 0).grant).not.toBeNull()
  })
})
