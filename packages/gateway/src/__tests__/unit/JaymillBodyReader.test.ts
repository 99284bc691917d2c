import type { IncomingMessage } from 'node:http'
import type { Socket } from 'node:net'
import { PassThrough } from 'node:stream'
import { beforeEach, expect, test, vi } from 'vitest'
import { ErrorKind, HeldBytes, RanState, RequestError } from '@jaymill/core'
import { BodyBuffer } from '../../callers/JaymillBodyBuffer.js'
import { readBody } from '../../callers/JaymillBodyReader.js'
import { ConnectionMemory } from '../../callers/JaymillConnectionMemory.js'

const MAX_BYTES = 100_000

let held: Record<HeldBytes, number>
let memory: ConnectionMemory
let destroyed: boolean
const abort = (): RequestError => new RequestError(ErrorKind.RequestTimeout, 'late')

beforeEach(() => {
  held = { [HeldBytes.Unfinished]: 0, [HeldBytes.Whole]: 0, [HeldBytes.Unread]: 0 }
  destroyed = false
  const socket = { bytesRead: 0, destroy: () => { destroyed = true } } as unknown as Socket
  memory = new ConnectionMemory(socket, (_connection, kind, bytes) => { held[kind] += bytes }, (_connection, bytes) => {
    held[HeldBytes.Unfinished] -= bytes
    held[HeldBytes.Whole] += bytes
  })
})

function chunkedRequest (): PassThrough & IncomingMessage {
  return Object.assign(new PassThrough(), { headers: { 'transfer-encoding': 'chunked' } }) as unknown as PassThrough & IncomingMessage
}

const read = (req: IncomingMessage, signal = new AbortController().signal): ReturnType<typeof readBody> =>
  readBody(req, { maxBytes: MAX_BYTES, memory, signal, aborted: abort })

test('a body counts until it is released', async () => {
  const req = chunkedRequest()
  const body = read(req)
  req.write(Buffer.alloc(50_000, 'x'))
  req.end(Buffer.alloc(50_000, 'y'))
  const whole = await body
  expect(whole?.bytes.toString()).toBe('x'.repeat(50_000) + 'y'.repeat(50_000))
  expect(held).toEqual({ unfinished: 0, whole: 100_000, unread: 0 })
})

// Load: bodies over the limit that go on after the refusal.
test('nothing of a body that is too large is held or read on', async () => {
  const req = chunkedRequest()
  const body = read(req)
  req.write(Buffer.alloc(60_000))
  req.write(Buffer.alloc(60_000))
  await expect(body).rejects.toMatchObject({ kind: ErrorKind.TooLarge })
  expect(held).toEqual({ unfinished: 0, whole: 0, unread: 0 })
  expect(req.isPaused()).toBe(true)
})

test('a body that must make room is refused as not run, and not held', async () => {
  const req = chunkedRequest()
  const body = read(req)
  req.write(Buffer.alloc(60_000))
  await new Promise(resolve => setImmediate(resolve))
  expect(held.unfinished).toBeGreaterThan(59_999)
  memory.evict()
  await expect(body).rejects.toMatchObject({ kind: ErrorKind.Overloaded, status: 503, retryAfterMs: 1_000 })
  expect([held.unfinished, destroyed]).toEqual([0, false])
})

test('a connection without an arriving body, or with unread responses, is closed', async () => {
  memory.addUnread(1)
  const body = read(chunkedRequest()).catch(() => {})
  memory.evict()
  expect(destroyed).toBe(true)
  memory.arrival?.refuse(abort())
  await body
})

test('a body that waits is read on', async () => {
  const req = chunkedRequest()
  const body = read(req)
  memory.pause()
  req.end('late')
  await new Promise(resolve => setImmediate(resolve))
  expect(held.unfinished).toBe(0)
  memory.resume()
  expect((await body)?.bytes.toString()).toBe('late')
})

test('a body that does not arrive in time is not held', async () => {
  const controller = new AbortController()
  const req = chunkedRequest()
  const body = read(req, controller.signal)
  req.write('part')
  await new Promise(resolve => setImmediate(resolve))
  controller.abort()
  await expect(body).rejects.toMatchObject({ kind: ErrorKind.RequestTimeout })
  expect(held.unfinished).toBe(0)
})

// Guards against: the end of a body takes away the arrival of the next one, which then can be neither paused nor refused.
test('the end of a body leaves the next one on its connection alone', async () => {
  const first = chunkedRequest()
  const second = chunkedRequest()
  const bodies = [read(first), read(second)]
  first.end('first')
  await bodies[0]
  expect(memory.arrival).toBeDefined()
  second.end('second')
  await bodies[1]
  expect(memory.arrival).toBeUndefined()
})

// Guards against: a failed allocation is thrown in a listener of the connection, which ends the process.
test('a body for which the system has no memory is refused as not run', async () => {
  const allocate = vi.spyOn(BodyBuffer.prototype, 'append').mockImplementation(() => { throw new RangeError('Array buffer allocation failed') })
  const req = chunkedRequest()
  const body = read(req)
  req.write('part')
  await expect(body).rejects.toMatchObject({ kind: ErrorKind.Overloaded, status: 503, ran: RanState.No })
  allocate.mockRestore()
  expect(held.unfinished).toBe(0)
})
