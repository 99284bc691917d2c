import type { ServerResponse } from 'node:http'
import type { ServiceResponse } from '@jaymill/adapters'
import { MAX_STORED_RESPONSE_BYTES, StoredResponse } from '@jaymill/core'
import { writeToCaller } from '../callers/JaymillCallerExchange.js'
import { writeRelayedHead } from '../callers/JaymillRelayedResponse.js'
import { responseHeaders } from '../callers/JaymillServiceCall.js'
import { REPLAYED_HEADER } from './constants.js'
import type { KeyedArrival } from './JaymillKeyedArrival.js'

/**
 * Relays the response of an endpoint to the caller and buffers a copy. Reads the response to its end even after the caller
 * has disconnected. It does not end the response to the caller: the code that calls this function first records the outcome,
 * so that the outcome is recorded before the caller sees the end of the response.
 *
 * @param endpointResponse - Response of the endpoint.
 * @param arrival - Arrival that receives the response.
 * @param res - Response to the caller.
 * @param stallMs - Longest time for which the caller may read nothing, in milliseconds.
 * @param signal - Cancels the relay.
 * @returns The copy; `undefined` when the response is larger than `MAX_STORED_RESPONSE_BYTES`, or ends with its connection, so that
 * it may be truncated.
 */
export async function relayResponse (
  endpointResponse: ServiceResponse, arrival: KeyedArrival, res: ServerResponse, stallMs: number, signal: AbortSignal
): Promise<StoredResponse | undefined> {
  const { status, closeDelimited } = endpointResponse
  const headers = responseHeaders(endpointResponse.headers)
  const chunks: Uint8Array[] = []
  let size = 0
  writeRelayedHead(res, { status, headers: { ...headers, 'X-Request-Id': arrival.requestId } })
  for await (const chunk of endpointResponse.body) {
    size += chunk.byteLength
    if (size <= MAX_STORED_RESPONSE_BYTES) chunks.push(chunk)
    await write(res, chunk, stallMs, signal)
  }
  const canStore = size <= MAX_STORED_RESPONSE_BYTES && !closeDelimited
  return canStore ? { status, headers, body: Buffer.concat(chunks) } : undefined
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
