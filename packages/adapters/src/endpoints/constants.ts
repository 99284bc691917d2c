/** Maximum number of connections to one endpoint. */
export const MAX_CONNECTIONS = 256
/** Timeout for opening a connection, in milliseconds. */
export const CONNECT_TIMEOUT_MS = 2_000
/** Idle time after which a connection is closed, in milliseconds. */
export const IDLE_CONNECTION_MS = 10_000
/** Age after which a connection takes no further request, in milliseconds. */
export const CONNECTION_TTL_MS = 300_000
/** Timeout of a probe on a new connection, in milliseconds. */
export const PROBE_TIMEOUT_MS = 1_000
/** Timeout of a control call (cancel, load, cache events), in milliseconds. */
export const CONTROL_TIMEOUT_MS = 2_000
/** Timeout for the first token when the call sets no timeouts, in milliseconds. */
export const DEFAULT_FIRST_TOKEN_TIMEOUT_MS = 30_000
/** Timeout between tokens when the call sets no timeouts, in milliseconds. */
export const DEFAULT_INTER_TOKEN_TIMEOUT_MS = 5_000
/** Maximum size of one server-sent event, in bytes. */
export const MAX_EVENT_BYTES = 65_536
/** Maximum size of a JSON response, in bytes. */
export const MAX_JSON_BYTES = 4_194_304
/** Maximum number of bytes of an error body that are read for the message. */
export const MAX_ERROR_BYTES = 4_096
/** Maximum number of attempts to cancel one request; after them, the endpoint's owner finds the request. */
export const MAX_CANCEL_ATTEMPTS = 5
/** Delay before the second attempt to cancel, in milliseconds; it doubles with each attempt. */
export const CANCEL_RETRY_MS = 100
/** Timeout for the headers of a plain service's response, in milliseconds. */
export const SERVICE_HEADERS_TIMEOUT_MS = 60_000
/** Longest time without data in the body of a plain service's response, in milliseconds. */
export const SERVICE_BODY_TIMEOUT_MS = 30_000
