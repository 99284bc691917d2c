/**
 * Connect timeout to an endpoint, in milliseconds; enough for several round trips within a region, but not for the
 * retransmission of a lost packet.
 */
export const CONNECT_TIMEOUT_MS = 400

/** Idle time after which a keep-alive connection is closed when the endpoint announces no timeout, in milliseconds. */
export const KEEP_ALIVE_DEFAULT_MS = 3_000

/** Time before the endpoint's announced idle timeout at which a keep-alive connection is closed, in milliseconds. */
export const KEEP_ALIVE_MARGIN_MS = 1_000

/** Maximum number of pooled connections from this host to one endpoint. */
export const POOL_CONNECTIONS = 64

/** Maximum size of a response that is buffered, in bytes. */
export const MAX_BUFFERED_RESPONSE_BYTES = 1_048_576

/** Maximum size of an event that is buffered until it is complete, in bytes. */
export const MAX_EVENT_BYTES = 262_144

/** Maximum size of the head of an endpoint's response, in bytes. */
export const MAX_RESPONSE_HEAD_BYTES = 65_536
