import { IncomingHttpHeaders } from 'node:http'
import { isCloseDelimited, JaymillError, mayHaveBody, RequestOwnerTag } from '@jaymill/core'
import { Dispatcher } from 'undici'
import { SERVICE_BODY_TIMEOUT_MS, SERVICE_HEADERS_TIMEOUT_MS } from './constants.js'
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

/** Response of a plain service; the body is streamed with backpressure from its reader. */
export interface ServiceResponse {
  readonly status: number
  readonly headers: IncomingHttpHeaders
  /** Whether only the end of the connection marks the end of the body, so that a truncated body may look complete. */
  readonly closeDelimited: boolean
  /** Fails when the response breaks off, also by a reset of its connection. */
  readonly body: AsyncIterable<Uint8Array>
}

/** Options of the client for plain services. */
export interface ServiceClientOptions {
  /** Closes all connections. */
  readonly signal: AbortSignal
  readonly limits?: Partial<ConnectionLimits>
  /** Timeout for the headers of a response, in milliseconds. */
  readonly headersTimeoutMs?: number
  /** Longest time without data in the body of a response, in milliseconds. */
  readonly bodyTimeoutMs?: number
}

/** Headers that belong to one connection (RFC 9110, section 7.6.1) and headers that the client sets itself. */
const CONNECTION_HEADERS: readonly string[] = [
  'connection', 'keep-alive', 'proxy-authenticate', 'proxy-authorization', 'proxy-connection', 'te', 'trailer',
  'transfer-encoding', 'upgrade', 'host', 'expect'
]

/** Calls plain HTTP services and streams request and response bodies. */
export class HttpServiceClient {
  private readonly _pools: EndpointPools
  private readonly _headersTimeoutMs: number
  private readonly _bodyTimeoutMs: number

  /**
   * @param opts - Closing signal, limits and timeouts.
   */
  constructor (opts: ServiceClientOptions) {
    this._pools = new EndpointPools(opts.limits)
    this._headersTimeoutMs = opts.headersTimeoutMs ?? SERVICE_HEADERS_TIMEOUT_MS
    this._bodyTimeoutMs = opts.bodyTimeoutMs ?? SERVICE_BODY_TIMEOUT_MS
    opts.signal.addEventListener('abort', () => { this._pools.destroy().catch(() => {}) }, { once: true })
  }

  /**
   * Sends a call once, without retries.
   *
   * @param call - Call to send.
   * @param signal - Cancels the call.
   * @returns The response, regardless of its status.
   * @throws RequestError with `RanState.No` when no byte has left, such as for a refused connection, else with
   * `RanState.Unknown`.
   */
  async send (call: ServiceCall, signal: AbortSignal): Promise<ServiceResponse> {
    const exchange = new Exchange()
    const headers = { ...withoutConnectionHeaders(call.headers), ...tagHeaders(call.tag) }
    const opts: Dispatcher.RequestOptions = {
      method: call.method as Dispatcher.HttpMethod,
      path: call.path,
      headers,
      body: call.body as Dispatcher.RequestOptions['body'],
      signal,
      headersTimeout: this._headersTimeoutMs,
      bodyTimeout: this._bodyTimeoutMs
    }
    const pool = this._pools.pool(call.url)
    const convertError = (err: unknown): JaymillError => {
      if (exchange.mayHaveBeenSent && !signal.aborted) this._pools.retire(call.url, pool)
      return exchange.toError(err, signal, call.url)
    }
    try {
      const res = await exchange.request(pool, opts)
      return toServiceResponse(call, res, withConvertedErrors(res.body, convertError))
    } catch (err) {
      throw convertError(err)
    }
  }

  /**
   * Closes connections to endpoints that are no longer configured.
   *
   * @param urls - Base URLs of the configured endpoints.
   */
  keepOnly (urls: readonly string[]): void {
    this._pools.keepOnly(urls)
  }
}

function toServiceResponse (
  { method }: ServiceCall, { statusCode: status, headers }: Dispatcher.ResponseData, body: ServiceResponse['body']
): ServiceResponse {
  const closeDelimited = mayHaveBody(method, status) && isCloseDelimited(headers)
  return { status, headers: withoutConnectionHeaders(headers), closeDelimited, body }
}

async function * withConvertedErrors (
  body: AsyncIterable<Uint8Array>, convert: (err: unknown) => JaymillError
): AsyncGenerator<Uint8Array> {
  try {
    yield * body
  } catch (err) {
    throw convert(err)
  }
}

/**
 * Removes the headers that belong to one connection.
 *
 * @param headers - Headers of a request or a response.
 * @returns The remaining headers.
 */
export function withoutConnectionHeaders (headers: IncomingHttpHeaders): IncomingHttpHeaders {
  const named = String(headers.connection ?? '').toLowerCase().split(',').map(name => name.trim())
  const dropped = new Set([...CONNECTION_HEADERS, ...named])
  return Object.fromEntries(Object.entries(headers).filter(([name]) => !dropped.has(name)))
}
