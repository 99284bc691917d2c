import { OUTPUT_MARGIN, OUTPUT_OCCUPIED_SHARE, OUTPUT_RESERVED_SHARE } from './constants.js'

/** Size of a generation request. */
export interface PromptSize {
  readonly promptTokens: number
  /** Expected length of the output, in tokens. */
  readonly outputTokens: number
}

/** Decides how much KV cache of an engine a request counts for. */
export abstract class KvOccupancy {
  /**
   * @param size - Size of a request.
   * @returns KV cache that hosts count for it when they choose an engine with free capacity, in tokens.
   */
  abstract occupiedTokens (size: PromptSize): number

  /**
   * @param size - Size of a request.
   * @param isLoadLate - Whether the work of other hosts is known late, so that only the engine knows what it has granted.
   * @returns KV cache that is reserved for it at its engine, in tokens.
   */
  abstract reservedTokens (size: PromptSize, isLoadLate: boolean): number
}

/** Baseline: counts and reserves the prompt and the whole output, with a margin for estimates that are too short. */
export class WholeOutputOccupancy extends KvOccupancy {
  /** {@inheritDoc KvOccupancy.occupiedTokens} */
  occupiedTokens ({ promptTokens, outputTokens }: PromptSize): number {
    return promptTokens + Math.ceil(outputTokens * OUTPUT_MARGIN)
  }

  /** {@inheritDoc KvOccupancy.reservedTokens} */
  reservedTokens (size: PromptSize): number {
    return this.occupiedTokens(size)
  }
}

/**
 * Counts less than the whole output, since the outputs of an engine grow while they run and do not all reach their end at the
 * same time. It reserves even less: memory that is reserved for one request cannot hold the output of another one that gets
 * longer than estimated, and the engine would preempt that one although there is free memory. While the load is known late,
 * it reserves all that it counts, since the engine would otherwise grant more than fits.
 */
export class SharedOutputOccupancy extends KvOccupancy {
  /** {@inheritDoc KvOccupancy.occupiedTokens} */
  occupiedTokens ({ promptTokens, outputTokens }: PromptSize): number {
    return promptTokens + Math.ceil(outputTokens * OUTPUT_OCCUPIED_SHARE)
  }

  /** {@inheritDoc KvOccupancy.reservedTokens} */
  reservedTokens (size: PromptSize, isLoadLate: boolean): number {
    const { promptTokens, outputTokens } = size
    return isLoadLate ? this.occupiedTokens(size) : promptTokens + Math.ceil(outputTokens * OUTPUT_RESERVED_SHARE)
  }
}
