import type { EndpointRecord, Urgency } from '@jaymill/core'
import type { KvSource } from '../ports/JaymillWireDialect.js'
import type { RunProgress } from './JaymillRunProgress.js'

/** KV cache of a prefilled prompt and the engine that holds it. */
export interface PrefilledPrompt extends KvSource {
  readonly endpoint: EndpointRecord
  /** Monotonic time at which the prefill had ended, in milliseconds. */
  readonly prefilledMs: number
}

/** Progress of one generation request through the prefill and decode pools. */
export interface PromptProgress extends RunProgress {
  /** Caller's estimate of the output length, in tokens. */
  readonly hintTokens: number
  /** How the request yields to others; set when it first needs capacity. */
  urgency: Urgency | undefined
  /** Rounds of reservation, prefill and decode. */
  rounds: number
  /** Whether a prefill engine has prefilled the prompt; the first such call does not count as a retry. */
  prefilled: boolean
  /** Prompt that no engine has been asked to fetch, or that the one that was asked has not fetched. */
  prompt: PrefilledPrompt | undefined
  /** Engines that returned no usable response to this request, or fell silent. */
  readonly avoidedIds: Set<string>
}
