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

// Guards against: events whose lines end in CR or CRLF are not found, so that a broken stream is resumed from its start.
test.each([['LF', '\n'], ['CRLF', '\r\n'], ['CR', '\r']])('forwards only complete events with %s line ends for any chunk sizes, and reports the last id', (_name, lineEnd) => {
  fc.assert(fc.property(fc.integer({ min: 1, max: 12 }), fc.array(fc.integer({ min: 1, max: 40 }), { minLength: 1 }), (count, sizes) => {
    const inLines = (text: string): string => text.replaceAll('\n', lineEnd)
    const complete = inLines(Array.from({ length: count }, (_, i) => event(i + 1)).join(''))
    const text = Buffer.from(complete + inLines('id: 99\ndata: to'))
    const assembler = new EventAssembler()
    let forwarded = ''
    let at = 0
    let lastId: string | undefined
    for (let i = 0; at < text.length; i += 1) {
      const next = Math.min(text.length, at + (sizes[i % sizes.length] ?? 1))
      const events = assembler.push(text.subarray(at, next))
      forwarded += events.bytes.toString()
      lastId = events.lastId ?? lastId
      expect(assembler.pendingBytes).toBe(next - forwarded.length)
      expect(lastId).toBe([...forwarded.matchAll(/id: (\d+)/g)].at(-1)?.[1])
      at = next
    }
    expect(forwarded).toBe(complete)
    expect(assembler.insideEvent).toBe(true)
    expect(lastId).toBe(String(count))
  }))
})
