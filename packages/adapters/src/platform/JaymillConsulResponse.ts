import { z } from 'zod'
import type { PublishedValue } from '@jaymill/core'
import { MAX_VALUE_BYTES } from './constants.js'
import { ConfigSourceError, ConfigSourceFailure } from './JaymillConfigSourceError.js'

const responseSchema = z.tuple([z.object({ Value: z.base64() })])

/**
 * Parses the response to a blocking query (Consul KV API: a JSON array with one entry whose `Value` is base64).
 *
 * @param index - Value of the header X-Consul-Index.
 * @param body - Text of the response body.
 * @returns The value with its index.
 * @throws ConfigSourceError of failure `BadResponse` or `TooLarge`.
 */
export function parseConsulResponse (index: unknown, body: string): PublishedValue {
  const parsed = responseSchema.safeParse(parseJson(body))
  if (!parsed.success) throw new ConfigSourceError(ConfigSourceFailure.BadResponse, 'the response has an unexpected shape')
  const bytes = Buffer.from(parsed.data[0].Value, 'base64')
  if (bytes.length > MAX_VALUE_BYTES) {
    throw new ConfigSourceError(ConfigSourceFailure.TooLarge, `the value is too large: ${bytes.length} bytes`)
  }
  return { index: parseIndex(index), text: bytes.toString('utf8') }
}

/**
 * Parses the index of a response. The documentation of Consul's blocking queries requires clients to reject an index
 * below 1.
 *
 * @param header - Value of the header X-Consul-Index.
 * @returns The index.
 * @throws ConfigSourceError of failure `BadResponse`.
 */
export function parseIndex (header: unknown): number {
  const index = typeof header === 'string' && /^\d+$/.test(header) ? Number(header) : 0
  if (index >= 1 && Number.isSafeInteger(index)) return index
  throw new ConfigSourceError(ConfigSourceFailure.BadResponse, 'the response has no valid X-Consul-Index')
}

function parseJson (body: string): unknown {
  try {
    return JSON.parse(body)
  } catch (err) {
    throw new ConfigSourceError(ConfigSourceFailure.BadResponse, 'the response body is not JSON', err)
  }
}
