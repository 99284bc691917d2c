import { CacheEventKind, EngineCall, KvTransferParams, RequestOwnerTag } from '@jaymill/core'
import { z } from 'zod'

/** Headers that tell an engine who a request belongs to. */
export enum EngineHeader {
  RequestId = 'x-request-id',
  Attempt = 'x-jaymill-attempt',
  Host = 'x-jaymill-host',
  Incarnation = 'x-jaymill-incarnation',
  IdempotencyKey = 'idempotency-key',
  LastEventId = 'last-event-id'
}

/** Statuses with which an engine says that it did not start the call. */
export const REFUSED_STATUSES: readonly number[] = [404, 410, 429]
/** Statuses with which an engine says that the call itself is wrong. */
export const WRONG_CALL_STATUSES: readonly number[] = [400, 413, 422]
/** Data of the event that ends a stream. */
export const DONE = '[DONE]'

/** Body of a prefill's answer. */
export const PrefillAnswer = z.object({
  kv_transfer_params: z.record(z.string(), z.unknown()),
  usage: z.object({ prompt_tokens: z.number().int().nonnegative() })
})

/** Data of one token event. */
export const TokenData = z.object({
  choices: z.tuple([z.object({ text: z.string(), finish_reason: z.string().nullable().default(null) })]).rest(z.unknown())
})

/** Body of a load report. */
export const LoadAnswer = z.object({
  running: z.array(z.object({
    requestId: z.string(),
    attempt: z.number(),
    hostId: z.string(),
    incarnation: z.number(),
    pieces: z.number(),
    ageMs: z.number()
  })),
  heldPieces: z.number(),
  ageMs: z.number()
})

/** Body of a page of cache events. */
export const CacheAnswer = z.object({
  events: z.array(z.object({ seq: z.number().int(), kind: z.enum(CacheEventKind), prefix: z.string() })),
  next: z.number().int()
})

/**
 * @param tag - Who the request belongs to.
 * @returns Headers for an endpoint.
 */
export function tagHeaders (tag: RequestOwnerTag): Record<string, string> {
  return {
    [EngineHeader.RequestId]: tag.requestId,
    [EngineHeader.Attempt]: String(tag.attempt),
    [EngineHeader.Host]: tag.hostId,
    [EngineHeader.Incarnation]: String(tag.incarnation),
    ...(tag.idempotencyKey === undefined ? {} : { [EngineHeader.IdempotencyKey]: tag.idempotencyKey })
  }
}

/**
 * Builds the body of a prefill call, as vLLM publishes it for disaggregated prefill.
 *
 * @param call - What to run.
 * @returns JSON text.
 */
export function prefillBody (call: EngineCall): string {
  const kv = { do_remote_decode: true, do_remote_prefill: false }
  return JSON.stringify({ ...completionBody(call), max_tokens: 1, stream: false, kv_transfer_params: kv })
}

/**
 * Builds the body of a decode call.
 *
 * @param call - What to run.
 * @param kv - Values from the prefill, if there was one.
 * @returns JSON text.
 */
export function decodeBody (call: EngineCall, kv: KvTransferParams | null): string {
  const params = kv === null ? {} : { kv_transfer_params: kv }
  return JSON.stringify({ ...completionBody(call), stream: true, ...params })
}

function completionBody (call: EngineCall): Record<string, unknown> {
  return {
    ...call.sampling,
    model: call.model,
    prompt: call.prompt + call.generated,
    max_tokens: call.maxTokens - call.generatedTokens,
    priority: call.priority
  }
}
