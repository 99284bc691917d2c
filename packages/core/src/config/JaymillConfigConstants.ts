/** Time after which a known newer revision that is not active yet is reported as overdue, in milliseconds. */
export const LAG_REPORT_MS = 10_000
/** Number of hosts in each availability zone that watch the configuration source. */
export const WATCHERS_PER_ZONE = 2
/** Minimum time between two requests to the same host for one document, in milliseconds. */
export const FETCH_RETRY_MS = 1_000
/** Minimum time between two high-water requests to the same host, in milliseconds. */
export const HIGH_WATER_RETRY_MS = 1_000
/** Maximum number of outstanding high-water requests. */
export const HIGH_WATER_CONCURRENCY = 16
/** Maximum number of hosts remembered as having a newer revision of a document, for each document. */
export const MAX_FETCH_CANDIDATES = 16
/** Minimum time between two reads of the configuration source by a host that does not watch it, in milliseconds. */
export const MIN_BACKUP_READ_MS = 30_000
/** Time between two backup reads per listed host, in milliseconds; keeps the total rate of the fleet constant. */
export const BACKUP_READ_PER_HOST_MS = 1_000
