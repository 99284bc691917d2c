/** Maximum number of different values of one label; others are counted as `other`. */
export const MAX_LABEL_VALUES = 64
/** Histogram buckets of the time to first token, in seconds. */
export const TTFT_BUCKETS_S = [0.05, 0.1, 0.25, 0.5, 0.94, 1.5, 2.5, 5, 10, 30]
/** Histogram buckets of the mean inter-token latency, in seconds. */
export const INTER_TOKEN_BUCKETS_S = [0.005, 0.01, 0.02, 0.031, 0.05, 0.1, 0.25, 1]
/** Milliseconds in a second. */
export const MS_PER_SECOND = 1_000
/** Microseconds in a second. */
export const US_PER_SECOND = 1_000_000
