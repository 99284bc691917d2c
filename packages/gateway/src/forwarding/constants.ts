/** Maximum number of endpoints tried for one request, including those that refused to run it. */
export const MAX_TRIED_ENDPOINTS = 4

/** Minimum remaining time of a request for another call to be sent, in milliseconds. */
export const MIN_CALL_MS = 10

/** Longest time for which an endpoint can want no requests, in milliseconds; longer ones are taken as this. */
export const MAX_BACKOFF_MS = 600_000

/** Largest random time added to it, as a share. */
export const BACKOFF_JITTER_SHARE = 0.1

/** Share of the latency target for which a request waits until an endpoint with a rate limit may get it. */
export const RATE_LIMIT_WAIT_SHARE = 0.5

/** Random sample of endpoints that are compared by their expected work; more of them would send too much to the fastest ones. */
export const EXPECTED_SAMPLED_ENDPOINTS = 4

/** Assumed duration of a request at a plain service without measurements, in milliseconds. */
export const PLAIN_INITIAL_MS = 50

/** Assumed prefill time per prompt token without measurements, in milliseconds. Engines usually process tens of tokens per millisecond. */
export const PREFILL_INITIAL_TOKEN_MS = 0.02

/** Ranking cost per token of KV cache in use at a decode engine, in milliseconds; ranks engines by free memory. */
export const DECODE_TOKEN_MS = 0.001

/** Time limit for a reservation request to an engine, in milliseconds. */
export const RESERVE_TIMEOUT_MS = 300

/** Interval at which queued requests are retried when no released capacity is reported, in milliseconds. */
export const CAPACITY_RETRY_MS = 50

/**
 * Margin between the deadline for the first event and the timeout of the caller, in milliseconds; covers the network round
 * trip and some delay.
 */
export const FIRST_EVENT_MARGIN_MS = 150

/** Assumed time from the end of a prefill to the first event before the first measurement, in milliseconds. */
export const FIRST_EVENT_INITIAL_MS = 200

/** Assumed time of a prefill at a decode engine before the first measurement, as a multiple of that at a prefill engine. */
export const DIRECT_PREFILL_FACTOR = 3

/** Timeout of a prefill, as a multiple of its expected time. */
export const PREFILL_TIMEOUT_FACTOR = 3

/** Time added to this multiple of the expected time, in milliseconds. */
export const PREFILL_TIMEOUT_MARGIN_MS = 600

/** Time without data after which another endpoint is prepared to resume a resumable stream, in milliseconds. */
export const STREAM_SILENCE_MS = 1_500

/** Time that an engine needs to fetch a prefilled prompt before the engine that holds it drops it, in milliseconds. */
export const KV_FETCH_MARGIN_MS = 100

/** Maximum number of rounds of reservation, prefill and decode for one request. */
export const MAX_PROMPT_ROUNDS = 4

/** Time added to a multiple of the expected prefill time for the lifetime of a reservation, in milliseconds. */
export const RESERVATION_MARGIN_MS = 700

/** Interval between checks of how prefill and decode engines are used, in milliseconds. */
export const ROLE_CHECK_MS = 500

/** Time limit for an engine to accept a role change order, in milliseconds. */
export const ROLE_ORDER_TIMEOUT_MS = 1_000

/** Expected prefill time above which a request waits before it reserves capacity, in milliseconds. */
export const PREFILL_BACKLOG_MS = 700

/** Engines that are asked for a reservation one after the other before the queue waits for capacity again. */
export const MAX_PROBES_PER_PASS = 4

/** Share of the route's time limit below which a caller's deadline indicates a retry. */
export const RETRY_DEADLINE_SHARE = 0.97

/**
 * Share of the route's time limit below which the caller of a request was refused before and has waited; callers whose first
 * deadline is somewhat shorter than the limit are not among them.
 */
export const RETURNED_DEADLINE_SHARE = 0.8

/** Longest usual duration of a plain request, as a multiple of its route's latency target. */
export const PLAIN_DURATION_TARGETS = 3

/** Decode time of an output that is longer than estimated, as a multiple of the expected time; covers most wrong hints. */
export const LONG_OUTPUT_FACTOR = 1.8

/** Time allowed for an engine to drain before its role changes, in milliseconds; the decode time of a long output. */
export const ROLE_CHANGE_DRAIN_MS = 8_000

/** Weight of the newest estimate in the moving average of output lengths. */
export const OUTPUT_LENGTH_WEIGHT = 0.1

/** Assumed duration of a stream of a plain service, in milliseconds. */
export const PLAIN_STREAM_MS = 4_000

/** Time over which events of a run must have arrived for it not to be the cause of a crash of its endpoint, in milliseconds. */
export const RUN_START_MS = 200

/** Time over which events of a run must have arrived to prove that its request does not crash endpoints, in milliseconds. */
export const PROOF_RUN_MS = 500

/** Time after which the caller of a quarantined request may retry, in milliseconds; a proof by then would lift the quarantine. */
export const QUARANTINE_RETRY_AFTER_MS = 60_000

/** Maximum number of parts of a prompt in a log line. */
export const MAX_LOGGED_PARTS = 8

/** Interval between probes of a service that is out of reach, in milliseconds. */
export const PROBE_FIRST_MS = 500

/** Longest interval between probes of a service that gets out of reach again and again, in milliseconds. */
export const PROBE_MAX_MS = 4_000

/** Time within which a service that gets out of reach again is probed less often, in milliseconds; a few probes. */
export const PROBE_RELAPSE_MS = 5_000

/** Time limit of a probe, in milliseconds; a busy endpoint still responds to its health check. */
export const PROBE_TIMEOUT_MS = 1_000

/** Time limit of a probe of an endpoint that was silent, in milliseconds; a sound one may be silent for a second or so. */
export const SILENT_PROBE_TIMEOUT_MS = 3_000

/** Number of endpoints that are probed when the paths to their service are in doubt. */
export const DOUBT_PROBES = 3

/** Time after which a caller may retry when no host reaches an endpoint, in milliseconds; one probe. */
export const OUT_OF_REACH_RETRY_AFTER_MS = 500

/** Maximum number of hosts that a request is forwarded to, one after the other. */
export const MAX_TRIED_PEERS = 8

/** Time for which a host that could not take a forwarded request gets no more of the same service, in milliseconds. */
export const PEER_PAUSE_MS = 1_000

/**
 * Time for which a silent run stays open after another endpoint has responded, in milliseconds; two endpoints may work on a request for
 * up to 400 ms (users' requirement).
 */
export const RUN_OVERLAP_MS = 300

/** Time without data after which another host is prepared to resume a stream that a host forwards, in milliseconds; that host prepares another endpoint once before. */
export const PEER_STREAM_SILENCE_MS = 3_000

/** Time after a failed prefill for which prefills of the service hold back a retry, in milliseconds; a few latency targets. */
export const PREFILL_CAUTION_MS = 5_000
