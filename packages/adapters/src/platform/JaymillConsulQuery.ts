import { createConnector } from '@jaymill/http'
import { Agent, type Dispatcher, request } from 'undici'
import type { PublishedValue } from '@jaymill/core'
import { CONNECT_TIMEOUT_MS, MAX_RESPONSE_BYTES } from './constants.js'
import { ConfigSourceError, ConfigSourceFailure } from './JaymillConfigSourceError.js'
import { parseConsulResponse } from './JaymillConsulResponse.js'
import { linkAbort } from './JaymillLinkedAbort.js'
import type { Sleeper } from './JaymillSleeper.js'

const AGENT = new Agent({ connect: createConnector(CONNECT_TIMEOUT_MS) })

/** One blocking query. */
export interface ConsulQuery {
  readonly url: URL
  /** Sent as X-Consul-Token; absent when the server requires none. */
  readonly token?: string
  /** Time after which the query times out, in milliseconds. */
  readonly timeoutMs: number
}

/**
 * Builds the URL of a blocking query.
 *
 * @param base - Base URL of the Consul API.
 * @param key - Key of the value.
 * @param index - Index of the last response; 0 requests an immediate response.
 * @param waitMs - Longest time that the server may hold the query open, in milliseconds.
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
 * @param query - Query to send.
 * @param sleeper - Measures the timeout.
 * @param signal - Cancels the query.
 * @returns The value with its index.
 * @throws ConfigSourceError with the reason of the failure.
 */
export async function sendConsulQuery (query: ConsulQuery, sleeper: Sleeper, signal: AbortSignal): Promise<PublishedValue> {
  const linked = linkAbort(signal)
  let timedOut = false
  sleeper.sleep(query.timeoutMs, linked.signal).then(() => {
    timedOut = !linked.signal.aborted
    linked.abort()
  })
  try {
    const headers = query.token === undefined ? {} : { 'x-consul-token': query.token }
    const options = { dispatcher: AGENT, headers, headersTimeout: 0, bodyTimeout: 0, signal: linked.signal }
    return await readResponse(await request(query.url, options))
  } catch (err) {
    if (err instanceof ConfigSourceError) throw err
    if (timedOut) throw new ConfigSourceError(ConfigSourceFailure.Timeout, 'the configuration source timed out', err)
    throw new ConfigSourceError(ConfigSourceFailure.Unreachable, 'the configuration source can\'t be reached', err)
  } finally {
    linked.abort()
  }
}

async function readResponse (res: Dispatcher.ResponseData): Promise<PublishedValue> {
  if (res.statusCode !== 200) {
    res.body.destroy()
    const failure = res.statusCode === 404 ? ConfigSourceFailure.NotFound : ConfigSourceFailure.Status
    throw new ConfigSourceError(failure, `the configuration source responded with status ${res.statusCode}`)
  }
  return parseConsulResponse(res.headers['x-consul-index'], await readBounded(res.body))
}

async function readBounded (body: AsyncIterable<Buffer>): Promise<string> {
  const chunks: Buffer[] = []
  let bytes = 0
  for await (const chunk of body) {
    bytes += chunk.length
    if (bytes > MAX_RESPONSE_BYTES) {
      throw new ConfigSourceError(ConfigSourceFailure.TooLarge, `the response has more than ${MAX_RESPONSE_BYTES} bytes`)
    }
    chunks.push(chunk)
  }
  return Buffer.concat(chunks).toString('utf8')
}
