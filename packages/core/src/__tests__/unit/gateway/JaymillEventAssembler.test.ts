import fc from 'fast-check'
import { expect, test } from 'vitest'
import { EventAssembler } from '../../../index.js'

const event = (id: number): string => `id: ${id}\ndata: token ${id}\n\n`

test('forwards only complete events for any chunk sizes, and reports the last id', () => {
  fc.assert(fc.property(fc.integer({ min: 1, max: 12 }), fc.array(fc.integer({ min: 1, max: 40 }), { minLength: 1 }), (count, sizes) => {
    const text = Buffer.from(Array.from({ length: count }, (_, i) => event(i + 1)).join(''))
    const assembler = new EventAssembler()
    const forwarded: Buffer[] = []
    let at = 0
    let lastId: string | undefined
    for (let i = 0; at < text.length; i += 1) {
      const next = Math.min(text.length, at + (sizes[i % sizes.length] ?? 1))
      const complete = assembler.push(text.subarray(at, next))
      forwarded.push(complete.bytes)
      lastId = complete.lastId ?? lastId
      const joined = Buffer.concat(forwarded).toString()
      expect(joined === '' || joined.endsWith('\n\n')).toBe(true)
      expect(lastId).toBe(joined === '' ? undefined : [...joined.matchAll(/id: (\d+)/g)].at(-1)?.[1])
      at = next
    }
    expect(Buffer.concat(forwarded)).toEqual(text)
    expect(assembler.pendingBytes).toBe(0)
  }))
})

test('holds back an incomplete event', () => {
  const assembler = new EventAssembler()
  expect(assembler.push(Buffer.from(`${event(1)}id: 2\ndata: to`))).toEqual({ bytes: Buffer.from(event(1)), lastId: '1' })
  expect(assembler.pendingBytes).toBe('id: 2\ndata: to'.length)
  expect(assembler.end().toString()).toBe('id: 2\ndata: to')
})
