import { describe, expect, test } from 'vitest'
import {
  backupOwnerSlots, CacheEventKind, endpointCostMs, endpointOwners, EndpointRole, findOrphans, HostState, LedgerRegistry,
  OrphanVerdict, orphanVerdict, OwnerRole, PlanAction, PlanEndReason, PLAN_START, PrefixCacheIndex, ReservationRefusal,
  ReservationResponse, ReservationTargets, ReserveDecodeFirst, UnreachableOwners
} from '../../index.js'

const hosts = Array.from({ length: 6 }, (_, index) => ({
  id: `host-${index}`, zone: `zone-${index % 3}`, region: 'r', peerUrl: '', state: HostState.Live
}))
const list = { revision: 1, hosts, leavingEndpoints: [] }
const endpoint = { id: 'decode-1', zone: 'zone-1' }
const refused: ReservationResponse = { grant: null, refusal: ReservationRefusal.NoSlot, free: { slots: 0, pieces: 0 } }

describe('endpointOwners', () => {
  test('chooses a backup owner in another availability zone and assigns nothing to leaving hosts', () => {
    const { owner, backupOwner } = endpointOwners(endpoint, list)
    expect(backupOwner?.zone).not.toBe(owner?.zone)
    const leaving = hosts.map(host => host.id === owner?.id ? { ...host, state: HostState.Leaving } : host)
    expect(endpointOwners(endpoint, { ...list, hosts: leaving }).owner?.id).not.toBe(owner?.id)
  })

  test('owner and backup owner together never reserve more than the slots', () => {
    const full = { ...endpoint, role: EndpointRole.Decode, slots: 20, kvPieces: 2_000, linkBytesPerSecond: 0, leaving: false }
    const registries = hosts.map(host => new LedgerRegistry(host.id))
    registries.forEach(registry => registry.updateOwnership(list, [full], -10_000))
    registries.forEach(registry => registry.reconcile(full.id, { running: [], heldPieces: 0, ageMs: 0 }, 0))
    const reservationRequest = {
      attempt: 1, stage: EndpointRole.Decode, hostId: 'x', incarnation: 1, pieces: 1, transferBytes: 0, startInMs: 0, expectedMs: 1, nonce: 'n'
    }
    const granted = registries.flatMap(registry => Array.from({ length: 30 }, (_, index) =>
      registry.reserve(full.id, { ...reservationRequest, requestId: `${registry.ownerRoleOf(full.id) ?? ''}-${index}` }, 1).grant
    ).filter(Boolean))
    expect(granted).toHaveLength(20)
    expect(registries.filter(registry => registry.ownerRoleOf(full.id) === OwnerRole.Backup)).toHaveLength(1)
    expect(backupOwnerSlots(20)).toBe(1)
  })
})

describe('ReservationTargets', () => {
  test('queries the backup owner of the same endpoint if the owner is unreachable, and the next endpoint after a refusal', () => {
    const unreachable = new UnreachableOwners()
    const ownersOf = (id: string): ReturnType<typeof endpointOwners> => endpointOwners({ id, zone: 'zone-1' }, list)
    const targets = new ReservationTargets(['decode-1', 'decode-2'], ownersOf, unreachable)
    const first = targets.next(0)
    expect(first?.hostId).toBe(ownersOf('decode-1').owner?.id)
    if (first !== null) targets.recordTimeout(first, 0)
    const second = targets.next(1)
    expect(second).toEqual({ endpointId: 'decode-1', hostId: ownersOf('decode-1').backupOwner?.id })
    if (second !== null) targets.recordResponse(second, refused)
    expect(targets.next(2)?.endpointId).toBe('decode-2')
  })
})

describe('ReserveDecodeFirst', () => {
  test('runs nothing before prefill and decode are both reserved, and releases both in every state', () => {
    const plan = new ReserveDecodeFirst()
    const states = [false, true].flatMap(decodeReserved => [false, true].flatMap(prefillReserved => [false, true].map(prefillDone =>
      ({ ...PLAN_START, decodeReserved, prefillReserved, prefillDone }))))
    states.forEach(state => {
      const runs = [PlanAction.RunPrefill, PlanAction.RunDecode].includes(plan.next(state))
      expect(runs).toBe(state.decodeReserved && state.prefillReserved)
      Object.values(PlanEndReason).forEach(ended => expect(plan.next({ ...state, ended })).toBe(PlanAction.ReleaseAll))
    })
  })
})

describe('findOrphans', () => {
  const request = { requestId: 'a', attempt: 1, hostId: 'host-1', incarnation: 1, pieces: 1, ageMs: 1_000 }
  const host = { id: 'host-1', incarnation: 1, listed: true, sinceLastMessageMs: 0 }

  test('cancels by incarnation, absence from the list and time without messages, and waits for late lists', () => {
    const verdict = (changes: object): OrphanVerdict => orphanVerdict(request, { ...host, ...changes }, false)
    expect(verdict({})).toBe(OrphanVerdict.Keep)
    expect(verdict({ incarnation: 2 })).toBe(OrphanVerdict.NewerIncarnation)
    expect(verdict({ listed: false })).toBe(OrphanVerdict.Keep)
    expect(verdict({ listed: false, sinceLastMessageMs: 3_000 })).toBe(OrphanVerdict.Unlisted)
    expect(verdict({ sinceLastMessageMs: 3_000 })).toBe(OrphanVerdict.Unreachable)
    expect(orphanVerdict(request, undefined, false)).toBe(OrphanVerdict.Keep)
    expect(orphanVerdict({ ...request, ageMs: 30_000 }, undefined, false)).toBe(OrphanVerdict.Unknown)
  })

  test('keeps the requests of hosts on the other side of a partition', () => {
    const livenessOfHosts = hosts.map((entry, index) => ({ ...host, id: entry.id, sinceLastMessageMs: index < 3 ? 5_000 : 0 }))
    expect(findOrphans([request], livenessOfHosts)).toEqual([])
    expect(findOrphans([request], livenessOfHosts.map(liveness => ({ ...liveness, sinceLastMessageMs: 30_000 })))).toHaveLength(1)
  })
})

describe('prefix affinity', () => {
  test('after a gap in the events, prefixes stored earlier no longer count as cached', () => {
    const cacheIndex = new PrefixCacheIndex(100)
    const store = (seq: number, prefix: string): void => cacheIndex.apply('e', { seq, kind: CacheEventKind.Stored, prefix })
    store(1, 'x')
    store(2, 'y')
    expect(cacheIndex.cachedBlocks('e', ['x', 'y', 'z'])).toBe(2)
    expect(cacheIndex.cachedBlocks('e', ['other'])).toBe(0)
    store(4, 'z')
    expect(cacheIndex.cachedBlocks('e', ['x', 'y'])).toBeNull()
    expect(cacheIndex.cachedBlocks('e', ['z'])).toBe(1)
  })

  test('a cached prefix is worth the time it saves and no more', () => {
    const candidate = { endpointId: 'e', zone: 'z', slots: 10, usedSlots: 0, weight: 1, savedMs: 0 }
    const cost = (changes: object): number => endpointCostMs({ ...candidate, ...changes }, { zone: 'z', expectedMs: 400 })
    expect(cost({ savedMs: 150, usedSlots: 5 })).toBeLessThan(cost({}))
    expect(cost({ savedMs: 50, usedSlots: 5 })).toBeGreaterThan(cost({}))
    expect(cost({ weight: 0 })).toBe(Number.POSITIVE_INFINITY)
  })
})
