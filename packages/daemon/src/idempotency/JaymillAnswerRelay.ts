import type { ServerResponse } from 'node:http'
import type { ServiceAnswer } from '@jaymill/adapters'
import { KeptAnswer, MAX_ANSWER_BYTES } from '@jaymill/core'
import { writeToCaller } from '../callers/JaymillCallerExchange.js'
import { answerHeaders } from '../callers/JaymillServiceCall.js'
import { REPLAYED_HEADER } from './constants.js'

/**
 * Passes an endpoint's answer on and keeps a copy; reads to the end even when the caller has gone. The caller of this
 * function ends the response, so that the outcome is remembered before the caller sees the end.
 *
 * @param reply - Answer of the endpoint.
 * @param requestId - Id of the request.
 * @param res - Response.
 * @param stallMs - Longest time for which the caller may read nothing, in milliseconds.
 * @param signal - Gives up.
 * @returns The copy, or `undefined` when the answer is too large to be kept.
 */
export async function relayAnswer (
  reply: ServiceAnswer, requestId: string, res: ServerResponse, stallMs: number, signal: AbortSignal
): Promise<KeptAnswer | undefined> {
  const headers = answerHeaders(reply.headers)
  const copy: Uint8Array[] = []
  let size = 0
  res.writeHead(reply.status, { ...headers, 'X-Request-Id': requestId })
  for await (const chunk of reply.body) {
    size += chunk.byteLength
    if (size <= MAX_ANSWER_BYTES) copy.push(chunk)
    await write(res, chunk, stallMs, signal)
  }
  return size <= MAX_ANSWER_BYTES ? { status: reply.status, headers, body: Buffer.concat(copy) } : undefined
}

/**
 * Answers from memory.
 *
 * @param res - Response.
 * @param answer - Answer as it was kept.
 * @param requestId - Id of this arrival.
 */
export function sendKept (res: ServerResponse, answer: KeptAnswer, requestId: string): void {
  res.writeHead(answer.status, { ...answer.headers, 'X-Request-Id': requestId, [REPLAYED_HEADER]: 'true' })
  res.end(answer.body)
}

/** A caller who has gone doesn't end the reading: the outcome is remembered for a resend. */
async function write (res: ServerResponse, chunk: Uint8Array, stallMs: number, signal: AbortSignal): Promise<void> {
  if (res.destroyed) return
  await writeToCaller(res, chunk, stallMs, signal).catch(() => signal.throwIfAborted())
}
