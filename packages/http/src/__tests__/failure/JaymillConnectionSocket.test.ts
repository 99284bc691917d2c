import { once } from 'node:events'
import { createServer, type AddressInfo, type Server, type Socket } from 'node:net'
import { setTimeout as sleep } from 'node:timers/promises'
import { Client } from 'undici'
import { afterEach, expect, test } from 'vitest'
import { createConnector } from '../../index.js'

const CONNECT_TIMEOUT_MS = 400
/** Small enough that bodies are paused while their connections still receive. */
const BODY_BUFFER_BYTES = 16_384
const PIECE = 'x'.repeat(1_000)

const servers: Server[] = []

afterEach(() => { servers.splice(0).forEach(server => server.close()) })

/** Writes a body of a number of pieces. */
type Framing = (pieces: number) => string

const byConnection: Framing = pieces => `\r\n${PIECE.repeat(pieces)}`
const byLength: Framing = pieces => `Content-Length: ${PIECE.length * pieces}\r\n\r\n${PIECE.repeat(pieces)}`
const byLastChunk: Framing = pieces => `Transfer-Encoding: chunked\r\n\r\n${`3e8\r\n${PIECE}\r\n`.repeat(pieces)}0\r\n\r\n`

const FRAMINGS: ReadonlyArray<[string, Framing]> = [['its connection', byConnection], ['its length', byLength], ['its last chunk', byLastChunk]]

const SIZES = [10, 20, 40, 64, 100, 130, 200, 500]

/** Starts a server that sends one response and ends its connection in some way. */
async function serve (response: string, end: (socket: Socket) => void): Promise<string> {
  const server = createServer(socket => {
    socket.on('error', () => {})
    socket.once('data', () => socket.write(`HTTP/1.1 200 OK\r\nConnection: close\r\n${response}`, () => end(socket)))
  })
  servers.push(server)
  server.listen(0, '127.0.0.1')
  await once(server, 'listening')
  return `http://127.0.0.1:${(server.address() as AddressInfo).port}`
}

/** Reads the body of a response, with a pause before each piece. Returns its size, or why it failed. */
async function readSlowly (origin: string, pauseMs: number): Promise<number | string> {
  const client = new Client(origin, { connect: createConnector(CONNECT_TIMEOUT_MS) })
  const { body } = await client.request({ method: 'GET', path: '/', highWaterMark: BODY_BUFFER_BYTES })
  try {
    let size = 0
    for await (const chunk of body as AsyncIterable<Buffer>) {
      size += chunk.length
      await sleep(pauseMs)
    }
    return size
  } catch (err) {
    return (err as Error).message
  } finally {
    await client.destroy()
  }
}

// Guards against: a response ends its connection while its body is paused, and a failed assertion of the HTTP client ends the process.
test.each(FRAMINGS)('a body that ends with %s is complete for a reader that is slower than its endpoint', async (_name, framing) => {
  const sizes = await Promise.all(SIZES.map(async pieces => await readSlowly(await serve(framing(pieces), socket => socket.end()), 5)))
  expect(sizes).toEqual(SIZES.map(pieces => pieces * PIECE.length))
})

// As above for a reset: one that comes while the body is paused.
test.each(SIZES)('a body of %i pieces without a length is broken when its connection is reset while it is paused', async pieces => {
  const origin = await serve(byConnection(pieces), socket => { setTimeout(() => socket.resetAndDestroy(), 20) })
  expect(await readSlowly(origin, 50)).toMatch(/reset|ECONNRESET/i)
})

// Guards against: bytes that have arrived are dropped when a reset follows, so that a complete body counts as broken.
test.each(FRAMINGS.slice(1))('a body that ends with %s is complete for a slow reader when a reset follows it', async (_name, framing) => {
  const origin = await serve(framing(60), socket => { setTimeout(() => socket.resetAndDestroy(), 20) })
  expect(await readSlowly(origin, 50)).toBe(60 * PIECE.length)
})

// Guards against: a connection that its peer closes while no response is expected counts as usable.
test('a connection that is closed while it is idle is not used again', async () => {
  const origin = await serve('Connection: keep-alive\r\nContent-Length: 0\r\n\r\n', socket => { setTimeout(() => socket.end(), 20) })
  const client = new Client(origin, { connect: createConnector(CONNECT_TIMEOUT_MS) })
  const disconnected = once(client, 'disconnect')
  await (await client.request({ method: 'GET', path: '/' })).body.dump()
  await disconnected
  expect((await client.request({ method: 'GET', path: '/' })).statusCode).toBe(200)
  await client.destroy()
})

// Guards against: a body that arrives while the request is still being sent in pieces is taken for the head of a further response.
test('a body that arrives during an upload is not checked as a head', async () => {
  const server = createServer(socket => {
    socket.on('error', () => {})
    socket.once('data', () => {
      socket.write('HTTP/1.1 200 OK\r\nContent-Length: 12\r\n\r\nHTTP/2.0')
      setTimeout(() => socket.write(' 999'), 60)
    })
  })
  servers.push(server)
  server.listen(0, '127.0.0.1')
  await once(server, 'listening')
  const client = new Client(`http://127.0.0.1:${(server.address() as AddressInfo).port}`, { connect: createConnector(CONNECT_TIMEOUT_MS) })
  const upload = async function * (): AsyncGenerator<string> {
    yield PIECE
    await sleep(30)
    yield PIECE
  }
  const { statusCode, body } = await client.request({ method: 'POST', path: '/', body: upload() as unknown as Buffer })
  expect(statusCode).toBe(200)
  expect(await body.text()).toBe('HTTP/2.0 999')
  await client.destroy()
})
