/** Time without a renewal after which a grant expires, in milliseconds. */
export const GRANT_TTL_MS = 3_000

/** Pause between renewals of a held grant, in milliseconds. */
export const GRANT_RENEW_MS = 1_000

/** Longest time between a grant and its first use on the endpoint, in milliseconds. */
export const GRANT_USE_BY_MS = 1_500

/** Time for which a new owner grants nothing, in milliseconds; longer than `GRANT_USE_BY_MS` by a transfer. */
export const HOLD_OFF_MS = 2_000

/** Time for which a released grant id is remembered, in milliseconds. */
export const RELEASE_MEMORY_MS = 10_000

/** Longest wait for an owner's answer before the deputy is asked, in milliseconds. */
export const OWNER_WAIT_MS = 100

/** Time for which an owner that did not answer is not asked again, in milliseconds. */
export const OWNER_SILENT_MS = 1_000

/** Longest lag of a transfer behind its booked start, in milliseconds; a prefill result lives under a second. */
export const MAX_LINK_LAG_MS = 300

/** Weight of a host in the endpoint's availability zone; other hosts have weight 1. */
export const SAME_ZONE_WEIGHT = 16

/** Share of the slots that the deputy may grant while the owner is silent. */
export const DEPUTY_SHARE = 0.05

/** Fewest slots of an endpoint that has a deputy share. */
export const DEPUTY_MIN_SLOTS = 8

/** Cost of another availability zone, in milliseconds. */
export const CROSS_ZONE_COST_MS = 2

/** Cost of a fully loaded endpoint against an idle one, as a share of the expected time on it. */
export const LOAD_COST_SHARE = 0.5

/** Random part of a cost, in milliseconds; keeps hosts with equal facts from choosing alike. */
export const COST_JITTER_MS = 1

/** Silence of one host after which its requests are cancelled, in milliseconds. */
export const ORPHAN_SILENCE_MS = 3_000

/** Wait before requests of a host that no list has named are cancelled, in milliseconds. */
export const UNKNOWN_HOST_WAIT_MS = 30_000

/** Wait before requests of hosts that fell silent together are cancelled, in milliseconds. */
export const PARTITION_WAIT_MS = 30_000

/** Share of silent hosts above which silence is taken for a partition. */
export const PARTITION_SHARE = 0.3
