import { expect, test } from 'vitest'
import { isProbablyRetry, RETRY_AFTER_MIN_MS, SeededRandom } from '../../../index.js'

const TIMEOUT_MS = 14_000

/** Time from a request to its refusal, in milliseconds. */
const REFUSED_AFTER_MS = 1_300

// Load: a burst of callers whose deadlines differ by up to 15% from the time limit of their route. Taken for retries, their first requests
// would count as late at once and wait behind all others.
test('first requests of callers with different deadlines do not count as retries', () => {
  const random = new SeededRandom(1)
  const deadlines = Array.from({ length: 1_000 }, () => TIMEOUT_MS * (0.85 + 0.3 * random.next()))
  expect(deadlines.filter(deadlineMs => isProbablyRetry(deadlineMs, TIMEOUT_MS))).toEqual([])
  expect(isProbablyRetry(undefined, TIMEOUT_MS)).toBe(false)
})

test('a caller that returns with what is left of a usual deadline after a refusal counts as one', () => {
  const leftMs = 0.95 * TIMEOUT_MS - REFUSED_AFTER_MS - RETRY_AFTER_MIN_MS
  expect(isProbablyRetry(leftMs, TIMEOUT_MS)).toBe(true)
})
