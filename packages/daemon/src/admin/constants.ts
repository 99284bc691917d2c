/** Default number of requests in a list. */
export const DEFAULT_REQUEST_LIMIT = 100
/** Maximum number of requests in a list. */
export const MAX_REQUEST_LIMIT = 1_000
/** Default number of account rows in a burn report. */
export const DEFAULT_ACCOUNT_LIMIT = 50
/** Maximum number of account rows in a burn report. */
export const MAX_ACCOUNT_LIMIT = 10_000
/** Maximum time to receive a complete admin request, in milliseconds. */
export const ADMIN_REQUEST_TIMEOUT_MS = 10_000
