import { RETRY_DEADLINE_SHARE } from './constants.js'

/**
 * Tells whether a request is probably the retry of a caller that was refused: it names only the time that is left of the caller's first
 * deadline. Callers choose deadlines around the time limit of the route, so that only a clearly shorter one says so.
 *
 * @param deadlineMs - Time for which the caller waits, in milliseconds; `undefined` when it names none.
 * @param timeoutMs - Time limit of its route, in milliseconds.
 * @returns Whether it is probably a retry.
 */
export function isProbablyRetry (deadlineMs: number | undefined, timeoutMs: number): boolean {
  return deadlineMs !== undefined && deadlineMs < timeoutMs * RETRY_DEADLINE_SHARE
}
