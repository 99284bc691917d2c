import { StreamTimeouts } from '../ports/JaymillEngineClient.js'
import { MIN_FIRST_TOKEN_MS, MIN_INTER_TOKEN_MS, STALL_FACTOR } from './constants.js'

/** Expected latencies of one request. */
export interface ExpectedLatency {
  /** Expected time of prefill, KV transfer and first token, in milliseconds. */
  readonly firstTokenMs: number
  /** Expected time between tokens, in milliseconds. */
  readonly interTokenMs: number
  /** Time left until the deadline, in milliseconds. */
  readonly remainingMs: number
}

/**
 * Derives the stall timeouts of a stream from its expected latencies.
 *
 * @param expected - Latencies expected from the prompt length, the targets of the route and observed times.
 * @returns Timeouts without a token; never longer than the time left until the deadline.
 */
export function stallTimeouts (expected: ExpectedLatency): StreamTimeouts {
  const timeoutMs = (expectedMs: number, minMs: number): number =>
    Math.max(1, Math.min(expected.remainingMs, Math.max(minMs, STALL_FACTOR * expectedMs)))
  return {
    firstTokenMs: timeoutMs(expected.firstTokenMs, MIN_FIRST_TOKEN_MS),
    interTokenMs: timeoutMs(expected.interTokenMs, MIN_INTER_TOKEN_MS)
  }
}
