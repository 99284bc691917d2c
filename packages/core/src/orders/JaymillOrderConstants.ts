/** Interval at which the state of an engine in its desired state is read, in milliseconds. */
export const READ_BACK_MS = 30_000
/** Interval at which an engine that is not in its desired state is read and ordered again, in milliseconds. */
export const ORDER_RETRY_MS = 2_000
/** Time that a new owner waits before it sends orders to engines that ignore fencing tokens, in milliseconds. */
export const ORDER_HOLD_OFF_MS = 15_000
/** Weight loads per second that the weight store can serve for the whole fleet. */
export const WEIGHT_LOADS_PER_SECOND = 2
