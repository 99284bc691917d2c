import { expect, test } from 'vitest'
import { EventPassThrough } from '../../../index.js'

// Guards against: the events of a stream that cannot be resumed are held back until they are complete.
test('forwards bytes as they arrive, and knows whether they end inside an event', () => {
  const events = new EventPassThrough()
  expect(events.insideEvent).toBe(false)
  expect(events.push(Buffer.from('id: 1\nda')).bytes.toString()).toBe('id: 1\nda')
  expect(events.insideEvent).toBe(true)
  expect(events.push(Buffer.from('ta: x\n\n')).bytes.toString()).toBe('ta: x\n\n')
  expect(events.insideEvent).toBe(false)
  expect(events.pendingBytes).toBe(0)
  expect(events.end()).toHaveLength(0)
})
