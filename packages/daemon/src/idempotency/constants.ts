/** Time between two steps of the key owner, in milliseconds. */
export const KEY_OWNER_STEP_MS = 100

/** Timeout of a lease request, in milliseconds. */
export const LEASE_REQUEST_TIMEOUT_MS = 1_000

/** Time for which an undecided request or a reservation in a full pool is retried before it fails, in milliseconds. */
export const RETRY_TIME_LIMIT_MS = 4_000

/** Time between two of these attempts, in milliseconds. */
export const RETRY_INTERVAL_MS = 100

/** Time after which a caller may retry an undecided request, in milliseconds. */
export const UNDECIDED_RETRY_AFTER_MS = 1_000

/** Header of a forwarded request: account of the caller. */
export const ACCOUNT_HEADER = 'x-jaymill-account'

/** Header of a forwarded request: idempotency key under which it runs. */
export const KEY_HEADER = 'x-jaymill-key'

/** Header of a forwarded request: `1` when the entry host minted the key. */
export const MINTED_HEADER = 'x-jaymill-minted'

/** Header of a forwarded request: `1` when only a recorded outcome is looked up and the request must not run. */
export const RECALL_HEADER = 'x-jaymill-recall'

/** Header of an undecided response between hosts: why the outcome is unknown. */
export const REASON_HEADER = 'x-jaymill-reason'

/** Header that marks a response to a caller as a replay. */
export const REPLAYED_HEADER = 'idempotency-replayed'

/** Header that distinguishes a problem document of a host from a response of an endpoint. */
export const PROBLEM_HEADER = 'x-jaymill-problem'

/** Timeout of a recall request to a former owner of a key, in milliseconds. */
export const RECALL_TIMEOUT_MS = 1_000

/** Maximum number of hosts that have left the list whose addresses are stored. */
export const MAX_FORMER_HOSTS = 256
