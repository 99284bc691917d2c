/** Pause between looks at configuration, grants and due reports, in milliseconds. */
export const OWNER_TICK_MS = 250

/** Pause between reports of an endpoint that is being taken over, in milliseconds. */
export const TAKE_OVER_REPORT_MS = 250

/** Pause between reports of an endpoint with adopted or expired grants, in milliseconds. */
export const UNSETTLED_REPORT_MS = 1_000

/** Pause between reports of an endpoint whose book is settled, in milliseconds. */
export const SETTLED_REPORT_MS = 5_000

/** Longest wait for a load report or a cancel, in milliseconds. */
export const REPORT_TIMEOUT_MS = 1_000

/** Time after the first configuration at which the host serves even if an endpoint gives no report, in milliseconds. */
export const READY_AFTER_MS = 4_000

/** Mean pause before a booking that was refused is tried again, in milliseconds. */
export const BOOK_RETRY_MS = 10

/** Wait for the first message of a host whose list may be late, before its silence counts, in milliseconds. */
export const FIRST_MESSAGE_WAIT_MS = 5_000

/** Longest wait for the delivery of a renewal or release, in milliseconds. */
export const MESSAGE_TIMEOUT_MS = 1_000
