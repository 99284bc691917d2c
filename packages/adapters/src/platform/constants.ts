/** Largest published value, in bytes. */
export const MAX_VALUE_BYTES = 1_000_000
/** Largest answer of the platform: a value in base64 and the members around it, in bytes. */
export const MAX_ANSWER_BYTES = 1_400_000
/** Pause after the first failure, in milliseconds. */
export const FIRST_BACKOFF_MS = 200
/** Largest exponent of the growing pause. */
export const MAX_BACKOFF_DOUBLINGS = 10
/** Least share of a pause that randomness leaves. */
export const MIN_JITTER_SHARE = 0.5
/** The service adds up to this share of the wait to a query, as it publishes. */
export const SERVICE_WAIT_JITTER = 1 / 16
/** Reads that may follow each other at once; both documents are read at the start. */
export const READ_BURST = 2
/** Milliseconds in a second. */
export const SECOND_MS = 1_000
