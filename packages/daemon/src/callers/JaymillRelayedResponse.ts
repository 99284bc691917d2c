import type { ServerResponse } from 'node:http'
import { TLSSocket } from 'node:tls'
import { RESET_DELAY_MS } from './constants.js'

const HTTP_WITHOUT_CHUNKS = '1.0'

/** Head of a response that is passed on. */
export interface RelayedHead {
  readonly status: number
  readonly headers: Readonly<Record<string, string>>
}

/** Responses whose body comes from an endpoint. */
const relayedResponses = new WeakSet<ServerResponse>()

/**
 * Sends the head of a response that is passed on. Its body goes on in chunks, also when the endpoint ends it with its connection:
 * this host may be killed, and the system then ends the caller's connection like that of a complete response.
 *
 * @param res - Response to the caller or peer.
 * @param head - Status and headers.
 */
export function writeRelayedHead (res: ServerResponse, { status, headers }: RelayedHead): void {
  relayedResponses.add(res)
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
 * Breaks off a response so that it does not look complete. A response to HTTP/1.0 has no chunks and is ended by its connection, so
 * it is reset. The reset waits until the caller has probably read what was sent: an event loop that finds data and a reset at the
 * same time may report the data and a regular end (libuv does).
 *
 * @param res - Response to the caller or peer.
 * @param delayMs - Time before a reset, in milliseconds.
 */
export function abortResponse (res: ServerResponse, delayMs = RESET_DELAY_MS): void {
  const endsWithConnection = res.headersSent && res.req.httpVersion === HTTP_WITHOUT_CHUNKS
  if (!endsWithConnection) res.destroy()
  else if (delayMs === 0) resetConnection(res)
  else setTimeout(() => resetConnection(res), delayMs)
}

/** Node.js cannot reset a TLS connection; only peers use TLS, and their responses have chunks. */
function resetConnection ({ socket }: ServerResponse): void {
  if (socket === null || socket.destroyed) return
  if (socket instanceof TLSSocket) socket.destroy()
  else socket.resetAndDestroy()
}
