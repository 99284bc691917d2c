/** Interval between runs of `Routing.tick`, in milliseconds. */
export const OWNER_TICK_MS = 250

/** Interval between load reports of an endpoint that is being taken over, in milliseconds. */
export const TAKE_OVER_REPORT_MS = 250

/** Interval between load reports of an endpoint with adopted or expired reservations, in milliseconds. */
export const UNSETTLED_REPORT_MS = 1_000

/** Interval between load reports of an endpoint without adopted or expired reservations, in milliseconds. */
export const SETTLED_REPORT_MS = 5_000

/** Timeout of a load report or a cancellation, in milliseconds. */
export const REPORT_TIMEOUT_MS = 1_000

/** Time after the first configuration at which the host serves even if an endpoint has sent no report, in milliseconds. */
export const READY_AFTER_MS = 4_000

/** Mean delay before a refused reservation is requested again, in milliseconds. */
export const REFUSED_RESERVATION_RETRY_MS = 10

/**
 * Time after which a host that has not sent its first message counts as silent, because it may receive its host list late, in
 * milliseconds.
 */
export const FIRST_MESSAGE_WAIT_MS = 5_000

/** Timeout of a renewal or release, in milliseconds. */
export const MESSAGE_TIMEOUT_MS = 1_000
