import { CacheEventKind, EngineCall, KvTransferParams, RequestOwnerTag } from '@jaymill/core'
import { z } from 'zod'

/** Request headers of the engine protocol: owner and attempt of a request, and the resume position. */
export enum EngineHeader {
  RequestId = 'x-request-id',
  Attempt = 'x-jaymill-attempt',
  Host = 'x-jaymill-host',
  Incarnation = 'x-jaymill-incarnation',
  IdempotencyKey = 'idempotency-key',
  LastEventId = 'last-event-id'
}

/** Statuses of an engine that did not start the call. */
export const REFUSED_STATUSES: readonly number[] = [404, 410, 429]
/** Statuses of an engine that rejects the call as invalid. */
export const INVALID_REQUEST_STATUSES: readonly number[] = [400, 413, 422]
/** Data of the event that ends a stream. */
export const STREAM_DONE = '[DONE]'

/** Body of a prefill response. */
export const prefillResponseSchema = z.object({
  kv_transfer_params: z.record(z.string(), z.unknown()),
  usage: z.object({ prompt_tokens: z.number().int().nonnegative() })
})

/** Data of one token event. */
export const tokenDataSchema = z.object({
  choices: z.tuple([z.object({ text: z.string(), finish_reason: z.string().nullable().default(null) })]).rest(z.unknown())
})

/** Body of a load report. */
export const loadReportSchema = z.object({
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
export const cacheEventPageSchema = z.object({
  events: z.array(z.object({ seq: z.number().int(), kind: z.enum(CacheEventKind), prefix: z.string() })),
  next: z.number().int()
})

/**
 * Builds the headers that identify the owner and the attempt of a request.
 *
 * @param tag - Owner and attempt of the request.
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
 * Builds the body of a prefill call in the format that vLLM defines for disaggregated prefill.
 *
 * @param call - Call to run.
 * @returns JSON text.
 */
export function prefillBody (call: EngineCall): string {
  const kv = { do_remote_decode: true, do_remote_prefill: false }
  return JSON.stringify({ ...completionBody(call), max_tokens: 1, stream: false, kv_transfer_params: kv })
}

/**
 * Builds the body of a decode call.
 *
 * @param call - Call to run.
 * @param kv - Transfer parameters from the prefill, or `null` without a prefill.
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
