import { QuotaScope, type AccountUse } from '@jaymill/core'
import { decode, encode } from '@msgpack/msgpack'
import fc from 'fast-check'
import { expect, test } from 'vitest'
import { decodeHostMessage, encodeHostMessage, WorkScope, type HostMessage } from '../../peers/JaymillHostMessage.js'
import { MAX_ACCOUNT_USES, MAX_DIGEST_LIMITS, MAX_HOST_LIMITS } from '../../peers/constants.js'
import { withoutOwn } from '../../peers/JaymillReportedWork.js'

const MTU_BYTES = 1_472

const MESSAGE: HostMessage = {
  from: '10.1.0.38',
  zone: 'mobile-bay',
  born: 1_775_639_595_123,
  seq: 4_711,
  connected: true,
  ask: false,
  leaving: false,
  config: 6,
  revision: 133,
  graceMs: 0,
  fence: 1_775_639_616_239,
  batches: [{ baseRevision: 132, changes: [{ id: 'i-1' }] }],
  hosts: [{ zone: 'mobile-bay', addresses: ['10.1.0.39', '10.1.0.40'], connected: ['10.1.0.40'] }],
  work: {
    scope: WorkScope.Host,
    part: 0,
    parts: 1,
    load: [{ endpointId: 'i-559cb29810', requests: 2, tokens: 11_745 }],
    factors: [{ endpointId: 'i-559cb29810', calls: 2.1, factors: 3.4 }],
    directPrefills: [{ endpointId: 'i-465fa000e6', requests: 1, tokens: 5_200 }],
    demand: [{ service: 'xara81a', promptRate: 42.71, kvRate: 78.5, waitingTokens: 9_000 }],
    changing: ['i-b24fb240ce']
  },
  limits: [{ endpointId: 'i-559cb29810', perS: 2.4, ageMs: 800, sent: 3 }, { endpointId: 'i-465fa000e6', perS: undefined, ageMs: 12, sent: 0 }]
}

test('a message is decoded as it was encoded', () => {
  expect(decodeHostMessage(encodeHostMessage(MESSAGE))).toEqual(MESSAGE)
})

const USES: readonly AccountUse[] = [{ account: 'payroll', used: 4_711_000, demandPerS: 400_828.25, recent: 5_100, level: -0.125 }, { account: 'b', used: 0, demandPerS: 0.5, recent: 0 }]

test.each([QuotaScope.Host, QuotaScope.Zone, QuotaScope.Fleet])('the use of quotas is decoded as it was encoded, with scope %s', scope => {
  const message = { ...MESSAGE, quotas: { scope, uses: USES } }
  expect(decodeHostMessage(encodeHostMessage(message))).toEqual(message)
})

/** Positions of elements of the work in a datagram. */
const QUOTAS_AT = 9
const FACTORS_AT = 10

function withWork (change: (work: readonly unknown[]) => readonly unknown[]): Uint8Array {
  const wire = decode(encodeHostMessage(MESSAGE)) as unknown[]
  return encode([...wire.slice(0, -1), change(wire.at(-1) as unknown[])])
}

const withElement = (at: number, value: unknown): Uint8Array => withWork(work => work.map((element, i) => i === at ? value : element))
const withQuotas = (quotas: unknown): Uint8Array => withElement(QUOTAS_AT, quotas)

test.each([['quotas', QUOTAS_AT], ['factors', FACTORS_AT]])('a message of an earlier release, without %s, is decoded', (_name, at) => {
  expect(decodeHostMessage(withWork(work => work.slice(0, at)))).toEqual({ ...MESSAGE, work: { ...MESSAGE.work, factors: [] } })
})

test.each([[7], ['text'], [{}], [null], [[7]], [['a', 1, 1]], [[['a', 1]]], [[['a', -1, 1]]], [[['a', 1, Number.NaN]]], [[['a', 1, Number.POSITIVE_INFINITY]]], [[[1, 1, 1]]]])('malformed factors are ignored: %j', factors => {
  expect(decodeHostMessage(withElement(FACTORS_AT, factors))?.work.factors).toEqual([])
})

