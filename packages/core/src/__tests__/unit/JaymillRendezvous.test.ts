import { describe, expect, test } from 'vitest'
import { rendezvousOwner } from '../../ownership/JaymillRendezvous.js'

const nodes = (count: number) => Array.from({ length: count }, (_, i) => ({ id: `host-${i}`, weight: 1 }))
const keys = Array.from({ length: 7_000 }, (_, i) => `key-${i}`)

describe('rendezvousOwner', () => {
  test('spreads keys evenly', () => {
    const counts = new Map<string, number>()
    keys.map(key => rendezvousOwner(key, nodes(7))?.id ?? '').forEach(id => counts.set(id, (counts.get(id) ?? 0) + 1))
    expect([...counts.values()].every(count => count > 850 && count < 1_150)).toBe(true)
  })

  test('moves only the keys of a removed node', () => {
    const moved = keys.filter(key => rendezvousOwner(key, nodes(7))?.id !== rendezvousOwner(key, nodes(6))?.id)
    expect(moved.every(key => rendezvousOwner(key, nodes(7))?.id === 'host-6')).toBe(true)
  })

  test('has no owner without candidates', () => {
    expect(rendezvousOwner('key', [])).toBeUndefined()
  })
})
