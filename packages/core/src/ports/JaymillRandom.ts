import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64'
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus'
import type { RandomGenerator } from 'pure-rand/types/RandomGenerator'

/** Source of randomness. Decision logic uses it and never calls `Math.random` directly. */
export abstract class Random {
  /**
   * Returns the next random number.
   *
   * @returns A number in [0, 1).
   */
  abstract next (): number
}

/** Deterministic generator (xoroshiro128+). */
export class SeededRandom extends Random {
  private readonly _generator: RandomGenerator

  /**
   * @param seed - Integer seed; the same seed gives the same sequence.
   */
  constructor (seed: number) {
    super()
    this._generator = xoroshiro128plus(seed)
  }

  /** {@inheritDoc Random.next} */
  next (): number {
    return uniformFloat64(this._generator)
  }
}
