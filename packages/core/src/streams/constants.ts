/** Consecutive resumes without a new token before the request moves to another endpoint. */
export const MAX_RESUMES = 2
/** Maximum number of moves of one request to another endpoint. */
export const MAX_MOVES = 4
/** Stall timeout as a multiple of the expected latency. */
export const STALL_FACTOR = 8
/** Minimum stall timeout before the first token, in milliseconds. */
export const MIN_FIRST_TOKEN_MS = 2_000
/** Minimum stall timeout between tokens, in milliseconds. */
export const MIN_INTER_TOKEN_MS = 750
/** Maximum size of one response, in bytes. */
export const MAX_RESPONSE_BYTES = 1_048_576
/** Maximum size of all stored responses of a host, in bytes. */
export const MAX_STORED_BYTES = 16_777_216
/** Maximum number of stored responses of a host. */
export const MAX_STORED_RESPONSES = 4_096
/** Retention time of an ended response, so that a retry can read it, in milliseconds. */
export const RESPONSE_RETENTION_MS = 120_000
/** Memory overhead counted for each token, in bytes. */
export const TOKEN_OVERHEAD_BYTES = 48
