import { EventEmitter, once } from 'node:events'
import { createServer, type ServerResponse } from 'node:http'
import type { AddressInfo } from 'node:net'
import { DocumentKey, ManualClock, type PublishedValue, SeededRandom } from '@jaymill/core'
import { afterEach, beforeEach, describe, expect, test } from 'vitest'
import { ConsulConfigSource } from '../../platform/JaymillConsulConfigSource.js'
import { ReadRateLimiter } from '../../platform/JaymillReadRateLimiter.js'
import { Sleeper } from '../../platform/JaymillSleeper.js'

const REQUEST_TIMEOUT_MS = 5_000
const WAIT_MS = 32_000
type Responder = (res: ServerResponse) => void

/** Skips backoff delays; a request timeout passes only after `expireTimeouts`. */
class TestSleeper extends Sleeper {
  readonly slept: number[] = []
  private readonly _events = new EventEmitter()

  expireTimeouts () {
    this._events.emit('limit')
  }

  async sleep (ms: number, signal: AbortSignal): Promise<void> {
    this.slept.push(ms)
    if (ms < REQUEST_TIMEOUT_MS || signal.aborted) return
    await Promise.race([once(signal, 'abort'), once(this._events, 'limit')])
  }
}

let end = new AbortController()
beforeEach(() => { end = new AbortController() })
afterEach(() => end.abort())

const value = (index: number | string, text: string): Responder => res => {
  res.setHeader('x-consul-index', index)
  res.end(JSON.stringify([{ Key: 'k', Value: Buffer.from(text).toString('base64') }]))
}
const raw = (status: number, body: string): Responder => res => res.writeHead(status, { 'x-consul-index': '9' }).end(body)
const hang: Responder = () => {}
const disconnect: Responder = res => res.destroy()

/** Starts a source whose server sends the given responses in order and then holds every query open. */
async function startSource (responders: Responder[], sleeper = new TestSleeper()) {
  const urls: string[] = []
  const server = createServer((req, res) => {
    urls.push(req.url ?? '')
    const respond = responders[urls.length - 1] ?? hang
    respond(res)
  }).listen(0, '127.0.0.1')
  await once(server, 'listening')
  end.signal.addEventListener('abort', () => { server.close(); server.closeAllConnections() })
  const failures: string[] = []
  const source = new ConsulConfigSource({
    url: `http://127.0.0.1:${(server.address() as AddressInfo).port}/`,
    fleetKey: 'jaymill/fleet',
    hostsKey: 'jaymill/hosts',
    waitMs: WAIT_MS,
    requestTimeoutMs: REQUEST_TIMEOUT_MS,
    maxBackoffMs: 1_000,
    rateLimiter: new ReadRateLimiter({ hostReadsPerSecond: 1_000, fleetReadsPerSecond: 1_000 }, new ManualClock(), () => 1),
    sleeper,
    random: new SeededRandom(1),
    onFailure: ({ failure }) => failures.push(failure)
  })
  const values = source.watch(DocumentKey.Fleet, end.signal)[Symbol.asyncIterator]()
  const next = async () => (await values.next()).value as PublishedValue
  return { next, urls, failures, sleeper }
}

describe('ConsulConfigSource', () => {
  test('sends the last index with the next query and yields only changes', async () => {
    const { next, urls } = await startSource([value(5, 'a'), value(6, 'a'), value(7, 'b')])
    expect([await next(), await next()]).toEqual([{ index: 5, text: 'a' }, { index: 7, text: 'b' }])
    expect(urls).toEqual(['', '?index=5&wait=32000ms', '?index=6&wait=32000ms'].map(query => `/v1/kv/jaymill/fleet${query}`))
  })

  test('ignores a response with an older index and starts again from 0', async () => {
    const { next, urls, failures } = await startSource([value(5, 'new'), value(3, 'stale'), value(6, 'newest')])
    expect([await next(), await next()].map(({ text }) => text)).toEqual(['new', 'newest'])
    expect(failures).toEqual(['index-went-back'])
    expect(urls[2]).toBe('/v1/kv/jaymill/fleet')
  })

  test('retries after every kind of bad response with growing delays', async () => {
    const big = 'x'.repeat(1_000_001)
    const { next, failures, sleeper } = await startSource([
      disconnect, raw(500, ''), raw(404, ''), raw(200, '{"no":"list"}'), raw(200, '[{"Value"'), value(0, 'zero'),
      value('x', 'text'), value(8, big), raw(200, `["${'y'.repeat(1_400_000)}"]`), value(9, 'good')
    ])
    expect(await next()).toEqual({ index: 9, text: 'good' })
    expect(failures).toEqual(['unreachable', 'status', 'not-found', 'bad-answer', 'bad-answer', 'bad-answer', 'bad-answer',
      'too-large', 'too-large'])
    const delays = sleeper.slept.filter(ms => ms >= 100 && ms < REQUEST_TIMEOUT_MS)
    expect(delays).toHaveLength(9)
    expect(delays.every(ms => ms <= 1_000)).toBe(true)
    expect(delays[8]).toBeGreaterThan(delays[0] ?? 0)
  })

  test('times out a query that hangs beyond its wait time and the jitter that Consul may add', async () => {
    const sleeper = new TestSleeper()
    const { next, failures } = await startSource([value(5, 'a'), () => sleeper.expireTimeouts(), value(6, 'b')], sleeper)
    await next()
    expect(await next()).toEqual({ index: 6, text: 'b' })
    expect(failures).toEqual(['timeout'])
    expect(sleeper.slept).toContain(WAIT_MS * 17 / 16 + REQUEST_TIMEOUT_MS)
  })
})
