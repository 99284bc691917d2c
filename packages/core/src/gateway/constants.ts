/** Grace period for records that expired during an outage of the publisher, in milliseconds (users' limit of about two seconds). */
export const ENDPOINT_GRACE_MS = 2_000

/** Time in which the weight of a call's outcome decays to about a third (1/e), in milliseconds; a few heartbeats of an endpoint. */
export const FAILURE_DECAY_MS = 4_000

/** First pause after an endpoint was unreachable, in milliseconds; about one restart of a small process. */
export const SUSPECT_FIRST_MS = 500

/** Longest pause of an endpoint that stays unreachable, in milliseconds; records of failed endpoints expire in about this time. */
export const SUSPECT_MAX_MS = 4_000

/** Number of buckets in the sliding window of a retry budget. */
export const BUDGET_BUCKETS = 20

/**
 * Time for which a host that is no longer known still shares the retry budget, in milliseconds: it may be cut off and retry
 * requests on its own.
 */
export const BUDGET_HOSTS_MEMORY_MS = 120_000

/** Penalty for another availability zone, in milliseconds: a round trip, plus an allowance for the price of the traffic. */
export const CROSS_ZONE_PENALTY_MS = 2

/** Penalty for an endpoint whose calls all fail, in milliseconds: one more attempt at another endpoint. */
export const FAILURE_PENALTY_MS = 400

/** Random jitter added to each cost, in milliseconds; keeps hosts with the same information from choosing the same endpoint. */
export const RANKING_JITTER_MS = 1

/** Largest number of requests in the reported load of an endpoint; larger ones are taken as this. */
export const REPORTED_REQUESTS_MAX = 100_000

/** Smallest and largest reported duration of work, relative to the usual one. */
export const REPORTED_SLOWNESS_MIN = 0.1
export const REPORTED_SLOWNESS_MAX = 10

/** Time in which the load that an endpoint has reported loses two thirds of its meaning (1/e remains), in milliseconds; several requests. */
export const REPORTED_LOAD_MEMORY_MS = 500

/** Share of a difference between endpoints in the reports of hosts that is expected to last; the rest is chance. */
export const REPORTED_WORK_SHARE = 0.25

/** Time in which the weight of a call in an endpoint's latency factor decays to about a third (1/e), in milliseconds. */
export const LATENCY_FACTOR_DECAY_MS = 6_000

/** Calls of average duration that the factor of an endpoint starts with. */
export const LATENCY_FACTOR_PRIOR_CALLS = 5

/** Smallest and largest factor of one call. */
export const LATENCY_FACTOR_MIN = 0.2
export const LATENCY_FACTOR_MAX = 10

/** Weights of a new sample in the moving average of a delay and in its mean deviation (RFC 6298). */
export const DELAY_MEAN_WEIGHT = 0.125
export const DELAY_DEVIATION_WEIGHT = 0.25

/** Mean deviations above the average that most delays do not exceed. */
export const DELAY_DEVIATIONS = 4

/** Largest sample of a delay, as a multiple of its bound. */
export const DELAY_MAX_GROWTH = 2

/** Time without samples in which the excess of the bound over its initial value decays to about a third (1/e), in milliseconds. */
export const DELAY_MEMORY_MS = 1_000

/** Factor by which each new measurement reduces the weight of earlier ones; about the last twenty measurements count. */
export const LATENCY_DECAY = 0.95

/** Minimum standard deviation of the measured work, relative to its mean, for separating fixed time from time per unit. */
export const LATENCY_MIN_SPREAD = 0.15

/** Weight of prefill utilization: a queue that is served one request at a time grows long before its server is fully used. */
export const PREFILL_UTILIZATION_WEIGHT = 1.3

/** Time before `callerDeadlineMs` from which a late request has priority, in milliseconds; some requests end within it. */
export const DEADLINE_PRIORITY_MS = 600

/** Shortest time that callers wait for the next event of a stream, in milliseconds (users' protocol). */
export const CALLER_TIMEOUT_MIN_MS = 2_000

/** Time that callers wait for the next event, as a multiple of the route's latency target (users' protocol). */
export const CALLER_TIMEOUT_TARGET_FACTOR = 4

/** Time that callers wait for the next event, as a multiple of the route's target between events (users' protocol). */
export const CALLER_TIMEOUT_GAP_FACTOR = 8

/** Time over which utilization is averaged, in milliseconds; longer than a burst, for which a role change would come too late. */
export const BALANCE_SMOOTH_MS = 8_000

