/** Engine role that prefills the prompt of a request. */
export enum PrefillLocation {
  /** A prefill engine; the KV cache is transferred to the decode engine. */
  Prefill = 'prefill',
  /** The decode engine itself, in chunks between the decode steps of its other requests. */
  Decode = 'decode'
}

/** Expected costs of prefilling one prompt in either location. */
export interface PrefillPlacementOptions {
  /** Expected time at the prefill engine that is available first, in milliseconds; `undefined` when there is none. */
  readonly prefillEngineMs: number | undefined
  /** Expected time at the decode engine, between the decode steps of its other requests, in milliseconds. */
  readonly decodeEngineMs: number
  /** Remaining time for the prefill to meet the latency target, in milliseconds; negative when the target is missed already. */
  readonly remainingMs: number
}

/** Decides where a prompt is prefilled. */
export abstract class PrefillPlacement {
  /**
   * Chooses the location of the prefill.
   *
   * @param options - Expected costs of the prefill.
   * @returns The location.
   */
  abstract choose (options: PrefillPlacementOptions): PrefillLocation

  /**
   * Estimates the duration of the prefill in the chosen location.
   *
   * @param options - Expected costs of the prefill.
   * @returns Expected time until the prefill is complete, in milliseconds.
   */
  expectedMs (options: PrefillPlacementOptions): number {
    return this.choose(options) === PrefillLocation.Prefill ? options.prefillEngineMs ?? 0 : options.decodeEngineMs
  }
}

/** Baseline: uses the decode engine only when there is no prefill engine. */
export class DedicatedPrefillPlacement extends PrefillPlacement {
  /** {@inheritDoc PrefillPlacement.choose} */
  choose ({ prefillEngineMs }: PrefillPlacementOptions): PrefillLocation {
    return prefillEngineMs === undefined ? PrefillLocation.Decode : PrefillLocation.Prefill
  }
}

/**
 * Uses the decode engine when the prefill engines are overloaded, for example in a burst or after some of them have failed.
 * A prompt is prefilled at the decode engine only if it meets the latency target there and would miss it at a prefill engine:
 * prefill at a decode engine slows down the other requests of that engine, which does not pay off in any other case.
 */
export class LatencyTargetPlacement extends PrefillPlacement {
  /** {@inheritDoc PrefillPlacement.choose} */
  choose ({ prefillEngineMs, decodeEngineMs, remainingMs }: PrefillPlacementOptions): PrefillLocation {
    if (prefillEngineMs === undefined) return PrefillLocation.Decode
    return prefillEngineMs > remainingMs && decodeEngineMs <= remainingMs ? PrefillLocation.Decode : PrefillLocation.Prefill
  }
}
