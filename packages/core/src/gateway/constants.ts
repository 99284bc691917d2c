/** Time for which a record that lapsed during an outage of the publisher may come back, in milliseconds (users' bound of about two seconds). */
export const ENDPOINT_RETURN_MS = 2_000

/** Time after which the memory of a call's outcome has faded to a third, in milliseconds; a few heartbeats of an endpoint. */
export const FAILURE_DECAY_MS = 4_000

/** First pause of an endpoint that was unreachable, in milliseconds; about one restart of a small process. */
export const SUSPECT_FIRST_MS = 500

/** Longest pause of an endpoint that stays unreachable, in milliseconds; records of dead endpoints lapse within about this time. */
export const SUSPECT_MAX_MS = 4_000

/** Parts of a retry budget's window. */
export const BUDGET_BUCKETS = 20

/** Cost of leaving the availability zone, in milliseconds: a round trip and a share of its price. */
export const CROSS_ZONE_PENALTY_MS = 2

/** Cost of an endpoint whose calls all fail, in milliseconds: one more round through the fleet. */
export const FAILURE_PENALTY_MS = 400

/** Random part of each cost, in milliseconds; keeps hosts that know the same from choosing the same. */
export const RANKING_JITTER_MS = 1

/** Weight of the newest measurement of an endpoint's pace. */
export const PACE_WEIGHT = 0.2
