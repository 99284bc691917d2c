import { Random } from '@jaymill/core'

/** Random numbers from `Math.random`. */
export class SystemRandom extends Random {
  /** {@inheritDoc @jaymill/core#Random.next} */
  next (): number {
    return Math.random()
  }
}
