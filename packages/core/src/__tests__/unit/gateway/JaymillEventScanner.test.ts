import fc from 'fast-check'
import { expect, test } from 'vitest'
import { EventScanner } from '../../../index.js'

/** Bytes that decide where events end, in any order, split into chunks. */
const chunks = fc.array(fc.array(fc.constantFrom('d', ':', '\n', '\r'), { maxLength: 6 }).map(parts => parts.join('')), { maxLength: 12 })

/** Determines from a whole text whether it ends inside an event. */
function endsInsideEvent (text: string): boolean {
  const afterLastEvent = text.replaceAll(/\r\n|\r/g, '\n').split('\n\n').at(-1) ?? ''
  return afterLastEvent.replace(/^\n+/, '') !== ''
}

function sizeOfCompleteEvents (text: string): number {
  const sizes = Array.from({ length: text.length + 1 }, (_, size) => size)
  return Math.max(...sizes.filter(size => !endsInsideEvent(text.slice(0, size))))
}

// Guards against: a stream that ends at an event boundary counts as broken off, or one that ends inside an event as complete.
test('knows after each chunk whether the stream ends inside an event, for LF, CR and CRLF in any order', () => {
  fc.assert(fc.property(chunks, parts => {
    const scanner = new EventScanner()
    parts.forEach((part, i) => {
      scanner.scan(Buffer.from(part))
      expect(scanner.insideEvent).toBe(endsInsideEvent(parts.slice(0, i + 1).join('')))
    })
  }), { numRuns: 2_000 })
})

// Guards against: a part of an event is forwarded, or a complete event is held back, because a chunk ends inside a line end.
test('finds the end of the last complete event, for LF, CR and CRLF in any order and any chunk sizes', () => {
  fc.assert(fc.property(chunks, parts => {
    const scanner = new EventScanner()
    const complete = parts.reduce(({ received, complete }, part) => {
      const end = scanner.scan(Buffer.from(part))
      const total = received + part.length
      expect(end > 0 ? received + end : complete).toBe(sizeOfCompleteEvents(parts.join('').slice(0, total)))
      return { received: total, complete: end > 0 ? received + end : complete }
    }, { received: 0, complete: 0 })
    expect(complete.complete).toBe(sizeOfCompleteEvents(parts.join('')))
  }), { numRuns: 2_000 })
})
