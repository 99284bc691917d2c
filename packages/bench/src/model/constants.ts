/** Number of hosts in a walk; each published list contains some of them. */
export const WALK_HOSTS = 5

/** Time between two rounds of ticks and deliveries, in milliseconds. */
export const ROUND_MS = 50

/** Number of latest keys that are retried. */
export const RECENT_KEYS = 4

/** Number of actions in a walk. */
export const WALK_ACTIONS = 120

/** Default number of walks of the model check. */
export const DEFAULT_RUNS = 2_000

/** True wall-clock time at the start of a walk, in milliseconds. */
export const WALK_EPOCH_MS = 1_700_000_000_000

/** Share of permitted requests that are sent immediately. */
export const IMMEDIATE_SEND_SHARE = 0.5

/** Number of latest open sends from which the next one is selected; some may already be marked as sent. */
export const RECENT_SENDS = 4

/** Number of bookings that arrive per round. */
export const BOOKINGS_PER_ROUND = 5

/** Delay between a membership change and the list that reflects it, in milliseconds. */
export const LIST_LAG_MS = 5_000

/** Duration of a partition and of the other short scenarios, in milliseconds. */
export const PARTITION_MS = 60_000

/** Duration of an outage of the configuration source, in milliseconds. */
export const OUTAGE_MS = 600_000

/** Number of times that a caller retries an undecided booking. */
export const MAX_CALLER_RETRIES = 10

/** Number of times that an entry host retries a booking without a key. */
export const MAX_ENTRY_RETRIES = 8

/** Time between a caller's retries, in milliseconds. */
export const CALLER_RETRY_INTERVAL_MS = 500

/** Duration of the cost measurement, in seconds of simulated time. */
export const COST_SECONDS = 600

/** Number of keys sampled to measure the share that becomes undecided after a list change. */
export const KEPT_RANGE_KEYS = 2_000

/** Allowed sampling error of that share. */
export const KEPT_RANGE_SAMPLING = 0.03

/** Number of key ranges of a large fleet. */
export const GROUP_RANGES = 128

/** Number of availability zones of a large fleet; the first three form one region. */
export const GROUP_ZONES = 5
