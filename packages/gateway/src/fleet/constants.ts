/** Longest wait of one question for changes, in milliseconds; bounds the time until a connection that has gone silent is noticed. */
export const CHANGES_WAIT_MS = 2_000

/** Time that an answer may take beyond its wait, in milliseconds. */
export const SOURCE_ANSWER_MS = 1_000

/** First pause after a failed read, in milliseconds. */
export const SOURCE_RETRY_FIRST_MS = 50

/** Longest pause after failed reads, in milliseconds; small against the bound of the configuration. */
export const SOURCE_RETRY_MAX_MS = 500

/** Time without an answer after which records may have lapsed unseen, in milliseconds. */
export const SOURCE_OUTAGE_MS = 1_000

/** Pause between two looks for endpoints that did not come back, in milliseconds. */
export const EXPIRE_INTERVAL_MS = 100

/** Recent changes that are kept for hosts that learn from this one; more than come in the time between two beacons. */
export const CHANGES_KEPT = 64

/** Pause between two looks whether this host has to follow the source, in milliseconds. */
export const READER_CHECK_MS = 250
