import { fingerprint, type RunKeys } from '@jaymill/core'
import type { GatewayRequest } from '../callers/JaymillGatewayRequest.js'

/**
 * @param request - A request.
 * @returns Its fingerprint, which is the same when its caller sends it again, and the shared parts of its prompt.
 */
export function runKeysOf ({ req, body, metadata }: GatewayRequest): RunKeys {
  const request = fingerprint([req.method ?? '', req.headers.host ?? '', req.url ?? '', body?.toString('latin1') ?? ''])
  return { request, parts: metadata.prompt?.sharedParts ?? [] }
}
