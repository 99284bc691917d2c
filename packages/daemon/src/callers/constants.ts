/**
 * Time between the last data of a response and the reset that breaks it off, in milliseconds; enough for a round trip within a
 * region and for the caller to read the data.
 */
export const RESET_DELAY_MS = 50
