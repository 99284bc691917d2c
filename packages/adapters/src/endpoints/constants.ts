/** Maximum number of connections to one endpoint. */
export const MAX_CONNECTIONS = 256
/** Timeout for opening a connection. */
export const CONNECT_TIMEOUT_MS = 2_000
/** Idle time after which a connection is closed. */
export const IDLE_CONNECTION_MS = 10_000
/** Age after which a connection takes no further request. */
export const CONNECTION_TTL_MS = 300_000
/** Timeout of a probe on a new connection. */
export const PROBE_TIMEOUT_MS = 1_000
/** Timeout of a control call (cancel, load, cache events). */
export const CONTROL_TIMEOUT_MS = 2_000
/** Timeout for the first token when the call sets no timeouts. */
export const DEFAULT_FIRST_TOKEN_MS = 30_000
/** Timeout between tokens when the call sets no timeouts. */
export const DEFAULT_INTER_TOKEN_MS = 5_000
/** Maximum size of one server-sent event, in bytes. */
export const MAX_EVENT_BYTES = 65_536
/** Maximum size of a JSON response, in bytes. */
export const MAX_JSON_BYTES = 4_194_304
/** Maximum number of bytes of an error body that are read for the message. */
export const MAX_ERROR_BYTES = 4_096
/** Attempts to cancel one request before this is left to the endpoint's owner. */
export const CANCEL_TRIES = 5
/** Delay before the second attempt to cancel; it doubles with each attempt. */
export const CANCEL_RETRY_MS = 100
/** Timeout for the headers of a plain service's response. */
export const SERVICE_HEADERS_MS = 60_000
/** Longest time without data in the body of a plain service's response. */
export const SERVICE_BODY_MS = 30_000
