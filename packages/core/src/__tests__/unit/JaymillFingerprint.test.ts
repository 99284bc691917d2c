import fc from 'fast-check'
import { expect, test } from 'vitest'
import { fingerprintWithBytes } from '../../health/JaymillFingerprint.js'

const FIELDS = ['POST', 'shop.example', '/a/x']

test('a request that comes again has the same fingerprint, and any other byte another one', () => {
  fc.assert(fc.property(fc.nat(200_000), fc.nat(), (size, place) => {
    const body = Buffer.alloc(size + 1, 'x')
    const other = Buffer.from(body)
    other[place % body.length] = 0
    expect(fingerprintWithBytes(FIELDS, Buffer.from(body))).toBe(fingerprintWithBytes(FIELDS, body))
    expect(fingerprintWithBytes(FIELDS, other)).not.toBe(fingerprintWithBytes(FIELDS, body))
  }), { numRuns: 20 })
})

test('a fingerprint has 16 digits, and tells a body from a field', () => {
  expect(fingerprintWithBytes(FIELDS, Buffer.from(''))).toMatch(/^[\da-f]{16}$/)
  expect(fingerprintWithBytes([...FIELDS, 'a'], Buffer.from(''))).not.toBe(fingerprintWithBytes(FIELDS, Buffer.from('a')))
})
