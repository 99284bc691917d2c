import { ErrorKind, fromProblem, RequestError } from '@jaymill/core'
import type { getFetch } from '@trpc/client'
import { createConnector } from '@jaymill/http'
import { buildConnector, Dispatcher, Pool } from 'undici'
import { ByteCounter, ByteCounts } from './JaymillByteCounter.js'
import {
  CALL_CONNECTIONS, CONNECT_TIMEOUT_MS, FORWARD_CONNECTIONS, KEEP_ALIVE_MS, MAX_RESPONSE_BYTES
} from './JaymillPeerConstants.js'
import type { PeerTls } from './JaymillPeerTls.js'

/** Connections to one peer. */
export interface PeerTransport {
  /** Sends a typed call over a separate connection pool; the size of the response is limited. */
  readonly fetch: ReturnType<typeof getFetch>
  /**
   * Sends a streamed request.
   *
   * @param req - Request to send.
   * @returns Status, headers and body stream.
   */
  forward (req: Dispatcher.RequestOptions): Promise<Dispatcher.ResponseData>
  /**
   * Returns the traffic of the transport.
   *
   * @returns Bytes over all connections so far.
   */
  byteCounts (): ByteCounts
}

/** Address and TLS settings of a transport. */
export interface PeerTransportOptions {
  readonly url: string
  readonly tls?: PeerTls
}

/**
 * Creates the connection pools for one peer: a small pool for typed calls and a larger one for streams, so that streams
 * never delay a heartbeat.
 *
 * @param options - Address and TLS settings.
 * @param signal - Closes all connections.
 * @returns The transport.
 */
export function createPeerTransport ({ url, tls }: PeerTransportOptions, signal: AbortSignal): PeerTransport {
  const counter = new ByteCounter()
  const shared = { connect: countedConnector(counter, tls), keepAliveTimeout: KEEP_ALIVE_MS }
  const calls = new Pool(url, { ...shared, connections: CALL_CONNECTIONS, maxResponseSize: MAX_RESPONSE_BYTES })
  const streams = new Pool(url, { ...shared, connections: FORWARD_CONNECTIONS, headersTimeout: 0, bodyTimeout: 0 })
  signal.addEventListener('abort', () => [calls, streams].forEach(pool => pool.destroy().catch(() => undefined)), { once: true })
  return {
    fetch: createCallFetch(calls),
    forward: req => streams.request(req),
    byteCounts: () => counter.counts()
  }
}

function countedConnector (counter: ByteCounter, tls: PeerTls | undefined): buildConnector.connector {
  const connect = createConnector(CONNECT_TIMEOUT_MS, tls)
  return (options, callback) => connect(options, (...args) => {
    const [, socket] = args
    if (socket) counter.track(socket)
    callback(...args)
  })
}

function createCallFetch (pool: Pool): PeerTransport['fetch'] {
  return async (input, init) => {
    const { pathname, search } = new URL(String(input))
    const res = await pool.request({
      path: pathname + search,
      method: 'POST',
      headers: init?.headers as Record<string, string>,
      body: init?.body as string,
      signal: init?.signal ?? undefined
    })
    return { ok: res.statusCode < 300, json: async () => parseResponse(res.statusCode, await res.body.text()) }
  }
}

function parseResponse (status: number, text: string): unknown {
  const response = parseJson(status, text)
  const problem = fromProblem(response)
  if (problem !== undefined) throw problem
  return response
}

function parseJson (status: number, text: string): unknown {
  try {
    return JSON.parse(text)
  } catch (err) {
    throw new RequestError(ErrorKind.PeerFailed, `peer responded with ${status} and a body that is not JSON`, { cause: err })
  }
}
