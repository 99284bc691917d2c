/** Time for which computed weights are cached, in milliseconds. */
export const WEIGHT_CACHE_MS = 250
/** Maximum length of the health summary in a heartbeat, in characters. */
export const MAX_HEALTH_SUMMARY_CHARS = 4_096
/** Maximum number of copies of one idempotent call, including hedges and retries. */
export const MAX_SERVICE_ATTEMPTS = 3
