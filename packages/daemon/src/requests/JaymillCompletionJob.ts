import type { AccountConfig, ModelConfig, RequestRecord, RouteConfig, TokenEvent } from '@jaymill/core'

const CHARS_PER_TOKEN = 4

/** A completion request whose names are resolved in the configuration. */
export interface ResolvedCompletion {
  /** Request id on engines. It is unique to this run, because a caller may use one request id for several requests. */
  readonly engineRequestId: string
  readonly requestId: string
  /** Idempotency key of the caller, if any. */
  readonly idempotencyKey: string | undefined
  readonly account: AccountConfig
  readonly route: RouteConfig
  readonly model: ModelConfig
  /** Requested name: that of the model or of one of its adapters. */
  readonly modelName: string
  readonly prompt: string
  readonly maxTokens: number
  readonly sampling: Readonly<Record<string, unknown>>
  readonly record: RequestRecord
  /** Deadline of the request, as monotonic time in milliseconds. */
  readonly deadlineAtMs: number
}

/** A completion to run. */
export interface CompletionJob extends ResolvedCompletion {
  /** Tokens that an earlier, interrupted run has generated. */
  readonly prefix: readonly TokenEvent[]
  /** Number of the first attempt; larger than any of the earlier run. */
  readonly firstAttempt: number
  /** Hash of the input to the engine. */
  readonly fingerprint: string
}

/**
 * Estimates the number of tokens of a text.
 *
 * @param text - Prompt or response.
 * @returns Estimated number of tokens, at least 1.
 */
export function estimateTokens (text: string): number {
  return Math.max(1, Math.ceil(text.length / CHARS_PER_TOKEN))
}

/**
 * Computes the KV cache memory that a job needs on a decode engine.
 *
 * @param job - Completion to run.
 * @returns Number of KV pieces.
 */
export function requiredPieces (job: CompletionJob): number {
  return Math.ceil((estimateTokens(job.prompt) + job.maxTokens) / job.model.tokensPerPiece)
}
