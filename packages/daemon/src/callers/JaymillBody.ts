import type { IncomingMessage, ServerResponse } from 'node:http'
import { ErrorKind, RequestError } from '@jaymill/core'
import type { HostContext } from '../JaymillHostContext.js'

/**
 * Reads a bounded body.
 *
 * @param req - Request of a caller or peer.
 * @param res - Its response; the bytes count as held until it closes.
 * @param ctx - Limits and budget of the host.
 * @returns The bytes.
 * @throws RequestError of kind `TooLarge` or `Overloaded`.
 */
export async function readBody (
  req: IncomingMessage, res: ServerResponse, { settings, bodies }: Pick<HostContext, 'settings' | 'bodies'>
): Promise<Buffer> {
  const maxBytes = settings.limits.bodyBytes
  const hold = bodies.hold(res)
  const chunks: Buffer[] = []
  let size = 0
  for await (const chunk of req as AsyncIterable<Buffer>) {
    size += chunk.length
    if (size > maxBytes) throw new RequestError(ErrorKind.TooLarge, `the body exceeds ${maxBytes} bytes`)
    hold(chunk.length)
    chunks.push(chunk)
  }
  return Buffer.concat(chunks)
}

/**
 * Parses JSON from a caller.
 *
 * @param body - Bytes as received.
 * @returns The value.
 * @throws RequestError of kind `BadRequest`.
 */
export function parseJson (body: Buffer): unknown {
  try {
    return JSON.parse(body.toString('utf8')) as unknown
  } catch (err) {
    throw new RequestError(ErrorKind.BadRequest, `the body is not JSON: ${(err as Error).message}`, { cause: err })
  }
}
