/** Resumes in a row without a new token before the request moves to another endpoint. */
export const MAX_RESUMES = 2
/** Endpoints that one request may move to after failures. */
export const MAX_MOVES = 4
/** Silence, in multiples of the expected pace, that counts as a stall. */
export const STALL_FACTOR = 8
/** Least silence before the first token that counts as a stall. */
export const MIN_FIRST_TOKEN_MS = 2_000
/** Least silence between tokens that counts as a stall. */
export const MIN_INTER_TOKEN_MS = 750
/** Bytes of one answer. */
export const MAX_ANSWER_BYTES = 1_048_576
/** Bytes of all kept answers of a host. */
export const MAX_KEPT_BYTES = 16_777_216
/** Answers kept by a host. */
export const MAX_KEPT_ANSWERS = 4_096
/** Time for which an ended answer stays for a resend. */
export const KEEP_ANSWER_MS = 120_000
/** Bytes of bookkeeping counted for each token. */
export const TOKEN_OVERHEAD_BYTES = 48
