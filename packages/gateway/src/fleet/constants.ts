/** Wait of one request for changes, as a share of the bound for a configuration to take effect. */
export const CHANGES_WAIT_SHARE = 0.4

/** Longest wait of one request for changes, in milliseconds. */
export const CHANGES_WAIT_MAX_MS = 2_000

/**
 * Time that a response may take beyond the wait of its request, as a share of the same bound. What both shares leave is for a new
 * connection and a complete read.
 */
export const RESPONSE_MARGIN_SHARE = 0.4

/** Longest time that a response may take beyond the wait of its request, in milliseconds. */
export const RESPONSE_MARGIN_MAX_MS = 1_000

/** Shortest wait and shortest margin, in milliseconds: an overloaded source is not asked more often. */
export const SOURCE_TIMING_MIN_MS = 250

/** Initial backoff after a failed read, in milliseconds. */
export const SOURCE_BACKOFF_FIRST_MS = 50

/** Maximum backoff after failed reads, in milliseconds; short compared with the time limit for a new configuration to take effect. */
export const SOURCE_BACKOFF_MAX_MS = 500

/** Time without a response after which records may have expired unnoticed, in milliseconds. */
export const SOURCE_OUTAGE_MS = 1_000

/** Interval between checks for endpoints that were not published again after an outage, in milliseconds. */
export const EXPIRE_INTERVAL_MS = 100

/** Maximum number of recent updates stored for hosts that get their state from this one; more than arrive between two heartbeats. */
export const MAX_STORED_CHANGES = 64

/** Interval between checks whether this host has to follow the source, in milliseconds. */
export const FOLLOW_CHECK_INTERVAL_MS = 250

/** Time for which the changes of an update are sent along with messages to other hosts, in milliseconds; some digests. */
export const RECENT_CHANGES_MS = 3_000

/** Shortest time for which a starting host waits for the state of another host before it reads from the source, in milliseconds. */
export const PEER_STATE_WAIT_MS = 800

/** Random time added to it, in milliseconds; spreads the reads of a fleet whose seeds are all down. */
export const PEER_STATE_JITTER_MS = 1_200

/** Interval between checks for the state of another host, in milliseconds. */
export const PEER_STATE_CHECK_MS = 25

/** Maximum size of a response of the source, and of the state that another host sends, in bytes. */
export const MAX_DOCUMENT_BYTES = 8_388_608
