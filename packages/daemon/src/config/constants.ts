/** Time between two steps of the configuration driver, in milliseconds. */
export const CONFIG_STEP_MS = 200
/** Time between two decisions on who watches the platform, in milliseconds. */
export const DUTY_STEP_MS = 1_000
/** Time between two reports that a document in force is behind, in milliseconds. */
export const LAG_LOG_MS = 10_000
/** Time that a single platform read may take, in milliseconds. */
export const BACKUP_READ_TIMEOUT_MS = 10_000
