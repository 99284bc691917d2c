import type { IncomingHttpHeaders, OutgoingHttpHeaders, ServerResponse } from 'node:http'
import { JaymillError, toProblem } from '@jaymill/core'
import type { WholeAnswer } from '../endpoints/JaymillOpenAnswer.js'

const CONNECTION_HEADERS = new Set([
  'connection', 'keep-alive', 'proxy-connection', 'proxy-authenticate', 'te', 'trailer', 'transfer-encoding', 'upgrade'
])

/**
 * @param headers - Headers of an endpoint's answer.
 * @returns Those that concern the caller, too.
 */
export function endToEnd (headers: IncomingHttpHeaders): OutgoingHttpHeaders {
  const named = String(headers.connection ?? '').toLowerCase().split(/\s*,\s*/)
  return Object.fromEntries(Object.entries(headers).filter(([name]) => !CONNECTION_HEADERS.has(name) && !named.includes(name)))
}

/**
 * Selects the headers of a caller's request that an endpoint gets.
 *
 * @param rawHeaders - Names and values, one after the other.
 * @param isReserved - Whether only the system may set a header.
 * @returns Names and values, one after the other; the framing of the body is left to the sender.
 */
export function forwardedHeaders (rawHeaders: readonly string[], isReserved: (name: string) => boolean): string[] {
  const pairs = rawHeaders.flatMap((name, i) => i % 2 === 0 ? [[name, rawHeaders[i + 1] ?? ''] as const] : [])
  return pairs
    .filter(([name]) => isForwarded(name.toLowerCase()) && !isReserved(name.toLowerCase()))
    .flat()
}

function isForwarded (name: string): boolean {
  return !CONNECTION_HEADERS.has(name) && name !== 'content-length' && name !== 'expect'
}

/**
 * Prepares an answer whose end is only marked by the end of its connection (RFC 9112, section 6.3). Nobody can tell whether
 * such an answer is whole, so that it is passed on in the same way and no length vouches for it.
 *
 * @param res - Response to the caller.
 * @param headers - Headers of the endpoint's answer.
 * @returns Whether the answer is of that kind.
 */
export function prepareUnframed (res: ServerResponse, headers: IncomingHttpHeaders): boolean {
  const unframed = headers['content-length'] === undefined && headers['transfer-encoding'] === undefined
  if (!unframed) return false
  res.removeHeader('Transfer-Encoding')
  res.setHeader('Connection', 'close')
  return true
}

/**
 * Passes a whole answer of an endpoint on.
 *
 * @param res - Response to the caller.
 * @param answer - The answer.
 */
export function relay (res: ServerResponse, { status, headers, body }: WholeAnswer): void {
  const length = prepareUnframed(res, headers) ? {} : { 'content-length': body.length }
  res.writeHead(status, { ...endToEnd(headers), ...length })
  res.end(body)
}

/**
 * Answers with a failure of the system's own.
 *
 * @param res - Response to the caller; destroyed when its head has been sent.
 * @param requestId - Id of the request.
 * @param err - The failure.
 */
export function refuse (res: ServerResponse, requestId: string | undefined, err: JaymillError): void {
  if (res.headersSent) {
    res.destroy()
    return
  }
  const body = JSON.stringify(toProblem(err, requestId))
  const retry = err.retryAfterMs === undefined ? {} : { 'Retry-After': (err.retryAfterMs / 1_000).toFixed(3) }
  res.writeHead(err.status, { 'Content-Type': 'application/problem+json', 'Content-Length': Buffer.byteLength(body), ...retry })
  res.end(body)
}
