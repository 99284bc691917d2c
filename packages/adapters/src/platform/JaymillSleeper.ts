import { setTimeout as sleep } from 'node:timers/promises'

/** Waits for a time; abstract so that tests control when time passes. */
export abstract class Sleeper {
  /**
   * Waits for a time.
   *
   * @param ms - Time to wait, in milliseconds.
   * @param signal - Ends the wait early.
   * @returns Promise that resolves after the time or when the signal aborts, whichever comes first.
   */
  abstract sleep (ms: number, signal: AbortSignal): Promise<void>
}

/** Waits with Node.js timers. */
export class SystemSleeper extends Sleeper {
  /** {@inheritDoc Sleeper.sleep} */
  async sleep (ms: number, signal: AbortSignal): Promise<void> {
    await sleep(ms, undefined, { signal }).catch(() => undefined)
  }
}
