import { ErrorKind, RanState, RequestError } from '@jaymill/core'
import { Dispatcher } from 'undici'
import { z } from 'zod'
import { MAX_ERROR_BYTES } from './constants.js'
import { INVALID_REQUEST_STATUSES, REFUSED_STATUSES } from './JaymillEngineProtocol.js'

/**
 * Reads a body up to a limit.
 *
 * @param body - Body of a response.
 * @param maxBytes - Limit in bytes.
 * @returns The text.
 * @throws RequestError of kind `EndpointFailed` when the body is longer.
 */
export async function readText (body: AsyncIterable<Uint8Array>, maxBytes: number): Promise<string> {
  const chunks: Uint8Array[] = []
  let size = 0
  for await (const chunk of body) {
    size += chunk.length
    if (size > maxBytes) throw invalidResponse('the response is larger than allowed')
    chunks.push(chunk)
  }
  return Buffer.concat(chunks).toString('utf8')
}

/**
 * Reads and validates a JSON body.
 *
 * @param body - Body of a response.
 * @param schema - Schema of the body.
 * @param maxBytes - Limit in bytes.
 * @returns The parsed value.
 * @throws RequestError of kind `EndpointFailed` when the body does not match the schema.
 */
export async function readJson<T> (body: AsyncIterable<Uint8Array>, schema: z.ZodType<T>, maxBytes: number): Promise<T> {
  const text = await readText(body, maxBytes)
  try {
    return schema.parse(JSON.parse(text))
  } catch (err) {
    throw invalidResponse('the response does not match the protocol', err)
  }
}

/**
 * Checks the status of an engine's response.
 *
 * @param res - Response whose body has not been read.
 * @param endpoint - Name of the endpoint for the message.
 * @param notFoundKind - Kind of failure for status 404.
 * @throws RequestError of kind `EndpointRefused` with `RanState.No` for the statuses of a call that was not started,
 * `BadRequest` for a call that the engine rejects as invalid, `EndpointFailed` otherwise.
 */
export async function checkStatus (
  res: Dispatcher.ResponseData, endpoint: string, notFoundKind = ErrorKind.EndpointRefused
): Promise<void> {
  if (res.statusCode >= 200 && res.statusCode < 300) return
  const text = await readText(res.body, MAX_ERROR_BYTES).catch(() => '')
  const message = `${endpoint} responded with ${res.statusCode}: ${text}`
  if (INVALID_REQUEST_STATUSES.includes(res.statusCode)) throw new RequestError(ErrorKind.BadRequest, message)
  if (!REFUSED_STATUSES.includes(res.statusCode)) {
    throw new RequestError(ErrorKind.EndpointFailed, message, { ran: RanState.Unknown })
  }
  const kind = res.statusCode === 404 ? notFoundKind : ErrorKind.EndpointRefused
  throw new RequestError(kind, message, { retryAfterMs: retryAfterMs(res.headers['retry-after']) })
}

function retryAfterMs (header: string | string[] | undefined): number | undefined {
  const seconds = Number(header)
  return Number.isFinite(seconds) && seconds >= 0 ? seconds * 1_000 : undefined
}

function invalidResponse (message: string, cause?: unknown): RequestError {
  return new RequestError(ErrorKind.EndpointFailed, message, { ran: RanState.Unknown, cause })
}
