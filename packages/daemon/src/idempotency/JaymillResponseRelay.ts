import type { ServerResponse } from 'node:http'
import type { ServiceResponse } from '@jaymill/adapters'
import { MAX_STORED_RESPONSE_BYTES, StoredResponse } from '@jaymill/core'
import { writeToCaller } from '../callers/JaymillCallerExchange.js'
import { responseHeaders } from '../callers/JaymillServiceCall.js'
import { REPLAYED_HEADER } from './constants.js'

/**
 * Relays the response of an endpoint to the caller and buffers a copy. Reads the response to its end even after the caller
 * has disconnected. It does not end the response to the caller: the code that calls this function first records the outcome,
 * so that the outcome is recorded before the caller sees the end of the response.
 *
 * @param endpointResponse - Response of the endpoint.
 * @param requestId - Id of the request.
 * @param res - Response to the caller.
 * @param stallMs - Longest time for which the caller may read nothing, in milliseconds.
 * @param signal - Cancels the relay.
 * @returns The copy, or `undefined` when the response is larger than `MAX_STORED_RESPONSE_BYTES`.
 */
export async function relayResponse (
  endpointResponse: ServiceResponse, requestId: string, res: ServerResponse, stallMs: number, signal: AbortSignal
): Promise<StoredResponse | undefined> {
  const headers = responseHeaders(endpointResponse.headers)
  const chunks: Uint8Array[] = []
  let size = 0
  res.writeHead(endpointResponse.status, { ...headers, 'X-Request-Id': requestId })
  for await (const chunk of endpointResponse.body) {
    size += chunk.byteLength
    if (size <= MAX_STORED_RESPONSE_BYTES) chunks.push(chunk)
    await write(res, chunk, stallMs, signal)
  }
  return size <= MAX_STORED_RESPONSE_BYTES ? { status: endpointResponse.status, headers, body: Buffer.concat(chunks) } : undefined
}

/**
 * Sends a stored response.
 *
 * @param res - Response to the caller.
 * @param stored - Stored response.
 * @param requestId - Request id of this arrival.
 */
export function sendStoredResponse (res: ServerResponse, stored: StoredResponse, requestId: string): void {
  res.writeHead(stored.status, { ...stored.headers, 'X-Request-Id': requestId, [REPLAYED_HEADER]: 'true' })
  res.end(stored.body)
}

/** Ignores a disconnected caller, so that the response is still read completely and stored for a retry. */
async function write (res: ServerResponse, chunk: Uint8Array, stallMs: number, signal: AbortSignal): Promise<void> {
  if (res.destroyed) return
  await writeToCaller(res, chunk, stallMs, signal).catch(() => signal.throwIfAborted())
}
