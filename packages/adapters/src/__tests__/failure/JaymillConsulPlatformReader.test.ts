import { EventEmitter, once } from 'node:events'
import { createServer, type ServerResponse } from 'node:http'
import type { AddressInfo } from 'node:net'
import { ManualClock, PlatformKey, SeededRandom, type PlatformValue } from '@jaymill/core'
import { afterEach, beforeEach, describe, expect, test } from 'vitest'
import { ConsulPlatformReader } from '../../platform/JaymillConsulPlatformReader.js'
import { ReadBudget } from '../../platform/JaymillReadBudget.js'
import { Sleeper } from '../../platform/JaymillSleeper.js'

const REQUEST_TIMEOUT_MS = 5_000
const WAIT_MS = 32_000
type Answer = (res: ServerResponse) => void

/** Lets pauses pass at once; lets a time limit pass only when told to. */
class TestSleeper extends Sleeper {
  readonly slept: number[] = []
  private readonly _events = new EventEmitter()

  passLimit () {
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

const value = (index: number | string, text: string): Answer => res => {
  res.setHeader('x-consul-index', index)
  res.end(JSON.stringify([{ Key: 'k', Value: Buffer.from(text).toString('base64') }]))
}
const raw = (status: number, body: string): Answer => res => res.writeHead(status, { 'x-consul-index': '9' }).end(body)
const hang: Answer = () => {}
const cut: Answer = res => res.destroy()

/** Plays answers in order, then holds every query open. */
async function platform (answers: Answer[], sleeper = new TestSleeper()) {
  const urls: string[] = []
  const server = createServer((req, res) => {
    urls.push(req.url ?? '')
    const answer = answers[urls.length - 1] ?? hang
    answer(res)
  }).listen(0, '127.0.0.1')
  await once(server, 'listening')
  end.signal.addEventListener('abort', () => { server.close(); server.closeAllConnections() })
  const failures: string[] = []
  const reader = new ConsulPlatformReader({
    url: `http://127.0.0.1:${(server.address() as AddressInfo).port}/`,
    fleetKey: 'jaymill/fleet',
    hostsKey: 'jaymill/hosts',
    waitMs: WAIT_MS,
    requestTimeoutMs: REQUEST_TIMEOUT_MS,
    maxBackoffMs: 1_000,
    budget: new ReadBudget({ hostReadsPerSecond: 1_000, fleetReadsPerSecond: 1_000 }, new ManualClock(), () => 1),
    sleeper,
    random: new SeededRandom(1),
    onFailure: ({ failure }) => failures.push(failure)
  })
  const values = reader.watch(PlatformKey.Fleet, end.signal)[Symbol.asyncIterator]()
  const next = async () => (await values.next()).value as PlatformValue
  return { next, urls, failures, sleeper }
}

describe('ConsulPlatformReader', () => {
  test('waits with the last index and yields only changes', async () => {
    const { next, urls } = await platform([value(5, 'a'), value(6, 'a'), value(7, 'b')])
    expect([await next(), await next()]).toEqual([{ index: 5, text: 'a' }, { index: 7, text: 'b' }])
    expect(urls).toEqual(['', '?index=5&wait=32000ms', '?index=6&wait=32000ms'].map(query => `/v1/kv/jaymill/fleet${query}`))
  })

  test('drops an answer with an older index and starts again from 0', async () => {
    const { next, urls, failures } = await platform([value(5, 'new'), value(3, 'stale'), value(6, 'newest')])
    expect([await next(), await next()].map(({ text }) => text)).toEqual(['new', 'newest'])
    expect(failures).toEqual(['index-went-back'])
    expect(urls[2]).toBe('/v1/kv/jaymill/fleet')
  })

  test('keeps trying through every kind of bad answer, with growing pauses', async () => {
    const big = 'x'.repeat(1_000_001)
    const { next, failures, sleeper } = await platform([
      cut, raw(500, ''), raw(404, ''), raw(200, '{"no":"list"}'), raw(200, '[{"Value"'), value(0, 'zero'), value('x', 'text'),
      value(8, big), raw(200, `["${'y'.repeat(1_400_000)}"]`), value(9, 'good')
    ])
    expect(await next()).toEqual({ index: 9, text: 'good' })
    expect(failures).toEqual(['unreachable', 'status', 'not-found', 'bad-answer', 'bad-answer', 'bad-answer', 'bad-answer',
      'too-large', 'too-large'])
    const pauses = sleeper.slept.filter(ms => ms >= 100 && ms < REQUEST_TIMEOUT_MS)
    expect(pauses).toHaveLength(9)
    expect(pauses.every(ms => ms <= 1_000)).toBe(true)
    expect(pauses[8]).toBeGreaterThan(pauses[0] ?? 0)
  })

  test('gives up a watch that hangs beyond the wait the service may add', async () => {
    const sleeper = new TestSleeper()
    const { next, failures } = await platform([value(5, 'a'), () => sleeper.passLimit(), value(6, 'b')], sleeper)
    await next()
    expect(await next()).toEqual({ index: 6, text: 'b' })
    expect(failures).toEqual(['timeout'])
    expect(sleeper.slept).toContain(WAIT_MS * 17 / 16 + REQUEST_TIMEOUT_MS)
  })
})
