import type { IncomingMessage } from 'node:http'
import { fingerprintWithBytes, type RunKeys } from '@jaymill/core'
import type { RequestMetadata } from '../ports/JaymillWireDialect.js'

const NO_BYTES = new Uint8Array()

/**
 * @param req - A request.
 * @param body - Its body.
 * @param metadata - Metadata from its header.
 * @returns Its fingerprint, which is the same when its caller sends it again, and the shared parts of its prompt.
 */
export function runKeysOf ({ method, headers, url }: IncomingMessage, body: Buffer | null, { prompt }: RequestMetadata): RunKeys {
  return { request: fingerprintWithBytes([method ?? '', headers.host ?? '', url ?? ''], body ?? NO_BYTES), parts: prompt?.sharedParts ?? [] }
}
