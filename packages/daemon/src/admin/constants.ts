/** Requests in a list when the operator names no number. */
export const DEFAULT_REQUEST_LIMIT = 100
/** Most requests in a list. */
export const MAX_REQUEST_LIMIT = 1_000
/** Account rows of a burn report when the operator names no number. */
export const DEFAULT_ACCOUNT_LIMIT = 50
/** Most account rows of a burn report. */
export const MAX_ACCOUNT_LIMIT = 10_000
/** Time an administration request may take to arrive, in milliseconds. */
export const ADMIN_REQUEST_TIMEOUT_MS = 10_000