/** Time with traffic before the first role change, in milliseconds. */
export const BALANCE_WARMUP_MS = 3_000

/** Cooldown between role changes, in milliseconds; several times the duration of a change. */
export const BALANCE_COOLDOWN_MS = 20_000

/** Highest share of the current utilization that may remain after a role change; a change costs its engines some seconds. */
export const BALANCE_MAX_REMAINING_SHARE = 0.9

/** Largest share of a role's engines to move at once: they accept no work for some seconds. */
export const BALANCE_MAX_MOVED_SHARE = 0.25

/** Utilization of the busier role below which no role is changed. */
export const BALANCE_MIN_UTILIZATION = 0.5

/** Utilization of the busier role below which not even an engine of a role that is nearly idle is moved. */
export const BALANCE_MIN_UTILIZATION_FROM_IDLE = 0.25

/** Utilization below which a role counts as nearly idle without the engines that leave it: a burst of twice the demand fits. */
export const BALANCE_IDLE_UTILIZATION = 0.3

/** Time over which a host averages the arrival rates of its requests, in milliseconds. */
export const DEMAND_SMOOTH_MS = 2_000

/**
 * Share of the route's time limit below which a caller's deadline indicates a retry: first deadlines are up to 15% shorter than the limit
 * (users' callers).
 */
export const RETRY_DEADLINE_SHARE = 0.8

/** Shortest retry delay for a refused caller, in milliseconds; about half the duration of a response. */
export const RETRY_AFTER_MIN_MS = 1_500

/** Longest retry delay for a refused caller, in milliseconds; callers wait for up to a third of their time limit. */
export const RETRY_AFTER_MAX_MS = 4_000

/** Largest random change of a retry delay, as a share; callers that were refused within a second return over as long. */
export const RETRY_SPREAD = 0.25

/** Part of the callers that have come back whose last chance counts as most urgent. */
export const PROTECTED_SHARE = 0.25

/** Part of a pool's KV cache in use from which less urgent requests yield. */
export const FULL_KV_SHARE = 0.8

/** Time over which the parts of ranks and accounts in the demand are averaged, in milliseconds. */
export const DEMAND_SHARE_MS = 8_000

/** Demand below which nothing is known of it, in KV cache tokens. */
export const MIN_DEMAND_TOKENS = 1

/** Demand of an account above which it yields, as a multiple of an equal part. */
export const ACCOUNT_PART_FACTOR = 2

/** Number of recent requests of an account from which its part is known. */
export const ACCOUNT_MIN_REQUESTS = 8

/** Assumed KV cache holding time before the first measurement, in milliseconds; a response of some hundred tokens. */
export const HOLDING_TIME_INITIAL_MS = 3_500

/** Weight of a new measurement in the moving average of the KV cache holding time. */
export const HOLDING_TIME_WEIGHT = 0.1

/** Share of an expected output that counts as occupied KV cache: more than the average over its growth, less than its end. */
export const OUTPUT_OCCUPIED_SHARE = 0.9

/** Share of an expected output for which KV cache is reserved: enough to be admitted and to begin. */
export const OUTPUT_RESERVED_SHARE = 0.25

/** KV cache that the baseline reserves for an output, as a multiple of its expected length. */
export const OUTPUT_MARGIN = 1.25

/** Samples that the assumption counts for that outputs are as long as their hints. */
export const OUTPUT_LENGTH_PRIOR_SAMPLES = 3

/** Variance of the logarithm of a hint that these samples have. */
export const OUTPUT_LENGTH_PRIOR_VARIANCE = 0.25

/** Time that the first utilization sample represents in the moving average, in milliseconds. */
export const BALANCE_FIRST_SAMPLE_MS = 500

/** Time with traffic before an engine may leave the decode role, in milliseconds: the first responses to end are the short ones. */
export const BALANCE_DECODE_WARMUP_MS = 12_000

/** Minimum number of engines that a change leaves in each role: with a single one, its loss would stop the pool. */
export const ROLE_MIN_ENGINES = 2

/** Interval between heartbeats of an idle host in a small fleet, in milliseconds. */
export const HOST_HEARTBEAT_INTERVAL_MS = 300

/** Time for which load changes are coalesced into one heartbeat, in milliseconds; about a round trip within a region. */
export const HOST_HEARTBEAT_COALESCE_MS = 5

