/** Time between two steps of the order driver, in milliseconds. */
export const ORDER_STEP_MS = 250
/** Engines that are read or ordered at once. */
export const MAX_ORDERS_IN_FLIGHT = 16
