import type { EndpointRecord } from '@jaymill/core'
import type { KvSource } from '../ports/JaymillWireDialect.js'
import type { StreamRelay } from './JaymillStreamRelay.js'

/** KV cache of a prefilled prompt and the engine that holds it. */
export interface PrefilledPrompt extends KvSource {
  readonly endpoint: EndpointRecord
  /** Monotonic time at which the prefill had ended, in milliseconds. */
  readonly prefilledMs: number
}

/** Progress of one generation request through the prefill and decode pools. */
export interface PromptProgress {
  readonly relay: StreamRelay
  /** Caller's estimate of the output length, in tokens. */
  readonly hintTokens: number
  /** Calls that may have run the request. */
  runs: number
  /** Rounds of reservation, prefill and decode. */
  rounds: number
  /** Whether a prefill engine has prefilled the prompt; the first such call does not count as a retry. */
  prefilled: boolean
  /** Prompt that no engine has fetched, since the one that should have did not run the request. */
  prompt: PrefilledPrompt | undefined
  /** Engines that returned no usable response to this request. */
  readonly avoidedIds: Set<string>
}
