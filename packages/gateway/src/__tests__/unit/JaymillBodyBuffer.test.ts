import fc from 'fast-check'
import { expect, test } from 'vitest'
import { BodyBuffer } from '../../callers/JaymillBodyBuffer.js'
import { BufferCollector } from '../../callers/JaymillBufferCollector.js'

const MAX_BYTES = 300_000
const part = fc.uint8Array({ maxLength: 3_000 })

test('a body of any parts is the parts in sequence, in memory of about its size', () => {
  fc.assert(fc.property(fc.array(part, { maxLength: 60 }), parts => {
    const body = new BodyBuffer(MAX_BYTES)
    const grown = parts.map(bytes => body.append(Buffer.from(bytes))).reduce((sum, bytes) => sum + bytes, 0)
    expect(body.bytes.equals(Buffer.concat(parts))).toBe(true)
    expect(grown).toBe(body.capacity)
    expect(body.capacity).toBeLessThanOrEqual(Math.max(1_024, 2 * body.size, body.size + 65_536))
  }))
})

test('a body may have exactly its maximum size', () => {
  const body = new BodyBuffer(MAX_BYTES)
  body.append(Buffer.alloc(MAX_BYTES, 'x'))
  expect(body.bytes.length).toBe(MAX_BYTES)
  expect(body.capacity).toBe(MAX_BYTES)
})

// Guards against: a call that still sends a body, since its endpoint has responded early, sends other bytes or breaks off.
test('a released body takes no memory, and a call that still sends it keeps its bytes', () => {
  const body = new BodyBuffer(MAX_BYTES)
  body.append(Buffer.alloc(MAX_BYTES, 'x'))
  const { bytes } = body
  body.release()
  expect([body.capacity, body.bytes.length]).toEqual([0, 0])
  expect(bytes.equals(Buffer.alloc(MAX_BYTES, 'x'))).toBe(true)
})

// Load: large bodies in quick succession.
test('unused buffers are freed above their limit, young ones first', () => {
  const sizes = [50_000_000, 9_000_000, 50_000_000, 30_000_000, 5_000_000]
  const runs: string[] = []
  const collector = new BufferCollector(10_000_000, options => { runs.push(options?.type ?? 'major') }, () => sizes.shift() ?? 0)
  collector.note(1_000, 0)
  expect(runs).toEqual([])
  collector.note(5_000_000, 0)
  expect(runs).toEqual(['minor'])
  collector.note(5_000_000, 5_000_000)
  expect(runs).toEqual(['minor', 'minor', 'major'])
  collector.note(5_000_000, 0)
  expect(runs).toHaveLength(3)
})
