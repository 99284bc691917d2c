import type { EndpointRecord } from '@jaymill/core'
import type { KvSource } from '../ports/JaymillWireDialect.js'
import type { StreamRelay } from './JaymillStreamRelay.js'

/** KV cache of a prompt and the engine that holds it. */
export interface HeldPrompt extends KvSource {
  readonly endpoint: EndpointRecord
}

/** Progress of one request through the pools. */
export interface PromptProgress {
  readonly relay: StreamRelay
  /** Calls that may have run the request. */
  runs: number
  /** Rounds through reservation and prefill. */
  rounds: number
  /** Calls that only read the prompt. */
  prefills: number
  /** Engines that gave no usable answer to this request. */
  readonly avoided: Set<string>
}
