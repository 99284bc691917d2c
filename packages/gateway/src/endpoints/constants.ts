/** Time for a connection to an endpoint, in milliseconds; several round trips within a region and one loss of a packet are outside it. */
export const CONNECT_TIMEOUT_MS = 400

/** Idle time after which a kept connection is closed when the endpoint names none, in milliseconds. */
export const KEEP_ALIVE_DEFAULT_MS = 3_000

/** Time before the endpoint's own idle timeout at which a kept connection is closed, in milliseconds. */
export const KEEP_ALIVE_MARGIN_MS = 1_000

/** Kept connections of this host to one endpoint. */
export const POOL_CONNECTIONS = 64

/** Largest answer that is held as a whole before it is passed on, in bytes. */
export const WHOLE_ANSWER_BYTES = 1_048_576
