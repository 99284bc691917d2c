import { IncomingHttpHeaders } from 'node:http'
import { JaymillError, RequestOwnerTag } from '@jaymill/core'
import { Dispatcher } from 'undici'
import { SERVICE_BODY_MS, SERVICE_HEADERS_MS } from './constants.js'
import { ConnectionLimits, EndpointPools } from './JaymillEndpointPools.js'
import { tagHeaders } from './JaymillEngineProtocol.js'
import { Exchange } from './JaymillExchange.js'

/** One call of a plain service. */
export interface ServiceCall {
  /** Base URL of the endpoint. */
  readonly url: string
  readonly method: string
  /** Path and query. */
  readonly path: string
  readonly headers: IncomingHttpHeaders
  readonly body: AsyncIterable<Uint8Array> | null
  readonly tag: RequestOwnerTag
}

/** Answer of a plain service; the body keeps the pace of its reader. */
export interface ServiceAnswer {
  readonly status: number
  readonly headers: IncomingHttpHeaders
  readonly body: AsyncIterable<Uint8Array>
}

/** Options of the client for plain services. */
export interface ServiceClientOptions {
  /** Closes all connections. */
  readonly signal: AbortSignal
  readonly limits?: Partial<ConnectionLimits>
  /** Time for the headers of an answer, in milliseconds. */
  readonly headersTimeoutMs?: number
  /** Silence allowed inside the body of an answer, in milliseconds. */
  readonly bodyTimeoutMs?: number
}

/** Headers that belong to one connection (RFC 9110, section 7.6.1), and ones that the client sets itself. */
const CONNECTION_HEADERS: readonly string[] = [
  'connection', 'keep-alive', 'proxy-authenticate', 'proxy-authorization', 'proxy-connection', 'te', 'trailer',
  'transfer-encoding', 'upgrade', 'host', 'expect'
]

/** Calls plain HTTP services, with bodies streamed both ways. */
export class HttpServiceClient {
  private readonly _pools: EndpointPools
  private readonly _headersMs: number
  private readonly _bodyMs: number

  /**
   * @param opts - Owner signal, limits and timeouts.
   */
  constructor (opts: ServiceClientOptions) {
    this._pools = new EndpointPools(opts.limits)
    this._headersMs = opts.headersTimeoutMs ?? SERVICE_HEADERS_MS
    this._bodyMs = opts.bodyTimeoutMs ?? SERVICE_BODY_MS
    opts.signal.addEventListener('abort', () => { this._pools.destroy().catch(() => {}) }, { once: true })
  }

  /**
   * Sends a call once; it is never repeated here.
   *
   * @param call - What to send.
   * @param signal - Cancels the call.
   * @returns The answer, whatever its status.
   * @throws RequestError with effect `No` when no byte has left, such as for a refused connection, else `Unknown`.
   */
  async send (call: ServiceCall, signal: AbortSignal): Promise<ServiceAnswer> {
    const exchange = new Exchange()
    const headers = { ...withoutConnectionHeaders(call.headers), ...tagHeaders(call.tag) }
    const opts: Dispatcher.RequestOptions = {
      method: call.method as Dispatcher.HttpMethod,
      path: call.path,
      headers,
      body: call.body as Dispatcher.RequestOptions['body'],
      signal,
      headersTimeout: this._headersMs,
      bodyTimeout: this._bodyMs
    }
    const pool = this._pools.pool(call.url)
    const fail = (err: unknown): JaymillError => {
      if (exchange.mayHaveLeft && !signal.aborted) this._pools.retire(call.url, pool)
      return exchange.toError(err, signal, call.url)
    }
    try {
      const res = await exchange.request(pool, opts)
      const body = withErrors(res.body, fail)
      return { status: res.statusCode, headers: withoutConnectionHeaders(res.headers), body }
    } catch (err) {
      throw fail(err)
    }
  }

  /**
   * Drops connections to endpoints that are no longer configured.
   *
   * @param urls - Base URLs in use.
   */
  keepOnly (urls: readonly string[]): void {
    this._pools.keepOnly(urls)
  }
}

async function * withErrors (body: AsyncIterable<Uint8Array>, convert: (err: unknown) => JaymillError): AsyncGenerator<Uint8Array> {
  try {
    yield * body
  } catch (err) {
    throw convert(err)
  }
}

/**
 * Drops headers that belong to one connection.
 *
 * @param headers - Headers of a request or an answer.
 * @returns The others.
 */
export function withoutConnectionHeaders (headers: IncomingHttpHeaders): IncomingHttpHeaders {
  const named = String(headers.connection ?? '').toLowerCase().split(',').map(name => name.trim())
  const dropped = new Set([...CONNECTION_HEADERS, ...named])
  return Object.fromEntries(Object.entries(headers).filter(([name]) => !dropped.has(name)))
}
