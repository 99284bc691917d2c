import fc from 'fast-check'
import { expect, test } from 'vitest'
import { AccountTable, type ClientAccount } from '../../../index.js'

const account = (name: string, ...keys: string[]): ClientAccount => ({ name, keys })

test('finds accounts by key and by name', () => {
  const table = new AccountTable(1, [account('a', 'k1', 'k2'), account('b', 'k3'), account('none')])
  expect(['k1', 'k2', 'k3', 'k4', '', 'a', undefined].map(key => table.byKey(key)?.name)).toEqual(['a', 'a', 'b', undefined, undefined, undefined, undefined])
  expect(['a', 'none', 'k1'].map(name => table.byName(name)?.name)).toEqual(['a', 'none', undefined])
})

test('a key or a name that is listed twice belongs to the first account, and an empty key to none', () => {
  const table = new AccountTable(1, [account('a', 'k', ''), account('b', 'k'), { ...account('a', 'other'), priority: 3 }])
  expect(table.byKey('k')?.name).toBe('a')
  expect(table.byKey('')).toBeUndefined()
  expect(table.byName('a')?.priority).toBeUndefined()
})

// Hosts differ in their configuration for some time after each change, and forward requests to each other without the key.
test('confirms an account by an older version until one of its keys is removed', () => {
  const first = new AccountTable(1, [account('a', 'k1', 'k2'), account('b', 'k3')])
  const second = new AccountTable(2, [account('a', 'k1', 'k2', 'k4'), account('b', 'k3'), account('c')], first)
  const third = new AccountTable(4, [account('a', 'k1', 'k4'), account('b', 'k3')], second)
  expect([1, 2].map(version => second.confirm('a', version)?.name)).toEqual(['a', 'a'])
  expect(second.confirm('c', 1)).toBeUndefined()
  expect([1, 2, 4].map(version => third.confirm('a', version)?.name)).toEqual([undefined, undefined, 'a'])
  expect([1, 2, 4].map(version => third.confirm('b', version)?.name)).toEqual(['b', 'b', 'b'])
  expect(third.confirm('c', 2)).toBeUndefined()
  expect(third.confirm('b', 3)).toBeUndefined()
})

test('does not confirm an account whose key went to another one', () => {
  const first = new AccountTable(1, [account('a', 'k1'), account('b', 'k2')])
  const second = new AccountTable(2, [account('a'), account('b', 'k2', 'k1')], first)
  expect(second.confirm('a', 1)).toBeUndefined()
  expect(second.confirm('b', 1)?.name).toBe('b')
})

test('confirms no request whose key is gone, over any changes and for hosts that miss versions', () => {
  const keys = fc.uniqueArray(fc.constantFrom('k1', 'k2', 'k3', 'k4'), { maxLength: 4 })
  const changes = fc.array(fc.record({ a: keys, b: keys, seen: fc.boolean() }), { minLength: 1, maxLength: 12 })
  fc.assert(fc.property(changes, steps => {
    const tables = steps.map(({ a, b }, i) => new AccountTable(i + 1, [account('a', ...a), account('b', ...b)]))
    const own = steps.reduce<AccountTable | undefined>((previous, { a, b, seen }, i) => (
      seen || i === steps.length - 1 ? new AccountTable(i + 1, [account('a', ...a), account('b', ...b)], previous) : previous
    ), undefined)
    tables.forEach(table => ['k1', 'k2', 'k3', 'k4'].forEach(key => {
      const name = table.byKey(key)?.name
      if (name !== undefined && own?.confirm(name, table.version) !== undefined) expect(own.byKey(key)?.name).toBe(name)
    }))
  }))
})

test('finds one of 100,000 keys', () => {
  const many = new AccountTable(1, Array.from({ length: 10_000 }, (_, i) => account(`a${i}`, ...Array.from({ length: 10 }, (_, j) => `key-${i}-${j}`))))
  expect(many.byKey('key-9999-9')?.name).toBe('a9999')
  expect(many.size).toBe(10_000)
})
