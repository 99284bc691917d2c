import { STATUS_CODES } from 'node:http'
import type { Duplex } from 'node:stream'

const BAD_REQUEST = 400

/** Statuses by the codes of errors, as Node.js has them. */
const STATUSES: Readonly<Record<string, number>> = {
  ERR_HTTP_REQUEST_TIMEOUT: 408,
  HPE_CHUNK_EXTENSIONS_OVERFLOW: 413,
  HPE_HEADER_OVERFLOW: 431
}

/**
 * Refuses a request that can't be read, and closes its connection.
 *
 * @param err - Error of the parser, or of the time limit for the header.
 * @param socket - Connection of the caller.
 * @param responding - Whether a response to it has begun; then there is none to refuse it with.
 */
export function refuseUnreadable (err: Error & { readonly code?: string }, socket: Duplex, responding: boolean): void {
  if (responding || !socket.writable) {
    socket.destroy(err)
    return
  }
  const status = STATUSES[err.code ?? ''] ?? BAD_REQUEST
  socket.end(`HTTP/1.1 ${status} ${STATUS_CODES[status] ?? ''}\r\nConnection: close\r\n\r\n`, () => socket.destroy(err))
}
