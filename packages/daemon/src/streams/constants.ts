/** Number of tokens between two observations of an endpoint's inter-token latency. */
export const OBSERVE_EVERY_TOKENS = 4
/** Expected fixed time of a prefill, in milliseconds. */
export const PREFILL_BASE_MS = 20
/** Expected prefill time per prompt token, in milliseconds. */
export const PREFILL_MS_PER_TOKEN = 0.05
/** Delay before retrying a reservation for a response that has already started, if no endpoint had capacity, in milliseconds. */
export const RESERVATION_RETRY_MS = 100
/** Milliseconds per second. */
export const MS_PER_SECOND = 1_000
