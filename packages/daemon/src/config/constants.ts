/** Time between two steps of the configuration driver, in milliseconds. */
export const CONFIG_STEP_MS = 200
/** Time between two decisions on which hosts watch the configuration source, in milliseconds. */
export const SOURCE_WATCH_STEP_MS = 1_000
/** Time between two log entries about active documents that lag behind, in milliseconds. */
export const LAG_LOG_INTERVAL_MS = 10_000
/** Timeout of a single read from the configuration source, in milliseconds. */
export const BACKUP_READ_TIMEOUT_MS = 10_000
