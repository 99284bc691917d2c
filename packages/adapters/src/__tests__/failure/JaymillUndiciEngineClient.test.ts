import { ErrorKind, RanState, RequestError, TokenEvent } from '@jaymill/core'
import { afterEach, beforeEach, describe, expect, test } from 'vitest'
import { UndiciEngineClient } from '../../endpoints/JaymillUndiciEngineClient.js'
import { engineCall, event, scriptedServer } from './ScriptedServer.js'

const DECODE = 'POST /v1/completions'
const STREAM = 'GET /v1/requests/r1/stream'
const CANCEL = 'DELETE /v1/requests/r1'

let owner: AbortController
let client: UndiciEngineClient

beforeEach(() => {
  owner = new AbortController()
  client = new UndiciEngineClient({ signal: owner.signal, pace: { firstTokenMs: 300, interTokenMs: 100 } })
})
afterEach(() => owner.abort())

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
  test('a connection that goes silent is told from a dead endpoint and resumes on a new one', async () => {
    const { url, seen } = await scriptedServer({
      [DECODE]: (_, res) => { res.write(event(1, 'grind ') + event(2, 'the ')) },
      [STREAM]: (req, res) => { res.end(event(Number(req.headers['last-event-id']) + 1, 'front', 'stop') + 'data: [DONE]\n\n') },
      'GET /health': (_, res) => { res.end('{}') }
    }, owner.signal)
    const first = await read(client.decode(engineCall(url), null, owner.signal))
    expect([first.text, first.err?.kind]).toEqual(['grind the ', ErrorKind.Stalled])
    expect(await client.probe(url, owner.signal)).toBe(true)
    expect(await read(client.resume(engineCall(url), 2, owner.signal))).toEqual({ text: 'front' })
    await client.settled()
    expect(seen).not.toContain(CANCEL)
  })

  test('an endpoint that dies in mid-stream breaks the stream and fails the probe', async () => {
    const server = new AbortController()
    const { url } = await scriptedServer({ [DECODE]: (_, res) => { res.write(event(1, 'a')) } }, server.signal)
    const tokens = client.decode(engineCall(url, { pace: { firstTokenMs: 5_000, interTokenMs: 5_000 } }), null, owner.signal)
    const seen: string[] = []
    const run = (async () => {
      for await (const token of tokens) {
        seen.push(token.text)
        server.abort()
      }
    })()
    await expect(run).rejects.toMatchObject({ kind: ErrorKind.EndpointFailed, ran: RanState.Unknown })
    expect(seen).toEqual(['a'])
    expect(await client.probe(url, owner.signal)).toBe(false)
    const again = await read(client.decode(engineCall(url), null, owner.signal))
    expect(again.err).toMatchObject({ kind: ErrorKind.EndpointRefused, ran: RanState.No })
  })

  test('comments do not count as progress', async () => {
    const { url } = await scriptedServer({
      [DECODE]: (_, res) => {
        const beat = setInterval(() => res.write(': alive\n\n'), 10)
        res.on('close', () => clearInterval(beat))
      }
    }, owner.signal)
    const { err } = await read(client.decode(engineCall(url), null, owner.signal))
    expect(err?.kind).toBe(ErrorKind.Stalled)
  })

  test.each(['prefill', 'decode'])('a caller who leaves during %s has its engine memory freed', async stage => {
    let held = 0
    const caller = new AbortController()
    const { url } = await scriptedServer({
      [DECODE]: (_, res) => {
        held += 1
        if (stage === 'decode') res.write(event(1, 'a'))
        else caller.abort()
      },
      [CANCEL]: (req, res) => {
        expect(req.headers['x-jaymill-attempt']).toBe('1')
        held -= 1
        res.end('{}')
      }
    }, owner.signal)
    const run = stage === 'prefill'
      ? client.prefill(engineCall(url), caller.signal)
      : (async () => { for await (const { id } of client.decode(engineCall(url), null, caller.signal)) if (id === 1) caller.abort() })()
    await expect(run).rejects.toMatchObject({ kind: ErrorKind.CallerGone })
    await client.settled()
    expect(held).toBe(0)
  })

  test('a cancel is repeated until the endpoint takes it', async () => {
    const answers = [503, 503, 200]
    const { url } = await scriptedServer({
      [DECODE]: (_, res) => { res.write(event(1, 'a')) },
      [CANCEL]: (_, res) => { res.writeHead(answers.shift() ?? 500).end() }
    }, owner.signal)
    for await (const { id } of client.decode(engineCall(url), null, owner.signal)) if (id === 1) break
    await client.settled()
    expect(answers).toEqual([])
  })

  test('a full engine has not run the call', async () => {
    const { url } = await scriptedServer({ [DECODE]: (_, res) => { res.writeHead(429, { 'retry-after': '2' }).end() } }, owner.signal)
    await expect(client.prefill(engineCall(url), owner.signal))
      .rejects.toMatchObject({ kind: ErrorKind.EndpointRefused, ran: RanState.No, retryAfterMs: 2_000 })
  })
})
