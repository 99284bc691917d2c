/** Most different values of one label; further ones are counted as `other`. */
export const MAX_LABEL_VALUES = 64
/** Buckets of the time to the first token, in seconds. */
export const TTFT_BUCKETS_S = [0.05, 0.1, 0.25, 0.5, 0.94, 1.5, 2.5, 5, 10, 30]
/** Buckets of the mean time between tokens, in seconds. */
export const INTER_TOKEN_BUCKETS_S = [0.005, 0.01, 0.02, 0.031, 0.05, 0.1, 0.25, 1]
/** Milliseconds in a second. */
export const SECOND_MS = 1_000
/** Microseconds in a second. */
export const SECOND_US = 1_000_000
