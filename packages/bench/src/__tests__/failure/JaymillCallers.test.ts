import { afterAll, beforeAll, describe, expect, test } from 'vitest'
import { DEMO_API_KEY, DEMO_MODEL, demoFleet } from '../../demo/JaymillDemoDocuments.js'
import { DemoFleet } from '../../demo/JaymillDemoFleet.js'
import { until } from '../../demo/JaymillUntil.js'
import { expectedCompletion } from '../../standins/JaymillDeterministicText.js'

const BODY_BYTES = 2_000
const controller = new AbortController()
const fleet = new DemoFleet({ hosts: 1, prefill: 1, decode: 1, services: 1, limits: { bodyBytes: BODY_BYTES } })

beforeAll(async () => await fleet.start(controller.signal))
afterAll(() => controller.abort())

const url = (path: string): string => `${fleet.hosts[0]?.urls.caller ?? ''}${path}`
const post = async (path: string, body: unknown, headers: Record<string, string> = {}) => await fetch(url(path), {
  method: 'POST',
  headers: { Authorization: `Bearer ${DEMO_API_KEY}`, ...headers },
  body: typeof body === 'string' ? body : JSON.stringify(body)
})

describe('requests that are refused', () => {
  test.each([
    ['an unknown API key', '/v1/completions', {}, { Authorization: 'Bearer wrong' }, 401, 'unauthorized'],
    ['a body that is not JSON', '/v1/completions', '{', {}, 400, 'bad-request'],
    ['a missing prompt', '/v1/completions', { model: DEMO_MODEL }, {}, 400, 'bad-request'],
    ['an unknown model', '/v1/completions', { model: 'other', prompt: 'x' }, {}, 404, 'not-found'],
    ['several choices', '/v1/completions', { model: DEMO_MODEL, prompt: 'x', n: 2 }, {}, 400, 'bad-request'],
    ['a body that is too large', '/v1/completions', 'x'.repeat(BODY_BYTES + 1), {}, 413, 'too-large'],
    ['a malformed deadline', '/v1/completions', {}, { 'X-Deadline-Ms': 'soon' }, 400, 'bad-request'],
    ['a path that belongs to no service', '/refunds', {}, {}, 404, 'not-found'],
    [
      'a route that belongs to no model', '/v1/completions', { model: DEMO_MODEL, prompt: 'x' },
      { 'X-Jaymill-Route': 'booking' }, 400, 'bad-request'
    ]
  ])('%s', async (_name, path, body, headers, status, kind) => {
    const before = JSON.stringify(await (await fetch(`${fleet.prefill[0]?.url ?? ''}/state`)).json())
    const res = await post(path, body, headers)
    expect(res.status).toBe(status)
    expect(await res.json()).toMatchObject({ type: `urn:jaymill:error:${kind}`, ran: 'no' })
    expect(JSON.stringify(await (await fetch(`${fleet.prefill[0]?.url ?? ''}/state`)).json())).toBe(before)
  })
})

describe('responses that are not streamed', () => {
  test('a chat completion contains a message', async () => {
    const res = await post('/v1/chat/completions', {
      model: DEMO_MODEL, messages: [{ role: 'user', content: 'Check pair 4.' }], max_tokens: 8
    })
    const body = await res.json() as { choices: Array<{ message: { content: string } }> }
    expect(body.choices[0]?.message.content).toBe(expectedCompletion('user: Check pair 4.\nassistant:', 8))
  })

  test('a text completion contains the complete text', async () => {
    const res = await post('/v1/completions', { model: DEMO_MODEL, prompt: 'Check pair 5.', max_tokens: 8 })
    expect(await res.json()).toMatchObject({
      choices: [{ text: expectedCompletion('Check pair 5.', 8), finish_reason: 'length' }]
    })
  })
})

test('a request without an API key belongs to the anonymous account, if there is one', async () => {
  const lookUp = async (): Promise<Response> => await fetch(url('/stock/ice'))
  expect((await lookUp()).status).toBe(200)
  const urls = {
    prefill: [fleet.prefill[0]?.url ?? ''], decode: [fleet.decode[0]?.url ?? ''], counter: [fleet.services[0]?.url ?? '']
  }
  fleet.configServer.publish('jaymill/fleet', { ...demoFleet(2, urls), anonymousAccount: undefined })
  await until('refused', async () => (await lookUp()).status === 401)
})
