/** Duration of a lease, counted from the sending of the request that was confirmed, in milliseconds. */
export const LEASE_MS = 2_000

/** Largest difference between the wall clocks of two hosts, in milliseconds. */
export const CLOCK_SKEW_MS = 250

/** Interval of lease requests to a host while the revision is active, in milliseconds. */
export const LEASE_REQUEST_INTERVAL_MS = 900

/** Interval of lease requests to a host while the revision is not active yet, in milliseconds. */
export const INACTIVE_LEASE_REQUEST_INTERVAL_MS = 150

/** Number of latest requests to one host whose responses are still accepted. */
export const MAX_PENDING_LEASE_REQUESTS = 8

/** Number of ended revisions that are retained so that hosts can determine which keys they have owned without interruption. */
export const MAX_ENDED_REVISIONS = 16

/** Number of active revisions over which a host can determine that it has owned a key without interruption. */
export const MAX_EPOCHS = 64

/** Retention time of the outcome of a request, in milliseconds. */
export const RECORD_RETENTION_MS = 15 * 60_000

/** Maximum number of request records. */
export const MAX_RECORDS = 50_000

/** Largest response that is stored for replay, in bytes. */
export const MAX_STORED_RESPONSE_BYTES = 64 * 1_024

/** Maximum total size of the stored responses, in bytes. */
export const MAX_STORED_RESPONSE_TOTAL_BYTES = 16 * 1_024 * 1_024

/** Number of hosts in a lease group if the fleet has more hosts. */
export const LEASE_GROUP_SIZE = 5
