/** Length of the window of latency observations, in milliseconds. */
export const WINDOW_MS = 10_000
/** Maximum number of samples per endpoint and measure. */
export const MAX_SAMPLES = 64
/** Minimum number of samples for judging an endpoint. */
export const MIN_SAMPLES = 5
/** Minimum number of samples that a host shares; several hosts together reach `MIN_SAMPLES`. */
export const MIN_SHARED_SAMPLES = 2
/** Maximum weight of a single host in the score of an endpoint, in samples. */
export const MAX_HOST_SAMPLES = 32
/** Consistency factor of the median absolute deviation for a normal distribution. */
export const MAD_TO_SIGMA = 1.4826
/** Minimum spread of the log latency ratio; smaller differences are noise. */
export const MIN_SIGMA = 0.1
/** Robust standard deviations at which the weight of an endpoint is reduced. */
export const REDUCE_SIGMAS = 3
/** Robust standard deviations at which an endpoint may be ejected. */
export const EJECT_SIGMAS = 6
/** Minimum latency relative to the pool at which an endpoint may be ejected. */
export const EJECT_SLOWNESS = 3
/** Maximum share of a pool that is ejected at the same time. */
export const MAX_EJECTED_SHARE = 0.34
/** Consecutive failures that eject an endpoint. */
export const EJECT_FAILURES = 3
/** Duration of the first ejection, in milliseconds; it doubles with each further one. */
export const EJECT_MS = 5_000
/** Maximum duration of an ejection, in milliseconds. */
export const MAX_EJECT_MS = 60_000
/** Weight of an endpoint that is being probed after an ejection. */
export const PROBE_WEIGHT = 0.05
/** Minimum weight of a slow endpoint that is not ejected. */
export const MIN_WEIGHT = 0.05
/** Maximum number of entries in the latency summary of a host. */
export const MAX_SUMMARY_ENTRIES = 16
/** Time after which the latency summary of a peer expires, in milliseconds. */
export const SUMMARY_TTL_MS = 10_000
/** Maximum number of hosts whose summaries are stored. */
export const MAX_SUMMARY_HOSTS = 512
/** Maximum share of lookups that are hedged. */
export const HEDGE_SHARE = 0.05
/** Hedges that may be sent in a burst. */
export const HEDGE_BURST = 10
/** Minimum number of observations for a percentile. */
export const HEDGE_MIN_SAMPLES = 50
/** Latency percentile after which a lookup is hedged. */
export const HEDGE_PERCENTILE = 95
/** Time after which the histograms rotate and the older one is dropped, in milliseconds. */
export const HEDGE_WINDOW_MS = 30_000
/** Maximum latency that is recorded, in milliseconds; larger ones are clamped. */
export const HEDGE_MAX_MS = 600_000
/** Retries earned by each request. */
export const RETRY_SHARE = 0.1
/** Maximum number of retries that can accumulate. */
export const RETRY_BURST = 20
/** Maximum moves of running responses that can accumulate; more than a host runs on endpoints that fail together. */
export const MOVE_BURST = 128
/** Upper bound of the backoff before the first retry, in milliseconds. */
export const RETRY_BASE_MS = 25
/** Maximum backoff before a retry, in milliseconds. */
export const RETRY_MAX_MS = 1_000
/** Distinct crashes after which a request is refused, if one of them implicates it alone. */
export const QUARANTINE_CRASHES = 2
/** Distinct crashes after which a request is refused even if other suspects ran there each time. */
export const MAX_CRASHES = 3
/** Time after which a crash or clearing expires, in milliseconds. */
export const SUSPECT_TTL_MS = 600_000
/** Reports of a crash of the same endpoint within this time, in milliseconds, count as one crash. */
export const SAME_CRASH_MS = 10_000
/** Maximum number of suspects that are stored. */
export const MAX_SUSPECTS = 512
/** Maximum number of suspects in the summary of a host. */
export const MAX_SUSPECT_ENTRIES = 16
/** Time after which a peer's report that a suspect is running on an endpoint expires, in milliseconds. */
export const REMOTE_RUN_TTL_MS = 5_000
