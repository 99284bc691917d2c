/** Time without a renewal after which a reservation expires, in milliseconds. */
export const RESERVATION_TTL_MS = 3_000

/** Interval between renewals of a held reservation, in milliseconds. */
export const RESERVATION_RENEW_MS = 1_000

/** Longest time between a reservation and its first use on the endpoint, in milliseconds. */
export const RESERVATION_USE_BY_MS = 1_500

/** Time without reservations by a new owner, in milliseconds: `RESERVATION_USE_BY_MS` plus the time of a KV transfer. */
export const HOLD_OFF_MS = 2_000

/** Retention time of the id of a released reservation, in milliseconds. */
export const RELEASED_ID_RETENTION_MS = 10_000

/** Longest wait for an owner's response before the backup owner is queried, in milliseconds. */
export const OWNER_TIMEOUT_MS = 100

/** Time for which an owner that did not respond is not queried again, in milliseconds. */
export const OWNER_UNREACHABLE_MS = 1_000

/** Longest lag of a transfer behind its reserved start, in milliseconds; engines keep a prefill result for less than a second. */
export const MAX_LINK_LAG_MS = 300

/** Weight of a host in the endpoint's availability zone; other hosts have weight 1. */
export const SAME_ZONE_WEIGHT = 16

/** Share of the slots that the backup owner may reserve while the owner is unreachable. */
export const BACKUP_OWNER_SHARE = 0.05

/** Minimum slots of an endpoint that has a backup owner's share. */
export const BACKUP_OWNER_MIN_SLOTS = 8

/** Penalty for an endpoint in another availability zone, in milliseconds. */
export const CROSS_ZONE_PENALTY_MS = 2

/** Cost of load as a share of the expected time, proportional to the used slots; a full endpoint costs that time in addition. */
export const LOAD_COST_SHARE = 0.5

/** Random part of a cost, in milliseconds; keeps hosts with the same information from choosing the same endpoint. */
export const COST_JITTER_MS = 1

/** Time without a message from one host after which its requests are cancelled, in milliseconds. */
export const ORPHAN_TIMEOUT_MS = 3_000

/** Wait before requests of a host that no list has contained are cancelled, in milliseconds. */
export const UNKNOWN_HOST_WAIT_MS = 30_000

/** Wait before requests of hosts that became unreachable together are cancelled, in milliseconds. */
export const PARTITION_WAIT_MS = 30_000

/** Share of unreachable hosts among the listed ones above which a partition is suspected, if there is more than one. */
export const PARTITION_SHARE = 0.3
