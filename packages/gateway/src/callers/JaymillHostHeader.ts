import type { IncomingMessage } from 'node:http'
import { ErrorKind, RequestError } from '@jaymill/core'

const HOST_HEADER = 'host'

/** Host and optional port (RFC 3986, section 3.2): a name or an IPv4 address, or an IP literal in brackets. */
const HOST_PATTERN = /^(?:[\w\-.~%!$&'()*+,;=]*|\[[\da-f:.]+\])(?::\d*)?$/i

/**
 * Refuses a request whose Host header is invalid (RFC 9112, section 3.2). Node.js refuses one that has none.
 *
 * @param req - Request of a caller or of another host.
 * @throws RequestError of kind `BadRequest` when there are several Host headers, or when it names no host.
 */
export function checkHostHeader ({ rawHeaders }: Pick<IncomingMessage, 'rawHeaders'>): void {
  const values = rawHeaders.filter((_, i) => i % 2 === 1 && rawHeaders[i - 1]?.toLowerCase() === HOST_HEADER)
  if (values.length > 1) throw new RequestError(ErrorKind.BadRequest, 'the request has more than one Host header')
  if (!HOST_PATTERN.test(values[0] ?? '')) throw new RequestError(ErrorKind.BadRequest, 'the Host header of the request is invalid')
}
