import type { IncomingMessage } from 'node:http'
import { fingerprint, type RunKeys } from '@jaymill/core'
import type { RequestMetadata } from '../ports/JaymillWireDialect.js'

/**
 * @param req - A request.
 * @param body - Its body.
 * @param metadata - Metadata from its header.
 * @returns Its fingerprint, which is the same when its caller sends it again, and the shared parts of its prompt.
 */
export function runKeysOf ({ method, headers, url }: IncomingMessage, body: Buffer | null, { prompt }: RequestMetadata): RunKeys {
  return { request: fingerprint([method ?? '', headers.host ?? '', url ?? '', body?.toString('latin1') ?? '']), parts: prompt?.sharedParts ?? [] }
}
