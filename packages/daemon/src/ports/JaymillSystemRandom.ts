import { Random } from '@jaymill/core'

/** Randomness of the machine. */
export class SystemRandom extends Random {
  /** {@inheritDoc @jaymill/core#Random.next} */
  next (): number {
    return Math.random()
  }
}
