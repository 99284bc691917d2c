import type { IncomingMessage, ServerResponse } from 'node:http'
import { ErrorKind, RequestError } from '@jaymill/core'
import type { HostContext } from '../JaymillHostContext.js'

/**
 * Reads the body of a request, up to the size limit.
 *
 * @param req - Request of a caller or peer.
 * @param res - Its response; the bytes count against the budget until it closes.
 * @param ctx - Settings with the size limit, and the body budget of the host.
 * @returns The body.
 * @throws RequestError of kind `TooLarge` if the body exceeds the limit, `Overloaded` if the budget is used up.
 */
export async function readBody (
  req: IncomingMessage, res: ServerResponse, { settings, bodies }: Pick<HostContext, 'settings' | 'bodies'>
): Promise<Buffer> {
  const maxBytes = settings.limits.bodyBytes
  const addBytes = bodies.track(res)
  const chunks: Buffer[] = []
  let size = 0
  for await (const chunk of req as AsyncIterable<Buffer>) {
    size += chunk.length
    if (size > maxBytes) throw new RequestError(ErrorKind.TooLarge, `the body exceeds ${maxBytes} bytes`)
    addBytes(chunk.length)
    chunks.push(chunk)
  }
  return Buffer.concat(chunks)
}

/**
 * Parses the JSON body of a request.
 *
 * @param body - Raw body.
 * @returns The parsed value.
 * @throws RequestError of kind `BadRequest`.
 */
export function parseJson (body: Buffer): unknown {
  try {
    return JSON.parse(body.toString('utf8')) as unknown
  } catch (err) {
    throw new RequestError(ErrorKind.BadRequest, `the body is not JSON: ${(err as Error).message}`, { cause: err })
  }
}
