import { InvariantError } from './errors/JaymillError.js'

/**
 * Asserts a condition that only a programming error can break.
 *
 * @param cond - Condition that must hold.
 * @param message - What was assumed.
 * @throws InvariantError when the condition is false.
 */
export function invariant (cond: unknown, message: string): asserts cond {
  if (cond === false || cond === null || cond === undefined) throw new InvariantError(message)
}
