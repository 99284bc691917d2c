/** Time between heartbeats to one partner, in milliseconds. */
export const HEARTBEAT_INTERVAL_MS = 2_000
/** Partners that a host sends heartbeats to. */
export const HEARTBEAT_PARTNERS = 5
/** Silence after which a host is asked once more, in milliseconds. */
export const PROBE_AFTER_MS = 3 * HEARTBEAT_INTERVAL_MS
/** Silence after which a host is suspect, in milliseconds. */
export const SUSPECT_AFTER_MS = 4 * HEARTBEAT_INTERVAL_MS
/** Time that a host stays suspect before it is gone, in milliseconds. */
export const GONE_AFTER_SUSPECT_MS = 12_000
/** Gap between two ticks that shows that the process was paused, in milliseconds. */
export const PAUSE_GAP_MS = 5_000
/** Most suspect hosts that are probed in one tick. */
export const MAX_PROBES = 4
/** Most updates in one heartbeat. */
export const MAX_UPDATES_PER_BEAT = 12
/** Times that an update is passed on, for each doubling of the number of hosts. */
export const UPDATE_ROUNDS = 3
/** Most updates that wait to be passed on. */
export const MAX_QUEUED_UPDATES = 512
/** Time that a report of a leaving endpoint holds, in milliseconds. */
export const LEAVING_MARK_MS = 30_000
/** Most reports of leaving endpoints in one heartbeat. */
export const MAX_MARKS_PER_BEAT = 32
/** Most reports of leaving endpoints that are kept. */
export const MAX_MARKS = 1_024
/** Rate at which health digests are sent, in characters per second. */
export const DIGEST_CHARS_PER_SECOND = 4_000
