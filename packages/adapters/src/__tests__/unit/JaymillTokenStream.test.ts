import { RequestError, TokenEvent } from '@jaymill/core'
import fc from 'fast-check'
import { expect, test } from 'vitest'
import { MAX_EVENT_BYTES } from '../../endpoints/constants.js'
import { TokenStream } from '../../endpoints/JaymillTokenStream.js'

const encode = (tokens: readonly TokenEvent[]): Uint8Array => Buffer.from(tokens.map(({ id, text, finishReason }) =>
  `: beat\nid: ${id}\ndata: ${JSON.stringify({ choices: [{ text, finish_reason: finishReason }] })}\n\n`
).join('') + 'data: [DONE]\n\n')

test('parses tokens regardless of how the bytes are split', () => {
  const texts = fc.array(fc.string({ unit: 'grapheme' }), { minLength: 1, maxLength: 12 })
  fc.assert(fc.property(texts, fc.array(fc.nat(400), { maxLength: 20 }), (tokenTexts, cuts) => {
    const tokens = tokenTexts.map((text, i) => ({ id: i + 1, text, finishReason: i + 1 === tokenTexts.length ? 'stop' : null }))
    const bytes = encode(tokens)
    const edges = [0, ...cuts.map(cut => Math.min(cut, bytes.length)).sort((a, b) => a - b), bytes.length]
    const stream = new TokenStream(0)
    const seen = edges.slice(1).flatMap((edge, i) => stream.push(bytes.subarray(edges[i], edge)))
    expect(seen).toEqual(tokens)
    expect(stream.done).toBe(true)
  }), { seed: 11, numRuns: 300 })
})

test('arbitrary bytes give a typed failure or no token', () => {
  const field = fc.tuple(fc.constantFrom('id', 'data', 'event', 'retry', ''), fc.string())
    .map(([name, value]) => `${name}: ${value}\n`)
  const noise = fc.oneof(
    fc.uint8Array({ maxLength: 200 }),
    fc.array(fc.oneof(field, fc.constant('\n'))).map(lines => Buffer.from(lines.join('')))
  )
  fc.assert(fc.property(noise, bytes => {
    try {
      expect(new TokenStream(0).push(bytes)).toEqual([])
    } catch (err) {
      expect(err).toBeInstanceOf(RequestError)
    }
  }), { seed: 12, numRuns: 500 })
})

test('an event beyond the size limit fails the stream', () => {
  const stream = new TokenStream(0)
  const chunk = Buffer.from('data: ' + 'x'.repeat(MAX_EVENT_BYTES))
  expect(() => [chunk, chunk].forEach(part => stream.push(part))).toThrow(RequestError)
})
