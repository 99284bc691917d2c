/** Connections to one endpoint. */
export const MAX_CONNECTIONS = 256
/** Time to open a connection. */
export const CONNECT_TIMEOUT_MS = 2_000
/** Idle time after which a connection is closed. */
export const IDLE_CONNECTION_MS = 10_000
/** Age after which a connection takes no further request. */
export const CONNECTION_TTL_MS = 300_000
/** Time for the answer to a probe on a new connection. */
export const PROBE_TIMEOUT_MS = 1_000
/** Time for the answer to a control call (cancel, load, cache events). */
export const CONTROL_TIMEOUT_MS = 2_000
/** Silence allowed before the first token when the call states no pace. */
export const DEFAULT_FIRST_TOKEN_MS = 30_000
/** Silence allowed between tokens when the call states no pace. */
export const DEFAULT_INTER_TOKEN_MS = 5_000
/** Bytes of one server-sent event. */
export const MAX_EVENT_BYTES = 65_536
/** Bytes of a whole JSON answer. */
export const MAX_JSON_BYTES = 4_194_304
/** Bytes of an error body that are read for the message. */
export const MAX_ERROR_BYTES = 4_096
/** Tries to cancel one request before the endpoint's owner has to find it. */
export const CANCEL_TRIES = 5
/** Wait before the second try to cancel; it doubles with each try. */
export const CANCEL_RETRY_MS = 100
/** Time for the headers of a plain service's answer. */
export const SERVICE_HEADERS_MS = 60_000
/** Silence allowed inside the body of a plain service's answer. */
export const SERVICE_BODY_MS = 30_000
