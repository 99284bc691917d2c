import { request, type Dispatcher } from 'undici'
import type { PlatformValue } from '@jaymill/core'
import { MAX_ANSWER_BYTES } from './constants.js'
import { readConsulAnswer } from './JaymillConsulAnswer.js'
import { linkAbort } from './JaymillLinkedAbort.js'
import { PlatformError, PlatformFailure } from './JaymillPlatformError.js'
import type { Sleeper } from './JaymillSleeper.js'

/** One blocking query. */
export interface ConsulQuery {
  readonly url: URL
  /** Sent as X-Consul-Token; absent when the service asks for none. */
  readonly token?: string
  /** Time after which the query is given up, in milliseconds. */
  readonly limitMs: number
}

/**
 * Builds the URL of a blocking query.
 *
 * @param base - Base URL of the service.
 * @param key - Key of the value.
 * @param index - Index of the last answer; 0 asks for an answer at once.
 * @param waitMs - Time the service may hold the query open, in milliseconds.
 * @returns The URL.
 */
export function consulUrl (base: string, key: string, index: number, waitMs: number): URL {
  const path = key.split('/').map(encodeURIComponent).join('/')
  const url = new URL(`${base.replace(/\/+$/, '')}/v1/kv/${path}`)
  if (index > 0) {
    url.searchParams.set('index', String(index))
    url.searchParams.set('wait', `${waitMs}ms`)
  }
  return url
}

/**
 * Sends one blocking query.
 *
 * @param query - What to ask.
 * @param sleeper - Measures the time limit.
 * @param signal - Gives up.
 * @returns The value with its index.
 * @throws PlatformError with the reason of the failure.
 */
export async function sendConsulQuery (query: ConsulQuery, sleeper: Sleeper, signal: AbortSignal): Promise<PlatformValue> {
  const call = linkAbort(signal)
  let isLate = false
  sleeper.sleep(query.limitMs, call.signal).then(() => {
    isLate = !call.signal.aborted
    call.abort()
  })
  try {
    const headers = query.token === undefined ? {} : { 'x-consul-token': query.token }
    const options = { headers, headersTimeout: 0, bodyTimeout: 0, signal: call.signal }
    return await readAnswer(await request(query.url, options))
  } catch (err) {
    if (err instanceof PlatformError) throw err
    if (isLate) throw new PlatformError(PlatformFailure.Timeout, 'the platform did not answer in time', err)
    throw new PlatformError(PlatformFailure.Unreachable, 'the platform can\'t be reached', err)
  } finally {
    call.abort()
  }
}

async function readAnswer (res: Dispatcher.ResponseData): Promise<PlatformValue> {
  if (res.statusCode !== 200) {
    res.body.destroy()
    const failure = res.statusCode === 404 ? PlatformFailure.NotFound : PlatformFailure.Status
    throw new PlatformError(failure, `the platform answered with status ${res.statusCode}`)
  }
  return readConsulAnswer(res.headers['x-consul-index'], await readBounded(res.body))
}

async function readBounded (body: AsyncIterable<Buffer>): Promise<string> {
  const chunks: Buffer[] = []
  let bytes = 0
  for await (const chunk of body) {
    bytes += chunk.length
    if (bytes > MAX_ANSWER_BYTES) {
      throw new PlatformError(PlatformFailure.TooLarge, `the platform sent more than ${MAX_ANSWER_BYTES} bytes`)
    }
    chunks.push(chunk)
  }
  return Buffer.concat(chunks).toString('utf8')
}
