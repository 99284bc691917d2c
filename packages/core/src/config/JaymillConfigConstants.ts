/** Time after which a known newer revision that is not in force is reported, in milliseconds. */
export const LAG_REPORT_MS = 10_000
/** Hosts of an availability zone that watch the platform. */
export const WATCHERS_PER_ZONE = 2
/** Time between two questions to the same host for one document, in milliseconds. */
export const FETCH_RETRY_MS = 1_000
/** Time between two high-water questions to the same host, in milliseconds. */
export const HIGH_WATER_RETRY_MS = 1_000
/** Most high-water questions that wait for an answer at once. */
export const HIGH_WATER_CONCURRENCY = 16
/** Hosts whose claim to hold a newer document is kept, for each document. */
export const MAX_HOLDERS = 16
/** Least time between two platform reads of a host that is not a watcher, in milliseconds. */
export const MIN_BACKUP_READ_MS = 30_000
/** Time between two backup reads for each listed host, in milliseconds; keeps the fleet's total constant. */
export const BACKUP_READ_PER_HOST_MS = 1_000
