/** Time between heartbeats to one partner, in milliseconds. */
export const HEARTBEAT_INTERVAL_MS = 2_000
/** Number of partners to which a host sends heartbeats. */
export const HEARTBEAT_PARTNERS = 5
/** Time without a heartbeat after which a host is probed, in milliseconds. */
export const PROBE_AFTER_MS = 3 * HEARTBEAT_INTERVAL_MS
/** Time without a heartbeat after which a host becomes suspect, in milliseconds. */
export const SUSPECT_AFTER_MS = 4 * HEARTBEAT_INTERVAL_MS
/** Time after which a suspect host is considered gone, in milliseconds. */
export const GONE_AFTER_SUSPECT_MS = 12_000
/** A longer gap between two ticks means that the process was paused, in milliseconds. */
export const PAUSE_GAP_MS = 5_000
/** Maximum number of overdue hosts probed in one tick. */
export const MAX_PROBES = 4
/** Maximum number of updates in one heartbeat. */
export const MAX_UPDATES_PER_HEARTBEAT = 12
/** Number of times that an update is sent, for each doubling of the number of hosts. */
export const RETRANSMIT_FACTOR = 3
/** Maximum number of queued updates. */
export const MAX_QUEUED_UPDATES = 512
/** Lifetime of a report of a leaving endpoint, in milliseconds. */
export const LEAVING_REPORT_TTL_MS = 30_000
/** Maximum number of reports of leaving endpoints in one heartbeat. */
export const MAX_LEAVING_REPORTS_PER_HEARTBEAT = 32
/** Maximum number of stored reports of leaving endpoints. */
export const MAX_LEAVING_REPORTS = 1_024
/** Maximum rate at which health summaries are sent, in characters per second. */
export const HEALTH_SUMMARY_CHARS_PER_SECOND = 4_000
