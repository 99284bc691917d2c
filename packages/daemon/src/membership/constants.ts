/** Time between two steps of the membership driver, in milliseconds. */
export const MEMBERSHIP_STEP_MS = 200
