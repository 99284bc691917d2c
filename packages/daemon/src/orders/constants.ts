/** Interval between two steps of the order driver, in milliseconds. */
export const ORDER_STEP_MS = 250
/** Maximum number of engines that are read or sent orders at the same time. */
export const MAX_ORDERS_IN_FLIGHT = 16
