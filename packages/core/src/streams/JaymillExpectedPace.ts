import { StreamPace } from '../ports/JaymillEngineClient.js'
import { MIN_FIRST_TOKEN_MS, MIN_INTER_TOKEN_MS, STALL_FACTOR } from './constants.js'

/** What is expected of one request. */
export interface PaceExpectation {
  /** Expected prefill, transfer and first token, in milliseconds. */
  readonly firstTokenMs: number
  /** Expected time between tokens, in milliseconds. */
  readonly interTokenMs: number
  /** Time left until the deadline, in milliseconds. */
  readonly remainingMs: number
}

/**
 * Derives the silence that counts as a stall from the request's own expected pace.
 *
 * @param expected - Expectation from the prompt's length, the route's targets and observed times.
 * @returns Allowed silences; never longer than the time left.
 */
export function stallPace (expected: PaceExpectation): StreamPace {
  const limit = (ms: number, least: number): number =>
    Math.max(1, Math.min(expected.remainingMs, Math.max(least, STALL_FACTOR * ms)))
  return {
    firstTokenMs: limit(expected.firstTokenMs, MIN_FIRST_TOKEN_MS),
    interTokenMs: limit(expected.interTokenMs, MIN_INTER_TOKEN_MS)
  }
}
