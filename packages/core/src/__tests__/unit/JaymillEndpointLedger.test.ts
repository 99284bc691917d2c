import { describe, expect, test } from 'vitest'
import {
  AdoptionRule, CountingRule, EndpointLedger, EndpointRole, HOLD_OFF_MS, LinkLedger, LoadReport, reservationId, ReservationRefusal,
  ReservationRequest, RESERVATION_TTL_MS, SeededRandom
} from '../../index.js'

const CAPACITY = { slots: 4, pieces: 100, role: EndpointRole.Decode }

function request (requestId: string, changes: Partial<ReservationRequest> = {}): ReservationRequest {
  const stage = EndpointRole.Decode
  const base = { attempt: 1, stage, hostId: 'host-0', incarnation: 1, pieces: 10, transferBytes: 0, startInMs: 200, expectedMs: 4_000, nonce: 'n' }
  return { requestId, ...base, ...changes }
}

function report (ids: readonly string[], ageMs = 0, runningMs = 1_000): LoadReport {
  const running = ids.map(requestId => ({ requestId, attempt: 1, hostId: 'host-0', incarnation: 1, pieces: 10, ageMs: runningMs }))
  return { running, heldPieces: running.length * 10, ageMs }
}

const createLedger = (link = new LinkLedger(0)): EndpointLedger => new EndpointLedger(CAPACITY, link)

describe('EndpointLedger', () => {
  test('never reserves more than slots and pieces over a random sequence of reservations, releases and expiries', () => {
    const random = new SeededRandom(7)
    const ledger = createLedger()
    Array.from({ length: 5_000 }, (_, step) => step).forEach(step => {
      const req = request(`req-${Math.floor(random.next() * 40)}-${Math.floor(step / 200)}`, { pieces: Math.floor(random.next() * 60) })
      if (random.next() < 0.6) ledger.reserve(req, step)
      else ledger.release(reservationId(req), step)
      if (random.next() < 0.02) ledger.expire(step)
      expect(ledger.free.slots).toBeGreaterThanOrEqual(0)
      expect(ledger.free.pieces).toBeGreaterThanOrEqual(0)
    })
  })

  test('returns the first reservation for a repeated request', () => {
    const ledger = createLedger()
    expect(ledger.reserve(request('a'), 0).grant).toEqual(ledger.reserve(request('a'), 5).grant)
    expect(ledger.free.slots).toBe(3)
  })

  test('counts two reservations with the same request id separately', () => {
    const ledger = createLedger()
    ledger.reserve(request('a'), 0)
    ledger.reserve(request('a', { nonce: 'other' }), 0)
    expect(ledger.free.slots).toBe(2)
    ledger.release(reservationId(request('a')), 0)
    expect(ledger.free.slots).toBe(3)
    expect(ledger.reserve(request('a', { nonce: 'third' }), 1).grant).not.toBeNull()
  })

  test('an adopted reservation is renewed and released by the host that requested it', () => {
    const ledger = createLedger()
    ledger.takeOver(0)
    ledger.reconcile(report(['a', 'b']), HOLD_OFF_MS)
    expect(ledger.renew(reservationId(request('a')), HOLD_OFF_MS)).toBe(true)
    ledger.reconcile(report(['a', 'b']), HOLD_OFF_MS + 1)
    expect(ledger.free.slots).toBe(2)
    ledger.release(reservationId(request('a')), HOLD_OFF_MS + 2)
    ledger.release(reservationId(request('b')), HOLD_OFF_MS + 2)
    expect(ledger.free.slots).toBe(4)
  })

  test('refuses a request that arrives after its own release', () => {
    const ledger = createLedger()
    ledger.release(reservationId(request('a')), 0)
    expect(ledger.reserve(request('a'), 1).refusal).toBe(ReservationRefusal.Released)
  })

  test('refuses reservations on a leaving endpoint', () => {
    const ledger = createLedger()
    ledger.setLeaving(true)
    expect(ledger.reserve(request('a'), 0).refusal).toBe(ReservationRefusal.Leaving)
  })

  test('keeps the capacity of an expired reservation until the endpoint no longer lists its request', () => {
    const ledger = createLedger()
    ledger.reserve(request('a'), 0)
    expect(ledger.expire(RESERVATION_TTL_MS).map(reservation => reservation.requestId)).toEqual(['a'])
    ledger.reconcile(report(['a']), RESERVATION_TTL_MS + 1)
    expect(ledger.free.slots).toBe(3)
    ledger.reconcile(report([], 500), RESERVATION_TTL_MS + 2)
    expect(ledger.free.slots).toBe(3)
    ledger.reconcile(report([]), RESERVATION_TTL_MS + 3)
    expect(ledger.free.slots).toBe(4)
  })

  test('does not release a reservation whose use has not begun', () => {
    const ledger = createLedger()
    ledger.reserve(request('a'), 0)
    ledger.reconcile(report([]), 100)
    expect(ledger.free.slots).toBe(3)
  })

  test('reserves after a takeover only with a list taken after the hold-off', () => {
    const ledger = createLedger()
    ledger.takeOver(0)
    ledger.reconcile(report(['a', 'b']), 10)
    expect(ledger.reserve(request('c'), HOLD_OFF_MS).refusal).toBe(ReservationRefusal.HoldOff)
    ledger.reconcile(report(['a', 'b', 'd'], 50), HOLD_OFF_MS + 49)
    expect(ledger.reserve(request('c'), HOLD_OFF_MS + 49).refusal).toBe(ReservationRefusal.HoldOff)
    ledger.reconcile(report(['a', 'b', 'd']), HOLD_OFF_MS + 50)
    expect(ledger.reserve(request('c'), HOLD_OFF_MS + 50).grant).not.toBeNull()
    expect(ledger.reserve(request('e'), HOLD_OFF_MS + 50).refusal).toBe(ReservationRefusal.NoSlot)
  })

  test('a backup owner adopts only requests that began before the end of its hold-off', () => {
    const ledger = new EndpointLedger(CAPACITY, new LinkLedger(0), CountingRule.Exact, AdoptionRule.BeforeHoldOffEnd)
    ledger.takeOver(0)
    ledger.reconcile(report(['old']), HOLD_OFF_MS)
    ledger.reconcile(report(['old', 'new'], 0, 10), HOLD_OFF_MS + 5_000)
    expect(ledger.reservations.map(reservation => reservation.requestId)).toEqual(['old'])
  })

  test('refuses a transfer that would lag, and one that would make another lag', () => {
    const ledger = createLedger(new LinkLedger(1_000_000, 300))
    expect(ledger.reserve(request('late', { transferBytes: 400_000, startInMs: 300 }), 0).grant).not.toBeNull()
    expect(ledger.reserve(request('same', { transferBytes: 1, startInMs: 300 }), 0).refusal).toBe(ReservationRefusal.LinkBusy)
    expect(ledger.reserve(request('early', { transferBytes: 700_000, startInMs: 0 }), 0).refusal).toBe(ReservationRefusal.LinkBusy)
    ledger.release(reservationId(request('late')), 0)
    expect(ledger.reserve(request('other', { transferBytes: 700_000, startInMs: 0 }), 0).grant).not.toBeNull()
  })
})
