import { setTimeout as sleep } from 'node:timers/promises'

const POLL_MS = 20
const DEFAULT_TIMEOUT_MS = 20_000

/** Thrown when a condition is still false after the timeout. */
export class ConditionTimeoutError extends Error {
  override readonly name = 'ConditionTimeoutError'
}

/**
 * Waits until a condition is true.
 *
 * @param description - Name of the condition, for the error message.
 * @param condition - Condition; it is polled.
 * @param timeoutMs - Longest wait, in milliseconds.
 * @throws ConditionTimeoutError when the condition is still false after the timeout.
 */
export async function until (
  description: string, condition: () => boolean | Promise<boolean>, timeoutMs = DEFAULT_TIMEOUT_MS
): Promise<void> {
  const deadline = performance.now() + timeoutMs
  while (!await condition()) {
    if (performance.now() > deadline) throw new ConditionTimeoutError(`condition not met within ${timeoutMs} ms: ${description}`)
    await sleep(POLL_MS)
  }
}