/** Maximum datagrams per second of one host in a small fleet; allows two heartbeats during the prefill of one prompt. */
export const HOST_HEARTBEAT_DATAGRAMS_PER_S = 150

/** Time without a heartbeat after which a host of a small fleet counts as lost, in milliseconds; several lost heartbeats. */
export const HOST_HEARTBEAT_TIMEOUT_MS = 1_500

/** Number of other hosts from which on hosts report to relays instead of to each other, and only some read from the source. */
export const LARGE_FLEET_HOSTS = 16

/** Hosts per availability zone that relay the reports of the others: one, and another in case it is lost. */
export const RELAYS_PER_ZONE = 2

/** Shortest interval between two reports of one host to its relays, in milliseconds. */
export const REPORT_INTERVAL_MS = 500

/** Interval between reports of an idle host to its relays, in milliseconds. */
export const REPORT_IDLE_INTERVAL_MS = 1_000

/** Time without an answer after which a relay is replaced, and without a report after which a host's work is dropped, in milliseconds. */
export const RELAY_TIMEOUT_MS = 2_500

/** Time for which a relay that did not answer is not used again, in milliseconds. */
export const RELAY_RETRY_MS = 10_000

/** Time without a sign of a host of a large fleet after which it counts as lost, in milliseconds; a relay timeout and some digests. */
export const RELAYED_HOST_TIMEOUT_MS = 6_000

/** Time by which the work at the endpoints is known late in a large fleet, in milliseconds: a report, two digests and their delays. */
export const RELAYED_LOAD_AGE_MS = 2_000

/** Smallest random sample of endpoints from which the best is chosen ("power of two choices"). */
export const MIN_SAMPLED_ENDPOINTS = 2

/** Hosts per availability zone that read from the source while few zones are known: one, and another in case it is lost. */
export const READERS_PER_ZONE = 2

/** Number of availability zones from which on one reader each is enough, since the readers of the others replace a lost one. */
export const ZONES_WITH_ONE_READER = 3

/** Hosts per availability zone that keep trying during an outage of the source. */
export const READER_CANDIDATES_PER_ZONE = 5

/** Interval at which an engine that seems full is still probed, in milliseconds: load reports may be late or lost. */
export const FULL_ENGINE_PROBE_INTERVAL_MS = 250

/** Minimum of that interval per engine of the pool, in milliseconds: a host sends no more probes in a large pool than in a small one. */
export const FULL_ENGINE_PROBE_INTERVAL_PER_ENGINE_MS = 50

/** Time for which an engine is not probed after a refusal, per engine of the pool, in milliseconds. */
export const REFUSAL_BACKOFF_PER_ENGINE_MS = 20

/** Time after which the crash of an endpoint no longer counts against requests, in milliseconds: its cause may be gone by then. */
export const QUARANTINE_TTL_MS = 600_000

/** Time after a proof in which crashes do not count against the proven key, in milliseconds; engines and models may change later. */
export const PROOF_TTL_MS = 600_000

/** Age up to which hosts report crashes, in milliseconds: less than the TTL, so that no peer revives those that have expired. */
export const CRASH_REPORT_MAX_AGE_MS = 540_000

/** Age of a proof that no longer clears any crash, in milliseconds: the proof's TTL and that of the last crash within it. */
export const MAX_PROOF_AGE_MS = PROOF_TTL_MS + QUARANTINE_TTL_MS

/** Longest time between crashes with a common cause outside the engines, such as a rack failure, in milliseconds. */
export const SAME_INCIDENT_MS = 250

/** Incidents after which a request is quarantined: one alone would implicate all requests at the endpoint. */
export const REQUEST_QUARANTINE_INCIDENTS = 2

/** Incidents after which a part is quarantined even if the same request carried it each time. */
export const PART_QUARANTINE_INCIDENTS = 3

/** Incidents after which a part is quarantined if different requests carried it: they have fewer other keys in common. */
export const PART_QUARANTINE_INCIDENTS_OF_DIFFERENT_REQUESTS = 2

/** Latest requests of a host among which a quarantined key must refuse a large share to be probed. */
export const PROBE_WINDOW_REQUESTS = 32

/** Share of these requests above which a key is more likely shared by harmless requests than the cause of crashes. */
export const PROBE_MIN_SHARE = 0.5

/** Interval between the probes of all hosts together, in milliseconds: longer than a proof takes. */
export const PROBE_INTERVAL_MS = 2_000

/** Maximum number of crashes that a host keeps; limits memory and the time of a decision. */
export const MAX_STORED_CRASHES = 64

