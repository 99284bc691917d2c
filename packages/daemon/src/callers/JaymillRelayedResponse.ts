import type { ServerResponse } from 'node:http'
import { TLSSocket } from 'node:tls'
import { RESET_DELAY_MS } from './constants.js'

const HTTP_WITHOUT_CHUNKS = '1.0'

/** Head of a response that is passed on. */
export interface RelayedHead {
  readonly status: number
  readonly headers: Readonly<Record<string, string>>
  /** Whether only the end of the connection marks the end of the body. */
  readonly closeDelimited: boolean
}

/** Responses whose body comes from an endpoint, by whether only the end of their connection marks their end. */
const relayedResponses = new WeakMap<ServerResponse, boolean>()

/**
 * Sends the head of a response that is passed on. Whether a body that ends with its connection is complete cannot be verified,
 * so it is passed on with the same framing (RFC 9112, section 6.3): chunks would mark a truncated body as complete.
 *
 * @param res - Response to the caller or peer.
 * @param head - Status, headers and framing.
 */
export function writeRelayedHead (res: ServerResponse, { status, headers, closeDelimited }: RelayedHead): void {
  relayedResponses.set(res, closeDelimited)
  if (closeDelimited) {
    res.removeHeader('Transfer-Encoding')
    res.setHeader('Connection', 'close')
  }
  res.writeHead(status, headers)
}

/**
 * Tells whether the body of a response comes from an endpoint.
 *
 * @param res - Response to the caller or peer.
 * @returns Whether nothing may be added to its body.
 */
export function isRelayed (res: ServerResponse): boolean {
  return relayedResponses.has(res)
}

/**
 * Breaks off a response so that it does not look complete. One that is delimited by the end of its connection is reset, since a
 * regular end would complete it. The reset waits until the caller has probably read what was sent: an event loop that finds data
 * and a reset at the same time may report the data and a regular end (libuv does).
 *
 * @param res - Response to the caller or peer.
 * @param delayMs - Time before a reset, in milliseconds.
 */
export function abortResponse (res: ServerResponse, delayMs = RESET_DELAY_MS): void {
  if (!endsWithConnection(res)) res.destroy()
  else if (delayMs === 0) resetConnection(res)
  else setTimeout(() => resetConnection(res), delayMs)
}

/** A response over HTTP/1.0 has no chunks. */
function endsWithConnection (res: ServerResponse): boolean {
  return relayedResponses.get(res) === true || (res.headersSent && res.req.httpVersion === HTTP_WITHOUT_CHUNKS)
}

/** Node.js cannot reset a TLS connection; only peers use TLS, and their responses have chunks. */
function resetConnection ({ socket }: ServerResponse): void {
  if (socket === null || socket.destroyed) return
  if (socket instanceof TLSSocket) socket.destroy()
  else socket.resetAndDestroy()
}
