import type { IncomingMessage } from 'node:http'
import { ErrorKind, RequestError } from '@jaymill/core'

/**
 * Reads a bounded body.
 *
 * @param req - Request of a caller or peer.
 * @param maxBytes - Largest body accepted.
 * @returns The bytes.
 * @throws RequestError of kind `TooLarge`.
 */
export async function readBody (req: IncomingMessage, maxBytes: number): Promise<Buffer> {
  const chunks: Buffer[] = []
  let size = 0
  for await (const chunk of req as AsyncIterable<Buffer>) {
    size += chunk.length
    if (size > maxBytes) throw new RequestError(ErrorKind.TooLarge, `the body exceeds ${maxBytes} bytes`)
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