/** Maximum number of runs kept of one crash; more than usually start at one endpoint at the same time. */
export const MAX_STORED_RUNS = 32

/** Maximum number of prompt parts kept of one run; the deepest are the most specific. */
export const MAX_STORED_PARTS = 32

/** Maximum number of parts, and of requests, that are remembered as proven harmless; limits memory. */
export const MAX_PROVEN_KEYS = 4_096

/** Maximum number of crashes in a report; keeps the report within a datagram. */
export const MAX_REPORTED_CRASHES = 8

/** Maximum number of runs of a crash in a report; keeps the report within a datagram. */
export const MAX_REPORTED_RUNS = 8

/** Maximum number of prompt parts of a run in a report; keeps the report within a datagram. */
export const MAX_REPORTED_PARTS = 6

/** Maximum number of quarantined keys in a report; keeps the report within a datagram. */
export const MAX_REPORTED_QUARANTINED = 16

/** Maximum number of crashes reported for a quarantined key: as many as any host needs to quarantine it. */
export const MAX_REPORTED_WITNESSES = 3

/** Maximum number of proven keys in a report; keeps the report within a datagram. */
export const MAX_REPORTED_PROVEN = 16

/** Maximum length of a crash identifier or key from a peer, in UTF-16 code units; limits memory. */
export const MAX_REPORTED_KEY_LENGTH = 256

/** Largest accepted position of a part in a prompt from a peer; larger ones are malformed. */
export const MAX_REPORTED_DEPTH = 65_535

/** Window within which the requests to an endpoint with a rate limit are counted, in milliseconds. */
export const RATE_LIMIT_WINDOW_MS = 2_000

/** Lowest rate limit that hosts apply, in requests per second: an endpoint that accepts less could never lift its limit. */
export const RATE_LIMIT_MIN_PER_S = 0.1

/** Share of a rate limit that the assigned hosts of a large fleet use: hosts whose lists of hosts differ may assign one too many. */
export const ASSIGNED_RATE_SHARE = 0.9

/** Time without a response of an endpoint after which its rate limit no longer counts, in milliseconds. */
export const RATE_LIMIT_TTL_MS = 60_000

/** Endpoints that can't be reached in a row, without a response of the service, for a host to have lost its paths to the service. */
export const OUT_OF_REACH_ENDPOINTS = 3

/** Endpoints that accept no new connection, without another one that does, for a host to have lost its paths to the service. */
export const OUT_OF_REACH_CONNECT_FAILURES = 5

/** Number of such endpoints that leaves it in doubt. */
export const DOUBTFUL_ENDPOINTS = 2

/** Time for which such an endpoint counts, in milliseconds. */
export const CONNECT_FAILURE_MEMORY_MS = 5_000

/** Time for which a removed endpoint is remembered, in milliseconds; several times the age of a copy that the source is restored from. */
export const REMOVED_ENDPOINT_MEMORY_MS = 120_000

/** Time of each of the two decays by which the demand of an account is averaged, in milliseconds. */
export const QUOTA_DEMAND_SMOOTH_MS = 250

/** Time in which the weight of what callers have asked for lately decays to about a third (1/e), in milliseconds; some reports of a host. */
export const QUOTA_RECENT_MS = 2_000

/** Time without a report after which a source no longer counts, in milliseconds; some lost digests. */
export const QUOTA_SOURCE_TTL_MS = 4_500

/** Time for which the counts of an account that is not used are remembered, in milliseconds. */
export const QUOTA_MEMORY_MS = 60_000

/** Time in which the levels of hosts that count for themselves converge to about a third (1/e), in milliseconds. */
export const QUOTA_CONVERGENCE_MS = 5_000

/** Age from which a host's own count of an account is reported as its level, in milliseconds. */
export const QUOTA_LEVEL_AGE_MS = 2_000

/** Least number of units that a quota's bucket holds, in milliseconds of its rate. */
export const QUOTA_MIN_DEPTH_MS = 250

/** Share of the rate, and of the bucket, from which an account is so close to its limit that its use is reported often. */
export const QUOTA_BUSY_SHARE = 0.8
export const QUOTA_BUSY_LEVEL = 0.5

/** Share of the rate below which the demand for an account counts as none. */
export const QUOTA_IDLE_SHARE = 0.00001

/** Versions of the configuration for which a host remembers that it had them in force; more than come while hosts differ. */
export const MAX_ACCOUNT_VERSIONS = 32
