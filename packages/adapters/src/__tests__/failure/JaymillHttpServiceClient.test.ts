import { once } from 'node:events'
import { createServer } from 'node:net'
import { ErrorKind, RanState } from '@jaymill/core'
import { afterEach, beforeEach, describe, expect, test } from 'vitest'
import { HttpServiceClient, ServiceCall } from '../../endpoints/JaymillHttpServiceClient.js'
import { scriptedServer } from './ScriptedServer.js'

let owner: AbortController
let client: HttpServiceClient

beforeEach(() => {
  owner = new AbortController()
  client = new HttpServiceClient({ signal: owner.signal })
})
afterEach(() => owner.abort())

const tag = { requestId: 'r1', attempt: 1, hostId: 'h1', incarnation: 1, idempotencyKey: 'k1' }
const bytes = async function * (text: string) { yield Buffer.from(text) }

function call (url: string, part: Partial<ServiceCall> = {}): ServiceCall {
  return { url, method: 'POST', path: '/slots', headers: {}, body: bytes('{}'), tag, ...part }
}

async function text (body: AsyncIterable<Uint8Array>): Promise<string> {
  const chunks: Uint8Array[] = []
  for await (const chunk of body) chunks.push(chunk)
  return Buffer.concat(chunks).toString()
}

describe('HttpServiceClient over TCP', () => {
  test('streams both bodies and keeps connection headers to one hop', async () => {
    const { url } = await scriptedServer({
      'POST /slots': (req, res) => {
        expect([req.headers['idempotency-key'], req.headers['x-own'], req.headers['x-hop']]).toEqual(['k1', 'yes', undefined])
        req.pipe(res)
      }
    }, owner.signal)
    const headers = { connection: 'x-hop', 'x-hop': '1', 'x-own': 'yes', 'transfer-encoding': 'chunked' }
    const answer = await client.send(call(url, { headers, body: bytes('pickup') }), owner.signal)
    expect([answer.status, await text(answer.body)]).toEqual([200, 'pickup'])
  })

  test('a refused connection is "not run", a connection lost after the request is "unknown"', async () => {
    let calls = 0
    const server = createServer(socket => {
      calls += 1
      socket.once('data', () => socket.destroy())
    }).listen(0, '127.0.0.1')
    await once(server, 'listening')
    const { port } = server.address() as { port: number }
    const url = `http://127.0.0.1:${port}`
    await expect(client.send(call(url), owner.signal)).rejects.toMatchObject({ kind: ErrorKind.EndpointFailed, ran: RanState.Unknown })
    expect(calls).toBe(1)
    server.close()
    await once(server, 'close')
    await expect(client.send(call(url), owner.signal)).rejects.toMatchObject({ kind: ErrorKind.EndpointRefused, ran: RanState.No })
  })

  test('an answer that breaks in its body is "unknown"', async () => {
    const { url } = await scriptedServer({
      'POST /slots': (_, res) => {
        res.writeHead(200, { 'content-length': '10' })
        res.write('half', () => res.destroy())
      }
    }, owner.signal)
    const answer = await client.send(call(url), owner.signal)
    await expect(text(answer.body)).rejects.toMatchObject({ ran: RanState.Unknown })
  })
})
