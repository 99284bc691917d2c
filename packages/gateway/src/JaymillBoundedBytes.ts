import type { JaymillError } from '@jaymill/core'

/**
 * Reads a stream to its end, up to a maximum size.
 *
 * @param stream - Stream of bytes.
 * @param maxBytes - Maximum size, in bytes.
 * @param tooLarge - Creates the error for a larger stream.
 * @param onBytes - Called with the size of each part, in bytes.
 * @returns All bytes of the stream.
 * @throws The error of `tooLarge`, or the error of the stream.
 */
export async function readBounded (stream: AsyncIterable<Buffer>, maxBytes: number, tooLarge: () => JaymillError, onBytes?: (bytes: number) => void): Promise<Buffer> {
  const chunks: Buffer[] = []
  let size = 0
  for await (const chunk of stream) {
    size += chunk.length
    if (size > maxBytes) throw tooLarge()
    chunks.push(chunk)
    onBytes?.(chunk.length)
  }
  return Buffer.concat(chunks, size)
}
