import fc from 'fast-check'
import { expect, test } from 'vitest'
import { EventAssembler } from '../../../index.js'

const event = (id: number): string => `id: ${id}\ndata: token ${id}\n\n`

test('passes only whole events on, whatever the pieces are, and knows the last id', () => {
  fc.assert(fc.property(fc.integer({ min: 1, max: 12 }), fc.array(fc.integer({ min: 1, max: 40 }), { minLength: 1 }), (count, sizes) => {
    const text = Buffer.from(Array.from({ length: count }, (_, i) => event(i + 1)).join(''))
    const assembler = new EventAssembler()
    const passed: Buffer[] = []
    let at = 0
    let lastId: string | undefined
    for (let i = 0; at < text.length; i += 1) {
      const next = Math.min(text.length, at + (sizes[i % sizes.length] ?? 1))
      const whole = assembler.push(text.subarray(at, next))
      passed.push(whole.bytes)
      lastId = whole.lastId ?? lastId
      const sofar = Buffer.concat(passed).toString()
      expect(sofar === '' || sofar.endsWith('\n\n')).toBe(true)
      expect(lastId).toBe(sofar === '' ? undefined : [...sofar.matchAll(/id: (\d+)/g)].at(-1)?.[1])
      at = next
    }
    expect(Buffer.concat(passed)).toEqual(text)
    expect(assembler.pendingBytes).toBe(0)
  }))
})

test('keeps a broken event back', () => {
  const assembler = new EventAssembler()
  expect(assembler.push(Buffer.from(`${event(1)}id: 2\ndata: to`))).toEqual({ bytes: Buffer.from(event(1)), lastId: '1' })
  expect(assembler.pendingBytes).toBe('id: 2\ndata: to'.length)
  expect(assembler.end().toString()).toBe('id: 2\ndata: to')
})
