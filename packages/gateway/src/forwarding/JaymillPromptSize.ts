import type { GatewayRequest } from '../callers/JaymillGatewayRequest.js'
import type { PromptFacts } from '../ports/JaymillWireDialect.js'
import { ANSWER_MARGIN } from './constants.js'

/**
 * @param request - A generation request.
 * @returns Tokens of its prompt.
 */
export function promptTokensOf ({ facts }: Pick<GatewayRequest, 'facts'>): number {
  return facts.prompt?.promptTokens ?? 0
}

/**
 * @param request - A generation request.
 * @returns KV cache that it needs, in tokens: its prompt, and room for an answer somewhat longer than its estimate. An engine
 * lets a longer answer grow while it has memory.
 */
export function tokensOf ({ facts }: Pick<GatewayRequest, 'facts'>): number {
  return promptTokensOf({ facts }) + answerTokens(facts.prompt)
}

function answerTokens (prompt: PromptFacts | undefined): number {
  if (prompt === undefined) return 0
  return Math.min(prompt.maxAnswerTokens, Math.ceil(prompt.expectedAnswerTokens * ANSWER_MARGIN))
}
