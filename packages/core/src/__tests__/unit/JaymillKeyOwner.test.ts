import { describe, expect, test } from 'vitest'
import { CLOCK_SKEW_MS, LEASE_MS } from '../../idempotency/constants.js'
import { DecisionKind, UnknownReason } from '../../idempotency/JaymillKeyDecision.js'
import { KeyOwner, KeyOwnerParts } from '../../idempotency/JaymillKeyOwner.js'
import { KeyRecords } from '../../idempotency/JaymillKeyRecords.js'
import { mintTimeMs } from '../../idempotency/JaymillMintTime.js'
import { GroupList } from '../../idempotency/JaymillGroupList.js'

const WALL_MS = 1_700_000_000_000
const START_MS = 2 * CLOCK_SKEW_MS
const REVISION = 1
const alone: GroupList = { revision: REVISION, members: ['a'], owners: ['a'], coldStartAtMs: WALL_MS + START_MS }
const at = (nowMs: number) => ({ nowMs, wallMs: WALL_MS + nowMs })
const READY_MS = START_MS + LEASE_MS

function keyAt (nowMs: number, tail = 1): string {
  const time = (WALL_MS + nowMs).toString(16).padStart(12, '0')
  return `${time.slice(0, 8)}-${time.slice(8)}-7000-8000-${tail.toString(16).padStart(12, '0')}`
}

function ready (parts: Partial<KeyOwnerParts> = {}, list = alone): KeyOwner {
  const owner = new KeyOwner({ self: 'a', incarnation: 1, startedAt: at(0) }, parts)
  owner.publish(list, at(START_MS + CLOCK_SKEW_MS))
  return owner
}

const req = (key: string, fingerprint = 'body') => ({ scope: 'account', key, fingerprint })

describe('mintTimeMs', () => {
  test('reads the time of a version 7 key only', () => {
    expect(mintTimeMs(keyAt(77))).toBe(WALL_MS + 77)
    expect(mintTimeMs('2b1f6d0e-8c6f-4a59-9c6d-1d7a4f0f6c11')).toBeUndefined()
    expect(mintTimeMs('order-17')).toBeUndefined()
  })
})

describe('KeyOwner', () => {
  test('answers each arrival of a key by what became of it', () => {
    const owner = ready()
    const key = req(keyAt(READY_MS))
    const first = owner.begin(key, at(READY_MS))
    if (first.kind !== DecisionKind.Run) throw new Error(first.kind)
    expect(owner.begin(key, at(READY_MS)).kind).toBe(DecisionKind.Join)
    expect(owner.mayRun(first.permit, at(READY_MS))).toBe(true)
    expect(owner.mayRun(first.permit, at(READY_MS))).toBe(false)
    owner.ran(first.permit, { status: 201, headers: {}, body: new Uint8Array(3) })
    expect(owner.begin(key, at(READY_MS))).toMatchObject({ kind: DecisionKind.Replay, answer: { status: 201 } })
    expect(owner.begin(req(key.key, 'other'), at(READY_MS)).kind).toBe(DecisionKind.KeyConflict)
  })

  test('keeps a refusal, and never runs a key that may have been forgotten', () => {
    const owner = ready({ records: new KeyRecords({ records: 2 }) })
    const keys = [1, 2, 3].map(tail => req(keyAt(READY_MS, tail)))
    const decisions = keys.map(key => owner.begin(key, at(READY_MS)))
    decisions.forEach(decision => decision.kind === DecisionKind.Run && owner.refused(decision.permit))
    expect(owner.begin(keys[2] ?? req(''), at(READY_MS)).kind).toBe(DecisionKind.NotRun)
    expect(owner.begin(keys[0] ?? req(''), at(READY_MS))).toEqual({ kind: DecisionKind.Unknown, reason: UnknownReason.Forgotten })
  })

  test('forgets outcomes after their time without running them again', () => {
    const owner = ready({ records: new KeyRecords({ retentionMs: 1_000 }) })
    const key = req(keyAt(READY_MS))
    expect(owner.begin(key, at(READY_MS)).kind).toBe(DecisionKind.Run)
    owner.tick(at(READY_MS + 1_000))
    expect(owner.begin(key, at(READY_MS + 1_000))).toMatchObject({ reason: UnknownReason.Forgotten })
  })

  test('keeps the answers that fit, and the outcome of all', () => {
    const owner = ready({ records: new KeyRecords({ answerBytes: 10, answersBytes: 15 }) })
    const answerOf = (tail: number, bytes: number) => {
      const key = req(keyAt(READY_MS, tail))
      const decision = owner.begin(key, at(READY_MS))
      if (decision.kind === DecisionKind.Run && owner.mayRun(decision.permit, at(READY_MS))) {
        owner.ran(decision.permit, { status: 200, headers: {}, body: new Uint8Array(bytes) })
      }
      return () => owner.begin(key, at(READY_MS))
    }
    const [older, large, newer] = [answerOf(1, 8), answerOf(2, 11), answerOf(3, 8)]
    expect([older?.(), large?.()]).toEqual([{ kind: DecisionKind.Replay }, { kind: DecisionKind.Replay }])
    expect(newer?.()).toMatchObject({ answer: { status: 200 } })
  })

  test('refuses a key minted ahead of the clocks, and leaves one minted before the take-over unknown', () => {
    const owner = ready()
    expect(owner.begin(req(keyAt(READY_MS + CLOCK_SKEW_MS + 1)), at(READY_MS)).kind).toBe(DecisionKind.KeyRefused)
    expect(owner.begin(req(keyAt(0)), at(READY_MS))).toMatchObject({ reason: UnknownReason.BeforeTakeOver })
  })

  test('runs a key without a time only when it has owned it since the declared cold start', () => {
    const later: GroupList = { revision: REVISION + 1, members: ['a', 'b'], owners: ['a', 'b'] }
    expect(ready().begin(req('order-17'), at(READY_MS)).kind).toBe(DecisionKind.Run)
    const owner = ready()
    owner.publish(later, at(READY_MS))
    expect(owner.begin(req('order-17'), at(READY_MS)).kind).not.toBe(DecisionKind.Run)
  })

  test('recovers nothing by itself when it started after the declared cold start', () => {
    const owner = ready({}, { ...alone, coldStartAtMs: WALL_MS })
    expect(owner.begin(req(keyAt(READY_MS)), at(READY_MS + LEASE_MS))).toMatchObject({ reason: UnknownReason.Recovering })
  })
})
