import type { IncomingHttpHeaders, OutgoingHttpHeaders, ServerResponse } from 'node:http'
import { isCloseDelimited, JaymillError, mayHaveBody, toProblem } from '@jaymill/core'
import type { BufferedResponse } from '../endpoints/JaymillStreamedResponse.js'
import type { FleetState } from '../fleet/JaymillFleetState.js'
import type { WireDialect } from '../ports/JaymillWireDialect.js'
import { REFUSAL_DELAY_MS, RESET_DELAY_MS } from './constants.js'
import { isForwardedHeader } from './JaymillForwardedRequest.js'
import type { GatewayRequest } from './JaymillGatewayRequest.js'

const HOP_BY_HOP_HEADERS = new Set([
  'connection', 'keep-alive', 'proxy-connection', 'proxy-authenticate', 'te', 'trailer', 'transfer-encoding', 'upgrade'
])

/** Components that decide which headers are forwarded. */
interface HeaderContext {
  readonly dialect: WireDialect
  readonly state: FleetState
}

const HTTP_WITHOUT_CHUNKS = '1.0'

/**
 * Selects the end-to-end headers of an endpoint's response (RFC 9110, section 7.6.1).
 *
 * @param headers - Headers of the response.
 * @returns The headers to forward to the caller.
 */
export function endToEndHeaders (headers: IncomingHttpHeaders): OutgoingHttpHeaders {
  const connectionOptions = String(headers.connection ?? '').toLowerCase().split(/\s*,\s*/)
  return Object.fromEntries(Object.entries(headers).filter(([name]) => !HOP_BY_HOP_HEADERS.has(name) && !connectionOptions.includes(name)))
}

/**
 * Selects the headers of a caller's request that are forwarded to an endpoint or to another host.
 *
 * @param request - The request.
 * @param context - Tells which headers only the router may set, which ones show or name an account, and whether there are accounts now.
 * @returns Alternating names and values, without headers that frame the body; the HTTP client sets those.
 */
export function forwardedHeaders ({ req: { rawHeaders }, hasAccounts }: GatewayRequest, { dialect, state }: HeaderContext): string[] {
  const dropsAccount = hasAccounts || state.accounts !== undefined
  const isDropped = (name: string): boolean => isForwardedHeader(name) || dialect.isReserved(name) || (dropsAccount && dialect.isAccountHeader(name))
  const pairs = rawHeaders.flatMap((name, i) => i % 2 === 0 ? [[name, rawHeaders[i + 1] ?? ''] as const] : [])
  return pairs.filter(([name]) => isForwarded(name.toLowerCase()) && !isDropped(name.toLowerCase())).flat()
}

function isForwarded (name: string): boolean {
  return !HOP_BY_HOP_HEADERS.has(name) && name !== 'content-length' && name !== 'expect'
}

/**
 * Tells whether only the end of its connection marked the end of a response that has arrived.
 *
 * @param response - Head of the response.
 * @param method - Method of the request.
 * @returns Whether the response may have a body, and has neither a length nor chunks.
 */
export function endedWithConnection ({ status, headers }: Pick<BufferedResponse, 'status' | 'headers'>, method: string | undefined): boolean {
  return mayHaveBody(method, status) && isCloseDelimited(headers)
}

/**
 * Breaks off a response so that it does not look complete to the caller. A response to HTTP/1.0 has no chunks and is ended by its
 * connection, so it is reset. The reset waits until the caller has probably read what was sent: an event loop that finds data and a
 * reset at the same time may report the data and a regular end (libuv does).
 *
 * @param res - Response to the caller.
 * @param delayMs - Time before a reset, in milliseconds.
 */
export function abortResponse (res: ServerResponse, delayMs = RESET_DELAY_MS): void {
  const endsWithConnection = res.headersSent && res.req.httpVersion === HTTP_WITHOUT_CHUNKS
  if (!endsWithConnection) res.destroy()
  else if (delayMs === 0) resetConnection(res)
  else setTimeout(() => resetConnection(res), delayMs)
}

function resetConnection ({ socket }: ServerResponse): void {
  if (socket?.destroyed === false) socket.resetAndDestroy()
}

/**
 * Forwards a buffered response of an endpoint to the caller. It gets a length, also when the endpoint has ended it with its
 * connection: this host may be killed, and the system then ends the caller's connection like that of a complete response.
 *
 * @param res - Response to the caller.
 * @param response - Response of the endpoint.
 */
export function sendResponse (res: ServerResponse, { status, headers, body }: BufferedResponse): void {
  const length = mayHaveBody(res.req.method, status) ? { 'content-length': body.length } : {}
  res.writeHead(status, { ...endToEndHeaders(headers), ...length })
  res.end(body)
}

/**
 * Responds with a problem document for a failure of the router. The response to a request whose body still arrives ends some time after
 * its last byte.
 *
 * @param res - Response to the caller; destroyed when its head has already been sent.
 * @param requestId - Id of the request.
 * @param err - The failure.
 * @param bodyArrives - Whether the body of the request still arrives.
 */
export function sendProblem (res: ServerResponse, requestId: string | undefined, err: JaymillError, bodyArrives: boolean): void {
  if (res.headersSent) {
    abortResponse(res)
    return
  }
  const body = JSON.stringify(toProblem(err, requestId))
  const retryHeader = err.retryAfterMs === undefined ? {} : { 'Retry-After': (err.retryAfterMs / 1_000).toFixed(3) }
  res.writeHead(err.status, { 'Content-Type': 'application/problem+json', 'Content-Length': Buffer.byteLength(body), ...retryHeader })
  if (!bodyArrives) {
    res.end(body)
    return
  }
  res.write(body)
  setTimeout(() => res.end(), REFUSAL_DELAY_MS)
}
