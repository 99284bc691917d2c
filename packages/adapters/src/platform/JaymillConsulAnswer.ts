import { z } from 'zod'
import type { PlatformValue } from '@jaymill/core'
import { MAX_VALUE_BYTES } from './constants.js'
import { PlatformError, PlatformFailure } from './JaymillPlatformError.js'

const answerSchema = z.tuple([z.object({ Value: z.base64() })])

/**
 * Reads the answer of a blocking query (Consul KV API: a JSON array with one entry whose `Value` is base64).
 *
 * @param index - Header X-Consul-Index.
 * @param body - Text of the answer.
 * @returns The value with its index.
 * @throws PlatformError of failure `BadAnswer` or `TooLarge`.
 */
export function readConsulAnswer (index: unknown, body: string): PlatformValue {
  const parsed = answerSchema.safeParse(parseJson(body))
  if (!parsed.success) throw new PlatformError(PlatformFailure.BadAnswer, 'the platform sent an answer of another shape')
  const bytes = Buffer.from(parsed.data[0].Value, 'base64')
  if (bytes.length > MAX_VALUE_BYTES) {
    throw new PlatformError(PlatformFailure.TooLarge, `the platform sent a value of ${bytes.length} bytes`)
  }
  return { index: readIndex(index), text: bytes.toString('utf8') }
}

/**
 * Reads the index of an answer; the published rules ask clients to refuse anything below 1.
 *
 * @param header - Header X-Consul-Index.
 * @returns The index.
 * @throws PlatformError of failure `BadAnswer`.
 */
export function readIndex (header: unknown): number {
  const index = typeof header === 'string' && /^\d+$/.test(header) ? Number(header) : 0
  if (index >= 1 && Number.isSafeInteger(index)) return index
  throw new PlatformError(PlatformFailure.BadAnswer, 'the platform sent no usable X-Consul-Index')
}

function parseJson (body: string): unknown {
  try {
    return JSON.parse(body)
  } catch (err) {
    throw new PlatformError(PlatformFailure.BadAnswer, 'the platform sent no JSON', err)
  }
}
