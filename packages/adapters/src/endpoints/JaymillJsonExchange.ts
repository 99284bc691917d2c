import { ErrorKind, RanState, RequestError } from '@jaymill/core'
import { Dispatcher } from 'undici'
import { z } from 'zod'
import { MAX_ERROR_BYTES } from './constants.js'
import { REFUSED_STATUSES, WRONG_CALL_STATUSES } from './JaymillEngineProtocol.js'

/**
 * Reads a body up to a limit.
 *
 * @param body - Body of an answer.
 * @param maxBytes - Limit in bytes.
 * @returns The text.
 * @throws RequestError of kind `EndpointFailed` when it is longer.
 */
export async function readText (body: AsyncIterable<Uint8Array>, maxBytes: number): Promise<string> {
  const chunks: Uint8Array[] = []
  let size = 0
  for await (const chunk of body) {
    size += chunk.length
    if (size > maxBytes) throw wrongAnswer('the answer is larger than allowed')
    chunks.push(chunk)
  }
  return Buffer.concat(chunks).toString('utf8')
}

/**
 * Reads and checks a JSON body.
 *
 * @param body - Body of an answer.
 * @param schema - What it must be.
 * @param maxBytes - Limit in bytes.
 * @returns The parsed value.
 * @throws RequestError of kind `EndpointFailed` when it is something else.
 */
export async function readJson<T> (body: AsyncIterable<Uint8Array>, schema: z.ZodType<T>, maxBytes: number): Promise<T> {
  const text = await readText(body, maxBytes)
  try {
    return schema.parse(JSON.parse(text))
  } catch (err) {
    throw wrongAnswer('the answer is not what the protocol says', err)
  }
}

/**
 * Checks the status of an engine's answer.
 *
 * @param res - Answer whose body has not been read.
 * @param endpoint - Endpoint for the message.
 * @param missing - Kind of failure that status 404 means.
 * @throws RequestError of kind `EndpointRefused` with "not run" for the statuses that mean so, `BadRequest` when the
 * engine finds the call wrong, `EndpointFailed` otherwise.
 */
export async function checkStatus (res: Dispatcher.ResponseData, endpoint: string, missing = ErrorKind.EndpointRefused): Promise<void> {
  if (res.statusCode >= 200 && res.statusCode < 300) return
  const text = await readText(res.body, MAX_ERROR_BYTES).catch(() => '')
  const message = `${endpoint} answered ${res.statusCode}: ${text}`
  if (WRONG_CALL_STATUSES.includes(res.statusCode)) throw new RequestError(ErrorKind.BadRequest, message)
  if (!REFUSED_STATUSES.includes(res.statusCode)) {
    throw new RequestError(ErrorKind.EndpointFailed, message, { ran: RanState.Unknown })
  }
  const kind = res.statusCode === 404 ? missing : ErrorKind.EndpointRefused
  throw new RequestError(kind, message, { retryAfterMs: retryAfterMs(res.headers['retry-after']) })
}

function retryAfterMs (header: string | string[] | undefined): number | undefined {
  const seconds = Number(header)
  return Number.isFinite(seconds) && seconds >= 0 ? seconds * 1_000 : undefined
}

function wrongAnswer (message: string, cause?: unknown): RequestError {
  return new RequestError(ErrorKind.EndpointFailed, message, { ran: RanState.Unknown, cause })
}
