import { InvariantError } from './errors/JaymillError.js'

/**
 * Asserts a condition that only a programming error can violate.
 *
 * @param condition - Condition that must hold.
 * @param message - Description of the condition, for the error.
 * @throws InvariantError when the condition is `false`, `null` or `undefined`.
 */
export function invariant (condition: unknown, message: string): asserts condition {
  if (condition === false || condition === null || condition === undefined) throw new InvariantError(message)
}
