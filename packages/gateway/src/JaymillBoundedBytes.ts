import type { JaymillError } from '@jaymill/core'

/**
 * Reads a stream to its end.
 *
 * @param stream - Stream of bytes.
 * @param maxBytes - Largest size.
 * @param tooLarge - Makes the failure of a larger one.
 * @returns The bytes.
 * @throws What `tooLarge` makes, or the stream's own failure.
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
