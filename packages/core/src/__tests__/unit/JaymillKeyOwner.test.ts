import { describe, expect, test } from 'vitest'
import { CLOCK_SKEW_MS, LEASE_MS } from '../../idempotency/constants.js'
import { DecisionKind, UnknownReason } from '../../idempotency/JaymillKeyDecision.js'
import { KeyOwner, KeyOwnerComponents } from '../../idempotency/JaymillKeyOwner.js'
import { KeyRecords } from '../../idempotency/JaymillKeyRecords.js'
import { mintTimeMs } from '../../idempotency/JaymillMintTime.js'
import { LeaseGroup } from '../../idempotency/JaymillLeaseGroup.js'

const WALL_MS = 1_700_000_000_000
const START_MS = 2 * CLOCK_SKEW_MS
const REVISION = 1
const singleHostGroup: LeaseGroup = { revision: REVISION, members: ['a'], owners: ['a'], coldStartAtMs: WALL_MS + START_MS }
const at = (nowMs: number) => ({ nowMs, wallMs: WALL_MS + nowMs })
const READY_MS = START_MS + LEASE_MS

function keyAt (nowMs: number, tail = 1): string {
  const time = (WALL_MS + nowMs).toString(16).padStart(12, '0')
  return `${time.slice(0, 8)}-${time.slice(8)}-7000-8000-${tail.toString(16).padStart(12, '0')}`
}

function createOwner (components: Partial<KeyOwnerComponents> = {}, group = singleHostGroup): KeyOwner {
  const owner = new KeyOwner({ self: 'a', incarnation: 1, startedAt: at(0) }, components)
  owner.updateGroup(group, at(START_MS + CLOCK_SKEW_MS))
  return owner
}

const req = (key: string, fingerprint = 'body') => ({ scope: 'account', key, fingerprint })

describe('mintTimeMs', () => {
  test('reads the time of version 7 UUIDs only', () => {
    expect(mintTimeMs(keyAt(77))).toBe(WALL_MS + 77)
    expect(mintTimeMs('2b1f6d0e-8c6f-4a59-9c6d-1d7a4f0f6c11')).toBeUndefined()
    expect(mintTimeMs('order-17')).toBeUndefined()
  })
})

describe('KeyOwner', () => {
  test('decides about each arrival of a key by what became of the first one', () => {
    const owner = createOwner()
    const key = req(keyAt(READY_MS))
    const first = owner.begin(key, at(READY_MS))
    if (first.kind !== DecisionKind.Run) throw new Error(first.kind)
    expect(owner.begin(key, at(READY_MS)).kind).toBe(DecisionKind.Join)
    expect(owner.tryMarkSent(first.permit, at(READY_MS))).toBe(true)
    expect(owner.tryMarkSent(first.permit, at(READY_MS))).toBe(false)
    owner.recordRan(first.permit, { status: 201, headers: {}, body: new Uint8Array(3) })
    expect(owner.begin(key, at(READY_MS))).toMatchObject({ kind: DecisionKind.Replay, response: { status: 201 } })
    expect(owner.begin(req(key.key, 'other'), at(READY_MS)).kind).toBe(DecisionKind.KeyConflict)
  })

  test('remembers refusals and never runs a key whose record may have been evicted', () => {
    const owner = createOwner({ records: new KeyRecords({ records: 2 }) })
    const keys = [1, 2, 3].map(tail => req(keyAt(READY_MS, tail)))
    const decisions = keys.map(key => owner.begin(key, at(READY_MS)))
    decisions.forEach(decision => decision.kind === DecisionKind.Run && owner.recordRefused(decision.permit))
    expect(owner.begin(keys[2] ?? req(''), at(READY_MS)).kind).toBe(DecisionKind.NotRun)
    expect(owner.begin(keys[0] ?? req(''), at(READY_MS))).toEqual({ kind: DecisionKind.Unknown, reason: UnknownReason.Forgotten })
  })

  test('drops outcomes after the retention time but does not run their keys again', () => {
    const owner = createOwner({ records: new KeyRecords({ retentionMs: 1_000 }) })
    const key = req(keyAt(READY_MS))
    expect(owner.begin(key, at(READY_MS)).kind).toBe(DecisionKind.Run)
    owner.tick(at(READY_MS + 1_000))
    expect(owner.begin(key, at(READY_MS + 1_000))).toMatchObject({ reason: UnknownReason.Forgotten })
  })

  test('stores the responses that fit and the outcomes of all requests', () => {
    const owner = createOwner({ records: new KeyRecords({ responseBytes: 10, totalResponseBytes: 15 }) })
    const responseOf = (tail: number, bytes: number) => {
      const key = req(keyAt(READY_MS, tail))
      const decision = owner.begin(key, at(READY_MS))
      if (decision.kind === DecisionKind.Run && owner.tryMarkSent(decision.permit, at(READY_MS))) {
        owner.recordRan(decision.permit, { status: 200, headers: {}, body: new Uint8Array(bytes) })
      }
      return () => owner.begin(key, at(READY_MS))
    }
    const [older, large, newer] = [responseOf(1, 8), responseOf(2, 11), responseOf(3, 8)]
    expect([older?.(), large?.()]).toEqual([{ kind: DecisionKind.Replay }, { kind: DecisionKind.Replay }])
    expect(newer?.()).toMatchObject({ response: { status: 200 } })
  })

  test('refuses a key minted ahead of the clock, and reports a key minted before the takeover as unknown', () => {
    const owner = createOwner()
    expect(owner.begin(req(keyAt(READY_MS + CLOCK_SKEW_MS + 1)), at(READY_MS)).kind).toBe(DecisionKind.KeyRefused)
    expect(owner.begin(req(keyAt(0)), at(READY_MS))).toMatchObject({ reason: UnknownReason.BeforeTakeOver })
  })

  test('runs a key without a time only if it has owned the key since the declared cold start', () => {
    const later: LeaseGroup = { revision: REVISION + 1, members: ['a', 'b'], owners: ['a', 'b'] }
    expect(createOwner().begin(req('order-17'), at(READY_MS)).kind).toBe(DecisionKind.Run)
    const owner = createOwner()
    owner.updateGroup(later, at(READY_MS))
    expect(owner.begin(req('order-17'), at(READY_MS)).kind).not.toBe(DecisionKind.Run)
  })

  test('does not recover without other hosts if it started after the declared cold start', () => {
    const owner = createOwner({}, { ...singleHostGroup, coldStartAtMs: WALL_MS })
    expect(owner.begin(req(keyAt(READY_MS)), at(READY_MS + LEASE_MS))).toMatchObject({ reason: UnknownReason.Recovering })
  })
})
