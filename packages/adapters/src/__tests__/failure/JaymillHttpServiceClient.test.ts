import { once } from 'node:events'
import { createServer } from 'node:net'
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
})
