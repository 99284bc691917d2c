/** Hosts that exist in a walk; each published list names some of them. */
export const WALK_HOSTS = 5

/** Time between two rounds of ticks and deliveries, in milliseconds. */
export const ROUND_MS = 50

/** Keys that are still resent. */
export const LIVE_KEYS = 4

/** Actions of one walk. */
export const WALK_ACTIONS = 120

/** Runs of the long model check. */
export const DEFAULT_RUNS = 2_000

/** True wall-clock time at which a walk begins, in milliseconds. */
export const WALK_EPOCH_MS = 1_700_000_000_000

/** Share of permitted requests that are sent at once. */
export const SEND_AT_ONCE = 0.5

/** Open sends from which the next one is drawn. */
export const LATEST_SENDS = 4

/** Bookings that arrive in one round. */
export const BOOKINGS_PER_ROUND = 5

/** Time after which a list follows a change, in milliseconds. */
export const LIST_LAG_MS = 5_000

/** Length of a partition and of the other short scenarios, in milliseconds. */
export const PARTITION_MS = 60_000

/** Length of a platform outage, in milliseconds. */
export const OUTAGE_MS = 600_000

/** Times a caller resends an undecided booking. */
export const RESENDS = 10

/** Times an entry host tries a booking without a key again. */
export const ENTRY_TRIES = 8

/** Time between resends, in milliseconds. */
export const RESEND_MS = 500

/** Length of the cost measurement, in seconds of manual time. */
export const COST_SECONDS = 600

/** Keys drawn to measure how many a list change disturbs. */
export const KEPT_RANGE_KEYS = 2_000

/** Sampling error allowed in that share. */
export const KEPT_RANGE_SAMPLING = 0.03

/** Key ranges of a large fleet. */
export const GROUP_RANGES = 128

/** Availability zones of a large fleet; the first three are one region. */
export const GROUP_ZONES = 5
