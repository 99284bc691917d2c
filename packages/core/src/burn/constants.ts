/** Share of requests that may miss their targets: 95 in 100 must meet them. */
export const ERROR_BUDGET_SHARE = 0.05
/** Windows of the report in milliseconds, shortest first: 5 minutes, 1 hour, 6 hours. */
export const WINDOWS_MS = [300_000, 3_600_000, 21_600_000] as const
/** Buckets per window; the window slides by one bucket at a time. */
export const BUCKETS_PER_WINDOW = 12
/** Maximum number of pairs of route and account that are counted; the least recently used is dropped first. */
export const MAX_ACCOUNT_SERIES = 8_192
/** Maximum number of routes that are counted; the least recently used is dropped first. */
export const MAX_ROUTE_SERIES = 256
/** Burn rate in the two shorter windows that raises the fast alarm. */
export const FAST_BURN_RATE = 6
/** Burn rate in the two longer windows that raises the slow alarm. */
export const SLOW_BURN_RATE = 1
/** Minimum number of requests in a window for an alarm. */
export const MIN_ALARM_REQUESTS = 20
