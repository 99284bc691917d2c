/** Time a confirmation supports a lease, counted from the sending of the question, in milliseconds. */
export const LEASE_MS = 2_000

/** Largest difference between the wall clocks of two hosts, in milliseconds. */
export const CLOCK_SKEW_MS = 250

/** Time between questions to a host while the lease is held, in milliseconds. */
export const QUESTION_INTERVAL_MS = 900

/** Time between questions to a host while the revision is not active yet, in milliseconds. */
export const UNSETTLED_QUESTION_INTERVAL_MS = 150

/** Questions to one host whose answers are still accepted. */
export const MAX_OPEN_QUESTIONS = 8

/** Ended lists that are kept so that hosts can tell which ranges they owned throughout. */
export const MAX_ENDED_LISTS = 16

/** Active revisions over which a host can tell that it kept a range. */
export const MAX_EPOCHS = 64

/** Time an outcome is remembered, in milliseconds. */
export const RECORD_RETENTION_MS = 15 * 60_000

/** Outcomes remembered at once. */
export const MAX_RECORDS = 50_000

/** Largest answer kept for a replay, in bytes. */
export const MAX_ANSWER_BYTES = 64 * 1_024

/** Answers kept at once, in bytes. */
export const MAX_ANSWERS_BYTES = 16 * 1_024 * 1_024

/** Hosts of a lease group in a larger fleet. */
export const LEASE_GROUP_SIZE = 5
