/** Time between two readings of an endpoint that is as desired, in milliseconds. */
export const READ_BACK_MS = 30_000
/** Time between two attempts at an endpoint that is not as desired, in milliseconds. */
export const ORDER_RETRY_MS = 2_000
/** Time that a new owner waits before it orders endpoints that ignore fencing tokens, in milliseconds. */
export const ORDER_HOLD_OFF_MS = 15_000
/** Weight loads that the weight store bears over the whole fleet, per second. */
export const WEIGHT_LOADS_PER_SECOND = 2
