/** Largest request header that the HTTP parser takes, in bytes; the limit in force is checked after it. */
export const PARSER_HEADER_BYTES = 65_536

/** Pause between two checks for connections that exceed a timeout, in milliseconds. */
export const CONNECTION_CHECK_MS = 500

/** Time after which a caller may come back to a host that can't serve yet, in milliseconds; about one start. */
export const NOT_READY_RETRY_MS = 500

/** Time after which a caller may come back when all endpoints are busy, in milliseconds; about one answer of a plain service. */
export const BUSY_RETRY_MS = 250

/** Time in milliseconds for which a stopping host takes new requests: two readiness checks of the balancer and what is under way. */
export const STOP_ACCEPT_MS = 3_000

/** Time before the end of the grace period at which a stopping host answers what is left, in milliseconds. */
export const STOP_MARGIN_MS = 400
