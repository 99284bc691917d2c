import { DIRECT_READ_FIXED_MS, DIRECT_READ_TOKEN_MS } from './constants.js'

/** Where the prompt of a request is read. */
export enum ReadingPlace {
  /** At an engine of the prefill stage; the KV cache is handed over. */
  Prefill = 'prefill',
  /** At the engine that generates the answer, between the tokens of its other requests. */
  Decode = 'decode'
}

/** Two ways of reading one prompt. */
export interface ReadingOptions {
  readonly promptTokens: number
  /** Expected time at the prefill engine that is free first, in milliseconds; `undefined` when there is none. */
  readonly prefillMs: number | undefined
  /** Prompt tokens that the decode engine is reading already. */
  readonly directTokens: number
  /** Time within which the prompt has to be read for an answer on time, in milliseconds; negative when that is over. */
  readonly leftMs: number
}

/** Decides where a prompt is read. */
export abstract class PromptReading {
  /**
   * @param options - Ways of reading the prompt.
   * @returns The place.
   */
  abstract choose (options: ReadingOptions): ReadingPlace

  /**
   * @param options - Ways of reading the prompt.
   * @returns Expected time until it is read, in milliseconds.
   */
  expectedMs (options: ReadingOptions): number {
    return this.choose(options) === ReadingPlace.Prefill ? options.prefillMs ?? 0 : directMs(options)
  }
}

/** Baseline: prompts are read at the decode engine only when there is no prefill engine. */
export class PrefillOnly extends PromptReading {
  /** {@inheritDoc PromptReading.choose} */
  choose ({ prefillMs }: ReadingOptions): ReadingPlace {
    return prefillMs === undefined ? ReadingPlace.Decode : ReadingPlace.Prefill
  }
}

/**
 * Answer to more prompts than the prefill engines can read for a while, as in a burst or after some of them were lost: a
 * prompt that would be late there but not at the decode engine is read at the decode engine. That slows the engine's other
 * answers somewhat, so nothing is gained where the prompt is on time, or late, in both places.
 */
export class DirectWhenOnTime extends PromptReading {
  /** {@inheritDoc PromptReading.choose} */
  choose (options: ReadingOptions): ReadingPlace {
    const { prefillMs, leftMs } = options
    if (prefillMs === undefined) return ReadingPlace.Decode
    return prefillMs > leftMs && directMs(options) <= leftMs ? ReadingPlace.Decode : ReadingPlace.Prefill
  }
}

function directMs ({ promptTokens, directTokens }: ReadingOptions): number {
  return DIRECT_READ_FIXED_MS + (directTokens + promptTokens) * DIRECT_READ_TOKEN_MS
}
