/** Longest wait of one request for changes, in milliseconds; bounds the time until a dead connection is detected. */
export const CHANGES_WAIT_MS = 2_000

/** Time that a response may take beyond the wait of its request, in milliseconds. */
export const SOURCE_RESPONSE_MARGIN_MS = 1_000

/** Initial backoff after a failed read, in milliseconds. */
export const SOURCE_RETRY_FIRST_MS = 50

/** Maximum backoff after failed reads, in milliseconds; small compared with the time limit for a new configuration to take effect. */
export const SOURCE_RETRY_MAX_MS = 500

/** Time without a response after which records may have expired unnoticed, in milliseconds. */
export const SOURCE_OUTAGE_MS = 1_000

/** Interval between checks for endpoints that were not published again after an outage, in milliseconds. */
export const EXPIRE_INTERVAL_MS = 100

/** Recent updates that are kept for hosts that get their state from this one; more than arrive between two heartbeats. */
export const CHANGES_KEPT = 64

/** Interval between checks whether this host has to follow the source, in milliseconds. */
export const FOLLOW_CHECK_INTERVAL_MS = 250
