import type { GatewayRequest } from '../callers/JaymillGatewayRequest.js'
import type { PromptMetadata } from '../ports/JaymillWireDialect.js'
import { OUTPUT_MARGIN } from './constants.js'

/**
 * @param request - A generation request.
 * @returns The number of tokens in its prompt.
 */
export function promptTokensOf ({ metadata }: Pick<GatewayRequest, 'metadata'>): number {
  return metadata.prompt?.promptTokens ?? 0
}

/**
 * @param request - A generation request.
 * @returns The KV cache that it needs, in tokens: the prompt plus an output slightly longer than estimated. An engine lets a
 * longer output grow as long as it has free memory.
 */
export function kvTokensOf ({ metadata }: Pick<GatewayRequest, 'metadata'>): number {
  return promptTokensOf({ metadata }) + outputTokens(metadata.prompt)
}

function outputTokens (prompt: PromptMetadata | undefined): number {
  if (prompt === undefined) return 0
  return Math.min(prompt.maxOutputTokens, Math.ceil(prompt.expectedOutputTokens * OUTPUT_MARGIN))
}
