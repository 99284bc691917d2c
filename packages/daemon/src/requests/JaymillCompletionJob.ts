import type { AccountConfig, ModelConfig, RequestRecord, RouteConfig, TokenEvent } from '@jaymill/core'

const CHARS_PER_TOKEN = 4

/** What a caller asks for. */
export interface CompletionOrder {
  /** Id on engines, unique to this run: a caller may use its own id for several requests. */
  readonly engineRequestId: string
  readonly requestId: string
  /** Key given by the caller, if any. */
  readonly idempotencyKey: string | undefined
  readonly account: AccountConfig
  readonly route: RouteConfig
  readonly model: ModelConfig
  /** Name the caller asked for: the model's or one of its adapters'. */
  readonly modelName: string
  readonly prompt: string
  readonly maxTokens: number
  readonly sampling: Readonly<Record<string, unknown>>
  readonly record: RequestRecord
  /** Monotonic time after which the caller no longer wants the answer, in milliseconds. */
  readonly deadlineAtMs: number
}

/** One completion to be run. */
export interface CompletionJob extends CompletionOrder {
  /** Tokens that a stopped run left behind. */
  readonly prefix: readonly TokenEvent[]
  /** Number of the first attempt; larger than any of a stopped run. */
  readonly firstAttempt: number
  /** Hash of what runs on engines. */
  readonly fingerprint: string
}

/**
 * Estimates the tokens of a text.
 *
 * @param text - Prompt or answer.
 * @returns Tokens, at least 1.
 */
export function estimateTokens (text: string): number {
  return Math.max(1, Math.ceil(text.length / CHARS_PER_TOKEN))
}

/**
 * Computes the KV memory that a job needs on a decode engine.
 *
 * @param job - Completion.
 * @returns Pieces.
 */
export function piecesOf (job: CompletionJob): number {
  return Math.ceil((estimateTokens(job.prompt) + job.maxTokens) / job.model.tokensPerPiece)
}
