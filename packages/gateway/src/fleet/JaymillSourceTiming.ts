import {
  CHANGES_WAIT_MAX_MS, CHANGES_WAIT_SHARE, RESPONSE_MARGIN_MAX_MS, RESPONSE_MARGIN_SHARE, SOURCE_TIMING_MIN_MS
} from './constants.js'

/** Times of the requests to a configuration source. */
export interface SourceTiming {
  /** Longest wait of one request for changes, in milliseconds. */
  readonly waitMs: number
  /** Time that a response may take beyond the wait of its request, in milliseconds. */
  readonly marginMs: number
}

/**
 * Derives the times of requests from the bound within which a configuration must take effect: a request that will never be answered
 * has to be noticed early enough for another one to return within the bound.
 *
 * @param boundMs - Longest time until a published configuration takes effect on every host, in milliseconds.
 * @returns The times.
 */
export function sourceTiming (boundMs: number): SourceTiming {
  return {
    waitMs: Math.round(within(boundMs * CHANGES_WAIT_SHARE, CHANGES_WAIT_MAX_MS)),
    marginMs: Math.round(within(boundMs * RESPONSE_MARGIN_SHARE, RESPONSE_MARGIN_MAX_MS))
  }
}

function within (ms: number, maxMs: number): number {
  return Math.min(maxMs, Math.max(SOURCE_TIMING_MIN_MS, ms))
}
