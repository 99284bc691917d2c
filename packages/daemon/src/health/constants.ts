/** Time for which computed weights are used again. */
export const WEIGHTS_MS = 250
/** Characters of the digest in a heartbeat. */
export const MAX_DIGEST_CHARS = 4_096
/** Copies of one idempotent call, hedges and retries together. */
export const MAX_SERVICE_ATTEMPTS = 3
