/** Maximum size of a request header in the HTTP parser, in bytes; the configured limit is checked after parsing. */
export const PARSER_HEADER_BYTES = 65_536

/** Requests of one connection that are handled at a time. What a caller has sent beyond them waits until one has its response. */
export const MAX_OPEN_REQUESTS = 16

/** Share of the requests that a host handles at a time above which each connection gets one response after the other. */
export const PIPELINING_SHARE = 0.5

/** Interval between checks whether a connection that is not read was reset, in milliseconds. */
export const RESET_CHECK_MS = 500

/** Memory of the objects of a request without its header, in bytes. */
export const REQUEST_BYTES = 10_240

/** Memory of the objects for one field of a header beside its text, in bytes. */
export const FIELD_BYTES = 256

/** Number of times that the text of a header may be in memory: as received, and as forwarded. */
export const TEXT_COPIES = 3

/** Interval between checks for connections that exceed a timeout, in milliseconds. */
export const CONNECTION_CHECK_MS = 500

/** Time after which a caller may retry at a host that is not ready yet, in milliseconds; about the time a host takes to start. */
export const NOT_READY_RETRY_AFTER_MS = 500

/** Time after which a caller may retry when the host has no memory for its request or too many requests, in milliseconds. */
export const MEMORY_RETRY_AFTER_MS = 1_000

/** Interval between checks of what connections hold, in milliseconds. */
export const MEMORY_CHECK_MS = 250

/**
 * Time between a refusal and the end of a connection whose caller still sends its body, in milliseconds. A connection that is closed with
 * bytes unread is reset, and the caller may then lose the refusal.
 */
export const REFUSAL_DELAY_MS = 100

/** Time after which a caller may retry when all endpoints are busy, in milliseconds; about one response time of a plain service. */
export const BUSY_RETRY_AFTER_MS = 250

/**
 * Time for which a stopping host still accepts requests, in milliseconds: two readiness checks of the load balancer, plus
 * requests already on their way.
 */
export const STOP_ACCEPT_MS = 3_000

/**
 * Time for which a stopping host accepts requests by an estimate of their duration, in milliseconds: two readiness checks of the
 * load balancer. The rest of the time above is a margin for a signal that is handled late.
 */
export const STOP_ESTIMATE_MS = 2_500

/** Time before the end of the grace period at which a stopping host gives up the requests in progress, in milliseconds. */
export const STOP_MARGIN_MS = 400

/** Time for which a stopping host then waits until these have got their responses, in milliseconds. */
export const STOP_RESPONSE_MS = 150

/**
 * Time between the last data of a response and the reset that breaks it off, in milliseconds; enough for a round trip within a
 * region and for the caller to read the data.
 */
export const RESET_DELAY_MS = 50

/**
 * Time after which a caller that reads nothing of a response is given up once the time of its request is over, in milliseconds; enough
 * for several retransmissions.
 */
export const STALLED_CALLER_MS = 2_000
