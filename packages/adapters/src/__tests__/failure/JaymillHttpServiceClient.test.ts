import { once } from 'node:events'
import { createServer, type AddressInfo, type Socket } from 'node:net'
import { ErrorKind, RanState } from '@jaymill/core'
import { afterEach, beforeEach, describe, expect, test } from 'vitest'
import { HttpServiceClient, ServiceCall } from '../../endpoints/JaymillHttpServiceClient.js'
import { scriptedServer } from './ScriptedServer.js'

let shutdown: AbortController
let client: HttpServiceClient

beforeEach(() => {
  shutdown = new AbortController()
  client = new HttpServiceClient({ signal: shutdown.signal })
})
afterEach(() => shutdown.abort())

const tag = { requestId: 'r1', attempt: 1, hostId: 'h1', incarnation: 1, idempotencyKey: 'k1' }
const bytes = async function * (text: string) { yield Buffer.from(text) }

function call (url: string, overrides: Partial<ServiceCall> = {}): ServiceCall {
  return { url, method: 'POST', path: '/slots', headers: {}, body: bytes('{}'), tag, ...overrides }
}

async function text (body: AsyncIterable<Uint8Array>): Promise<string> {
  const chunks: Uint8Array[] = []
  for await (const chunk of body) chunks.push(chunk)
  return Buffer.concat(chunks).toString()
}

/** Starts an endpoint that answers each request with raw bytes. */
async function rawServer (respond: (socket: Socket) => void): Promise<string> {
  const server = createServer(socket => {
    socket.on('error', () => {})
    socket.once('data', () => respond(socket))
  }).listen(0, '127.0.0.1')
  await once(server, 'listening')
  shutdown.signal.addEventListener('abort', () => server.close())
  return `http://127.0.0.1:${(server.address() as AddressInfo).port}`
}

describe('HttpServiceClient over TCP', () => {
  test('streams both bodies and removes hop-by-hop headers', async () => {
    const { url } = await scriptedServer({
      'POST /slots': (req, res) => {
        expect([req.headers['idempotency-key'], req.headers['x-own'], req.headers['x-hop']]).toEqual(['k1', 'yes', undefined])
        req.pipe(res)
      }
    }, shutdown.signal)
    const headers = { connection: 'x-hop', 'x-hop': '1', 'x-own': 'yes', 'transfer-encoding': 'chunked' }
    const response = await client.send(call(url, { headers, body: bytes('pickup') }), shutdown.signal)
    expect([response.status, await text(response.body)]).toEqual([200, 'pickup'])
  })

  test('reports a refused connection as not run and a connection lost after the request as unknown', async () => {
    let calls = 0
    const server = createServer(socket => {
      calls += 1
      socket.once('data', () => socket.destroy())
    }).listen(0, '127.0.0.1')
    await once(server, 'listening')
    const { port } = server.address() as { port: number }
    const url = `http://127.0.0.1:${port}`
    await expect(client.send(call(url), shutdown.signal))
      .rejects.toMatchObject({ kind: ErrorKind.EndpointFailed, ran: RanState.Unknown })
    expect(calls).toBe(1)
    server.close()
    await once(server, 'close')
    await expect(client.send(call(url), shutdown.signal))
      .rejects.toMatchObject({ kind: ErrorKind.EndpointRefused, ran: RanState.No })
  })

  test('reports a response that breaks off in its body as unknown', async () => {
    const { url } = await scriptedServer({
      'POST /slots': (_, res) => {
        res.writeHead(200, { 'content-length': '10' })
        res.write('half', () => res.destroy())
      }
    }, shutdown.signal)
    const response = await client.send(call(url), shutdown.signal)
    await expect(text(response.body)).rejects.toMatchObject({ ran: RanState.Unknown })
  })

  // Guards against: a truncated body looks complete, since libuv reports a reset that arrives with the last bytes as a regular end.
  test('reports a body without a length and without chunks as broken when a reset arrives together with its bytes', async () => {
    const url = await rawServer(socket => {
      socket.write('HTTP/1.1 200 OK\r\n\r\nhalf')
      socket.resetAndDestroy()
    })
    const { body } = await client.send(call(url), shutdown.signal)
    await expect(text(body)).rejects.toMatchObject({ ran: RanState.Unknown })
  })

  // Guards against: undici reports a body without framing as complete when its connection is reset.
  test('reports a body without a length and without chunks as broken when its connection is reset', async () => {
    let endpointSocket: Socket | undefined
    const url = await rawServer(socket => {
      endpointSocket = socket
      socket.write('HTTP/1.1 200 OK\r\n\r\nhalf')
    })
    const { body } = await client.send(call(url), shutdown.signal)
    const read = async (): Promise<void> => {
      for await (const chunk of body) if (chunk.length > 0) endpointSocket?.resetAndDestroy()
    }
    await expect(read()).rejects.toMatchObject({ kind: ErrorKind.EndpointFailed, ran: RanState.Unknown })
  })

  // Guards against: a body that may be truncated counts as complete, or a response that has no body as one that may be.
  test.each([
    ['without framing', 'POST', 'HTTP/1.1 200 OK\r\n\r\nwhole', true],
    ['without framing over HTTP/1.0', 'POST', 'HTTP/1.0 200 OK\r\n\r\nwhole', true],
    ['with a length', 'POST', 'HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwhole', false],
    ['with chunks', 'POST', 'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n0\r\n\r\n', false],
    ['with length 0', 'POST', 'HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n', false],
    ['with status 204', 'POST', 'HTTP/1.1 204 No Content\r\n\r\n', false],
    ['with status 304', 'GET', 'HTTP/1.1 304 Not Modified\r\n\r\n', false],
    ['to HEAD', 'HEAD', 'HTTP/1.1 200 OK\r\n\r\n', false]
  ])('knows whether the end of a response %s is only that of its connection', async (_name, method, bytes, closeDelimited) => {
    const url = await rawServer(socket => socket.end(bytes))
    const response = await client.send(call(url, { method, body: null }), shutdown.signal)
    expect(response.closeDelimited).toBe(closeDelimited)
    expect(await text(response.body)).toBe(bytes.includes('whole') ? 'whole' : '')
  })
})
