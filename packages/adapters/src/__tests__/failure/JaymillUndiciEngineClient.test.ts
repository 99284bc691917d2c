import { ErrorKind, RanState, RequestError, TokenEvent } from '@jaymill/core'
import { afterEach, beforeEach, describe, expect, test } from 'vitest'
import { UndiciEngineClient } from '../../endpoints/JaymillUndiciEngineClient.js'
import { engineCall, event, scriptedServer } from './ScriptedServer.js'

const DECODE = 'POST /v1/completions'
const STREAM = 'GET /v1/requests/r1/stream'
const CANCEL = 'DELETE /v1/requests/r1'

let shutdown: AbortController
let client: UndiciEngineClient

beforeEach(() => {
  shutdown = new AbortController()
  client = new UndiciEngineClient({ signal: shutdown.signal, timeouts: { firstTokenMs: 300, interTokenMs: 100 } })
})
afterEach(() => shutdown.abort())

async function read (tokens: AsyncIterable<TokenEvent>): Promise<{ text: string, err?: RequestError }> {
  let text = ''
  try {
    for await (const token of tokens) text += token.text
    return { text }
  } catch (err) {
    return { text, err: err as RequestError }
  }
}

describe('UndiciEngineClient over TCP', () => {
  test('distinguishes a stalled connection from a failed endpoint and resumes on a new connection', async () => {
    const { url, seen } = await scriptedServer({
      [DECODE]: (_, res) => { res.write(event(1, 'grind ') + event(2, 'the ')) },
      [STREAM]: (req, res) => { res.end(event(Number(req.headers['last-event-id']) + 1, 'front', 'stop') + 'data: [DONE]\n\n') },
      'GET /health': (_, res) => { res.end('{}') }
    }, shutdown.signal)
    const first = await read(client.decode(engineCall(url), null, shutdown.signal))
    expect([first.text, first.err?.kind]).toEqual(['grind the ', ErrorKind.Stalled])
    expect(await client.probe(url, shutdown.signal)).toBe(true)
    expect(await read(client.resume(engineCall(url), 2, shutdown.signal))).toEqual({ text: 'front' })
    await client.settled()
    expect(seen).not.toContain(CANCEL)
  })

  test('an endpoint that fails during a stream breaks the stream and fails the probe', async () => {
    const server = new AbortController()
    const { url } = await scriptedServer({ [DECODE]: (_, res) => { res.write(event(1, 'a')) } }, server.signal)
    const tokens = client.decode(
      engineCall(url, { timeouts: { firstTokenMs: 5_000, interTokenMs: 5_000 } }), null, shutdown.signal
    )
    const seen: string[] = []
    const run = (async () => {
      for await (const token of tokens) {
        seen.push(token.text)
        server.abort()
      }
    })()
    await expect(run).rejects.toMatchObject({ kind: ErrorKind.EndpointFailed, ran: RanState.Unknown })
    expect(seen).toEqual(['a'])
    expect(await client.probe(url, shutdown.signal)).toBe(false)
    const again = await read(client.decode(engineCall(url), null, shutdown.signal))
    expect(again.err).toMatchObject({ kind: ErrorKind.EndpointRefused, ran: RanState.No })
  })

  test('comments do not count as progress', async () => {
    const { url } = await scriptedServer({
      [DECODE]: (_, res) => {
        const keepAlive = setInterval(() => res.write(': alive\n\n'), 10)
        res.on('close', () => clearInterval(keepAlive))
      }
    }, shutdown.signal)
    const { err } = await read(client.decode(engineCall(url), null, shutdown.signal))
    expect(err?.kind).toBe(ErrorKind.Stalled)
  })

  test.each(['prefill', 'decode'])('cancels the request and frees engine memory if the caller disconnects during %s', async role => {
    let activeRequests = 0
    const caller = new AbortController()
    const { url } = await scriptedServer({
      [DECODE]: (_, res) => {
        activeRequests += 1
        if (role === 'decode') res.write(event(1, 'a'))
        else caller.abort()
      },
      [CANCEL]: (req, res) => {
        expect(req.headers['x-jaymill-attempt']).toBe('1')
        activeRequests -= 1
        res.end('{}')
      }
    }, shutdown.signal)
    const run = role === 'prefill'
      ? client.prefill(engineCall(url), caller.signal)
      : (async () => {
          for await (const { id } of client.decode(engineCall(url), null, caller.signal)) if (id === 1) caller.abort()
        })()
    await expect(run).rejects.toMatchObject({ kind: ErrorKind.CallerGone })
    await client.settled()
    expect(activeRequests).toBe(0)
  })

  test('a cancellation is retried until the endpoint accepts it', async () => {
    const statuses = [503, 503, 200]
    const { url } = await scriptedServer({
      [DECODE]: (_, res) => { res.write(event(1, 'a')) },
      [CANCEL]: (_, res) => { res.writeHead(statuses.shift() ?? 500).end() }
    }, shutdown.signal)
    for await (const { id } of client.decode(engineCall(url), null, shutdown.signal)) if (id === 1) break
    await client.settled()
    expect(statuses).toEqual([])
  })

  test('a call to an overloaded engine is reported as not run', async () => {
    const { url } = await scriptedServer({
      [DECODE]: (_, res) => { res.writeHead(429, { 'retry-after': '2' }).end() }
    }, shutdown.signal)
    await expect(client.prefill(engineCall(url), shutdown.signal))
      .rejects.toMatchObject({ kind: ErrorKind.EndpointRefused, ran: RanState.No, retryAfterMs: 2_000 })
  })
})
