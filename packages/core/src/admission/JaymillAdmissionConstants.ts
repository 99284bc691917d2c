/** Maximum items that one class may queue on one host. */
export const MAX_QUEUED_PER_CLASS = 256

/** Requests of higher classes that may start before a waiting class gets its turn, by class. */
export const PASSED_OVER_LIMIT = { booking: 1_000, lookup: 16, verdict: 8, summary: 4 } as const

/** Weight of the newest interval in the moving average of the time between starts. */
export const START_INTERVAL_WEIGHT = 0.1

/** Minimum retry delay given with a refusal, in milliseconds. */
export const MIN_RETRY_AFTER_MS = 250

/** Time for which leased tokens may be used, in milliseconds. */
export const TOKEN_LEASE_MS = 1_000

/** Maximum tokens that an account may accumulate, expressed as time at its rate, in milliseconds. */
export const BURST_MS = 1_000

/** Maximum reservations that one queue requests concurrently; a refusal lowers the limit to one. */
export const MAX_RESERVATIONS_IN_FLIGHT = 4
