/** Time that observations count for. */
export const WINDOW_MS = 10_000
/** Samples kept for each endpoint and measure. */
export const MAX_SAMPLES = 64
/** Samples from which an endpoint is judged. */
export const MIN_SAMPLES = 5
/** Samples from which a host shares what it saw; several hosts together reach `MIN_SAMPLES`. */
export const MIN_SHARED_SAMPLES = 2
/** Share of the evidence on one endpoint that a single host may have, in samples. */
export const MAX_HOST_SAMPLES = 32
/** Consistency factor of the median absolute deviation for a normal distribution. */
export const MAD_TO_SIGMA = 1.4826
/** Least spread of the logarithm of speed; smaller differences are noise. */
export const MIN_SIGMA = 0.1
/** Robust deviations from which an endpoint gets less work. */
export const REDUCE_SIGMAS = 3
/** Robust deviations from which an endpoint may be ejected. */
export const EJECT_SIGMAS = 6
/** Least slowness, against the pool, of an ejected endpoint. */
export const EJECT_SLOWNESS = 3
/** Largest share of a pool that is ejected at once. */
export const MAX_EJECTED_SHARE = 0.34
/** Failures in a row that eject an endpoint. */
export const EJECT_FAILURES = 3
/** First ejection; it doubles with each one that follows. */
export const EJECT_MS = 5_000
/** Longest ejection. */
export const MAX_EJECT_MS = 60_000
/** Weight of an endpoint that is being probed back. */
export const PROBE_WEIGHT = 0.05
/** Least weight of a slow endpoint that is not ejected. */
export const MIN_WEIGHT = 0.05
/** Entries of one host's digest. */
export const MAX_DIGEST_ENTRIES = 16
/** Time for which a peer's digest counts. */
export const DIGEST_TTL_MS = 10_000
/** Hosts whose digests are kept. */
export const MAX_DIGEST_HOSTS = 512
/** Share of lookups that may be hedged. */
export const HEDGE_SHARE = 0.05
/** Hedges that may follow one another at once. */
export const HEDGE_BURST = 10
/** Observations from which a percentile is trusted. */
export const HEDGE_MIN_SAMPLES = 50
/** Percentile after which a lookup is hedged. */
export const HEDGE_PERCENTILE = 95
/** Time after which the older half of the observations is dropped. */
export const HEDGE_WINDOW_MS = 30_000
/** Largest latency that is recorded. */
export const HEDGE_MAX_MS = 600_000
/** Retries allowed for each request. */
export const RETRY_SHARE = 0.1
/** Retries that may be saved up. */
export const RETRY_BURST = 20
/** Moves of running answers that may be saved up; more than a host runs on endpoints that fail together. */
export const MOVE_BURST = 128
/** Wait before the first retry. */
export const RETRY_BASE_MS = 25
/** Longest wait before a retry. */
export const RETRY_MAX_MS = 1_000
/** Separate deaths after which a request is refused. */
export const QUARANTINE_DEATHS = 2
/** Deaths after which it is refused even if other suspects were there each time. */
export const MAX_DEATHS = 3
/** Time for which a suspicion lasts. */
export const SUSPICION_TTL_MS = 600_000
/** Reports of an endpoint's death within this time are one death. */
export const SAME_DEATH_MS = 10_000
/** Fingerprints that are kept. */
export const MAX_SUSPECTS = 512
/** Suspects in one host's digest. */
export const MAX_SUSPECT_ENTRIES = 16
/** Time for which a peer's statement that a suspect runs somewhere counts. */
export const REMOTE_RUN_TTL_MS = 5_000
