import { once } from 'node:events'
import type { JaymillError } from '@jaymill/core'

/**
 * Reads a stream to its end, up to a maximum size.
 *
 * @param stream - Stream of bytes.
 * @param maxBytes - Maximum size, in bytes.
 * @param tooLarge - Creates the error for a larger stream.
 * @returns All bytes of the stream.
 * @throws The error of `tooLarge`, or the error of the stream.
 */
export async function readBounded (stream: AsyncIterable<Buffer>, maxBytes: number, tooLarge: () => JaymillError): Promise<Buffer> {
  const chunks: Buffer[] = []
  let size = 0
  for await (const chunk of stream) {
    size += chunk.length
    if (size > maxBytes) throw tooLarge()
    chunks.push(chunk)
  }
  return Buffer.concat(chunks, size)
}

/**
 * Waits for a result, but not longer than a signal allows.
 *
 * @param result - The result.
 * @param signal - Ends the wait when it aborts.
 * @param aborted - Creates the error for an aborted wait.
 * @returns The result.
 * @throws The error of `aborted`, or that of the result.
 */
export async function untilAborted<Result> (result: Promise<Result>, signal: AbortSignal, aborted: () => JaymillError): Promise<Result> {
  if (signal.aborted) throw aborted()
  const settled = new AbortController()
  const abort = once(signal, 'abort', { signal: settled.signal }).then(() => { throw aborted() })
  abort.catch(() => { /* The result settled first. */ })
  try {
    return await Promise.race([result, abort])
  } finally {
    settled.abort()
  }
}
