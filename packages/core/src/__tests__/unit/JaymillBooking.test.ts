import { describe, expect, test } from 'vitest'
import {
  BookingStage, BookingWalk, CacheEventKind, deputySlots, endpointCostMs, endpointOwners, GrantAnswer, GrantRefusal, HostState,
  OrphanVerdict, orphanVerdict, findOrphans, OwnerBook, OwnerRole, PlanAction, PlanEnd, PLAN_START, PrefixCachePicture,
  ReserveDecodeFirst, SilentOwners
} from '../../index.js'

const hosts = Array.from({ length: 6 }, (_, index) => ({
  id: `host-${index}`, zone: `zone-${index % 3}`, region: 'r', peerUrl: '', state: HostState.Live
}))
const list = { revision: 1, hosts, leavingEndpoints: [] }
const endpoint = { id: 'decode-1', zone: 'zone-1' }
const refused: GrantAnswer = { grant: null, refusal: GrantRefusal.NoSlot, free: { slots: 0, pieces: 0 } }

describe('endpointOwners', () => {
  test('keeps the deputy in another availability zone and gives leaving hosts nothing', () => {
    const { owner, deputy } = endpointOwners(endpoint, list)
    expect(deputy?.zone).not.toBe(owner?.zone)
    const leaving = hosts.map(host => host.id === owner?.id ? { ...host, state: HostState.Leaving } : host)
    expect(endpointOwners(endpoint, { ...list, hosts: leaving }).owner?.id).not.toBe(owner?.id)
  })

  test('owner and deputy together never grant more than the slots', () => {
    const full = { ...endpoint, stage: BookingStage.Decode, slots: 20, kvPieces: 2_000, linkBytesPerSecond: 0, leaving: false }
    const books = hosts.map(host => new OwnerBook(host.id))
    books.forEach(book => book.adopt(list, [full], -10_000))
    books.forEach(book => book.reconcile(full.id, { running: [], heldPieces: 0, ageMs: 0 }, 0))
    const ask = { attempt: 1, stage: BookingStage.Decode, hostId: 'x', incarnation: 1, pieces: 1, transferBytes: 0, startInMs: 0, expectedMs: 1, nonce: 'n' }
    const granted = books.flatMap(book => Array.from({ length: 30 }, (_, index) =>
      book.grant(full.id, { ...ask, requestId: `${book.roleOf(full.id) ?? ''}-${index}` }, 1).grant).filter(Boolean))
    expect(granted).toHaveLength(20)
    expect(books.filter(book => book.roleOf(full.id) === OwnerRole.Deputy)).toHaveLength(1)
    expect(deputySlots(20)).toBe(1)
  })
})

describe('BookingWalk', () => {
  test('asks the deputy of the same endpoint when the owner is silent, and the next endpoint after a refusal', () => {
    const silent = new SilentOwners()
    const ownersOf = (id: string): ReturnType<typeof endpointOwners> => endpointOwners({ id, zone: 'zone-1' }, list)
    const walk = new BookingWalk(['decode-1', 'decode-2'], ownersOf, silent)
    const first = walk.next(0)
    expect(first?.hostId).toBe(ownersOf('decode-1').owner?.id)
    if (first !== null) walk.unanswered(first, 0)
    const second = walk.next(1)
    expect(second).toEqual({ endpointId: 'decode-1', hostId: ownersOf('decode-1').deputy?.id })
    if (second !== null) walk.answered(second, refused)
    expect(walk.next(2)?.endpointId).toBe('decode-2')
  })
})

describe('ReserveDecodeFirst', () => {
  test('runs nothing before both stages are booked and releases both at every stage', () => {
    const plan = new ReserveDecodeFirst()
    const states = [false, true].flatMap(decodeBooked => [false, true].flatMap(prefillBooked => [false, true].map(prefillDone =>
      ({ ...PLAN_START, decodeBooked, prefillBooked, prefillDone }))))
    states.forEach(state => {
      const runs = [PlanAction.RunPrefill, PlanAction.RunDecode].includes(plan.next(state))
      expect(runs).toBe(state.decodeBooked && state.prefillBooked)
      Object.values(PlanEnd).forEach(ended => expect(plan.next({ ...state, ended })).toBe(PlanAction.ReleaseAll))
    })
  })
})

describe('findOrphans', () => {
  const request = { requestId: 'a', attempt: 1, hostId: 'host-1', incarnation: 1, pieces: 1, ageMs: 1_000 }
  const host = { id: 'host-1', incarnation: 1, listed: true, silentMs: 0 }

  test('cancels by incarnation, absence from the list and silence, and waits for late lists', () => {
    const verdict = (changes: object): OrphanVerdict => orphanVerdict(request, { ...host, ...changes }, false)
    expect(verdict({})).toBe(OrphanVerdict.Keep)
    expect(verdict({ incarnation: 2 })).toBe(OrphanVerdict.NewerIncarnation)
    expect(verdict({ listed: false })).toBe(OrphanVerdict.Keep)
    expect(verdict({ listed: false, silentMs: 3_000 })).toBe(OrphanVerdict.Unlisted)
    expect(verdict({ silentMs: 3_000 })).toBe(OrphanVerdict.Silent)
    expect(orphanVerdict(request, undefined, false)).toBe(OrphanVerdict.Keep)
    expect(orphanVerdict({ ...request, ageMs: 30_000 }, undefined, false)).toBe(OrphanVerdict.Unknown)
  })

  test('keeps the requests of the other side of a partition', () => {
    const facts = hosts.map((entry, index) => ({ ...host, id: entry.id, silentMs: index < 3 ? 5_000 : 0 }))
    expect(findOrphans([request], facts)).toEqual([])
    expect(findOrphans([request], facts.map(fact => ({ ...fact, silentMs: 30_000 })))).toHaveLength(1)
  })
})

describe('prefix affinity', () => {
  test('after a gap in the events nothing stored before counts as cached', () => {
    const picture = new PrefixCachePicture(100)
    const store = (seq: number, prefix: string): void => picture.apply('e', { seq, kind: CacheEventKind.Stored, prefix })
    store(1, 'x')
    store(2, 'y')
    expect(picture.cachedBlocks('e', ['x', 'y', 'z'])).toBe(2)
    expect(picture.cachedBlocks('e', ['other'])).toBe(0)
    store(4, 'z')
    expect(picture.cachedBlocks('e', ['x', 'y'])).toBeNull()
    expect(picture.cachedBlocks('e', ['z'])).toBe(1)
  })

  test('is worth the time it saves and no more', () => {
    const fact = { endpointId: 'e', zone: 'z', slots: 10, usedSlots: 0, weight: 1, savedMs: 0 }
    const cost = (changes: object): number => endpointCostMs({ ...fact, ...changes }, { zone: 'z', expectedMs: 400 })
    expect(cost({ savedMs: 150, usedSlots: 5 })).toBeLessThan(cost({}))
    expect(cost({ savedMs: 50, usedSlots: 5 })).toBeGreaterThan(cost({}))
    expect(cost({ weight: 0 })).toBe(Number.POSITIVE_INFINITY)
  })
})
