import type { IncomingMessage } from 'node:http'

/** Size of a request header. */
export interface HeaderSize {
  readonly bytes: number
  readonly lines: number
}

/** Bytes between a name and its value. */
const SEPARATOR_BYTES = 2

/**
 * @param req - A request.
 * @returns Size of its header: names, values and the target.
 */
export function headerSizeOf ({ rawHeaders, url = '' }: IncomingMessage): HeaderSize {
  const bytes = rawHeaders.reduce((sum, part) => sum + part.length + SEPARATOR_BYTES, url.length)
  return { bytes, lines: rawHeaders.length / 2 }
}
