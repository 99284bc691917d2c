import { setTimeout as sleep } from 'node:timers/promises'

const POLL_MS = 20
const PATIENCE_MS = 20_000

/** A condition did not come true in time. */
export class ConditionTimeoutError extends Error {
  override readonly name = 'ConditionTimeoutError'
}

/**
 * Waits until a condition is true.
 *
 * @param what - Name of the condition.
 * @param cond - Condition.
 * @param patienceMs - Longest wait in milliseconds.
 * @throws ConditionTimeoutError when it stays false.
 */
export async function until (what: string, cond: () => boolean | Promise<boolean>, patienceMs = PATIENCE_MS): Promise<void> {
  const deadline = performance.now() + patienceMs
  while (!await cond()) {
    if (performance.now() > deadline) throw new ConditionTimeoutError(`not within ${patienceMs} ms: ${what}`)
    await sleep(POLL_MS)
  }
}
