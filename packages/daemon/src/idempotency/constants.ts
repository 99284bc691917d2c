/** Time between two steps of the key owner, in milliseconds. */
export const TICK_MS = 100

/** Time for an answer to a lease question, in milliseconds. */
export const QUESTION_TIMEOUT_MS = 1_000

/** Time for which an undecided request is tried again before its caller is told, in milliseconds. */
export const PATIENCE_MS = 4_000

/** Time between two tries of an undecided request, in milliseconds. */
export const RETRY_MS = 100

/** Time after which a caller may resend an undecided request, in milliseconds. */
export const RESEND_AFTER_MS = 1_000

/** Header of a forwarded request: account of the caller. */
export const ACCOUNT_HEADER = 'x-jaymill-account'

/** Header of a forwarded request: key under which it runs. */
export const KEY_HEADER = 'x-jaymill-key'

/** Header of a forwarded request: `1` when the entry host minted the key. */
export const MINTED_HEADER = 'x-jaymill-minted'

/** Header of a forwarded request: `1` when only memory is asked, and nothing may run. */
export const RECALL_HEADER = 'x-jaymill-recall'

/** Header of an undecided answer between hosts: why it is undecided. */
export const REASON_HEADER = 'x-jaymill-reason'

/** Header that tells a caller that an answer is a replay. */
export const REPLAYED_HEADER = 'idempotency-replayed'

/** Header that tells a problem document of a host from an answer of an endpoint. */
export const PROBLEM_HEADER = 'x-jaymill-problem'

/** Time for an earlier owner of a key to say what it remembers, in milliseconds. */
export const RECALL_TIMEOUT_MS = 1_000

/** Hosts that have left the list whose addresses are still known. */
export const MAX_FORMER_HOSTS = 256
