/** Largest published value, in bytes. */
export const MAX_VALUE_BYTES = 1_000_000
/** Largest response of the configuration source, in bytes: a value in base64 and the JSON members around it. */
export const MAX_RESPONSE_BYTES = 1_400_000
/** Time to open a connection to the configuration source, in milliseconds. */
export const CONNECT_TIMEOUT_MS = 10_000
/** Delay after the first failure, in milliseconds. */
export const FIRST_BACKOFF_MS = 200
/** Maximum number of times that the delay doubles. */
export const MAX_BACKOFF_DOUBLINGS = 10
/** Smallest share of a delay that remains after jitter. */
export const MIN_JITTER_SHARE = 0.5
/** Consul adds up to this share of the wait time to a blocking query, according to its documentation. */
export const CONSUL_WAIT_JITTER = 1 / 16
/** Reads that may be sent in a burst, because both documents are read at the start. */
export const READ_BURST = 2
/** Milliseconds in a second. */
export const MS_PER_SECOND = 1_000