test.each([[7], ['text'], [{}], [[7, []]], [[0, {}]], [[0, null]]])('quotas in another format are ignored: %j', quotas => {
  expect(decodeHostMessage(withQuotas(quotas))).toEqual(MESSAGE)
})

test.each([
  [[1, 2, 3, 0, 4]], [['a', 'b', 0, 0, 0]], [['a', 0, -1, 0, 0]], [['a', 0, Number.NaN, 0, 0]], [['a', 0, 0, -1, 0]], [['a', 0, 0, 0, Number.POSITIVE_INFINITY]],
  [['a', 0, 0, 0]], [null]
])('malformed use of a quota is ignored: %j', use => {
  expect(decodeHostMessage(withQuotas([QuotaScope.Host, [use, ['a', 1, 100, 2, null]]]))?.quotas?.uses).toEqual([{ account: 'a', used: 1, demandPerS: 1, recent: 2 }])
})

test('a report of a busy host and a part of a digest fit into one datagram', () => {
  const load = Array.from({ length: 60 }, (_, i) => ({ endpointId: `i-${(0x559cb298 + i).toString(16)}10`, requests: 9, tokens: 41_000 }))
  const limits = (count: number): HostMessage['limits'] => Array.from({ length: count }, (_, i) => ({ endpointId: `i-559cb298${10 + i}`, perS: 12.25, ageMs: 40_000, sent: 17 }))
  const digest = { ...MESSAGE, limits: limits(MAX_DIGEST_LIMITS), batches: [], hosts: [], work: { ...MESSAGE.work, scope: WorkScope.Fleet, load } }
  expect(encodeHostMessage(digest).length).toBeLessThan(MTU_BYTES)
  const addresses = Array.from({ length: 195 }, (_, i) => `10.1.${i >> 8}.${i & 0xff}`)
  const uses = Array.from({ length: MAX_ACCOUNT_USES }, (_, i) => ({ account: `account-of-a-customer-${i}`, used: 40_000_000, demandPerS: 400_000, recent: 11_000, level: 0.5 }))
  expect(encodeHostMessage({ ...MESSAGE, limits: limits(MAX_HOST_LIMITS), quotas: { scope: QuotaScope.Host, uses } }).length).toBeLessThan(MTU_BYTES)
  expect(encodeHostMessage({ ...MESSAGE, limits: limits(MAX_HOST_LIMITS), hosts: [{ zone: 'z', addresses, connected: [] }] }).length).toBeLessThan(MTU_BYTES)
})

test('any bytes are either a message or refused, without an exception', () => {
  const message = encodeHostMessage(MESSAGE)
  const truncated = fc.nat(message.length).map(length => message.slice(0, length))
  const changed = fc.tuple(fc.nat(message.length - 1), fc.nat(255)).map(([i, byte]) => Uint8Array.from(message, (old, j) => i === j ? byte : old))
  fc.assert(fc.property(fc.oneof(fc.uint8Array({ maxLength: 200 }), truncated, changed), bytes => {
    const decoded = decodeHostMessage(bytes)
    expect(decoded === undefined || Number.isFinite(decoded.seq)).toBe(true)
  }))
})

test.each([[{}], [[]], ['text'], [[2, ...Array.from({ length: 14 }, () => 0)]], [JSON.stringify(MESSAGE)]])('refuses another format: %j', value => {
  expect(decodeHostMessage(encode(value))).toBeUndefined()
})

test('the work of the fleet without that of this host never gets negative', () => {
  const own = { ...MESSAGE.work, load: [{ endpointId: 'a', requests: 2, tokens: 500 }, { endpointId: 'b', requests: 1, tokens: 70 }] }
  const fleet = { ...MESSAGE.work, load: [{ endpointId: 'a', requests: 5, tokens: 900 }, { endpointId: 'b', requests: 0, tokens: 0 }, { endpointId: 'c', requests: 1, tokens: 9 }] }
  expect(withoutOwn(fleet, own).load).toEqual([{ endpointId: 'a', requests: 3, tokens: 400 }, { endpointId: 'c', requests: 1, tokens: 9 }])
  expect(withoutOwn(fleet, own).demand).toEqual([{ service: 'xara81a', promptRate: 0, kvRate: 0, waitingTokens: 0 }])
})
