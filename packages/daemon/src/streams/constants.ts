/** Tokens between two observations of an endpoint's pace. */
export const OBSERVE_EVERY_TOKENS = 4
/** Expected time of a prefill apart from its tokens. */
export const PREFILL_BASE_MS = 20
/** Expected time of each prompt token. */
export const PREFILL_MS_PER_TOKEN = 0.05
/** Wait before booking again for an answer that has begun, when nothing was free. */
export const REBOOK_MS = 100
/** Milliseconds of a second. */
export const MS_PER_SECOND = 1_000
