import { setTimeout as sleep } from 'node:timers/promises'

/** Waits; a port, so that tests decide when time passes. */
export abstract class Sleeper {
  /**
   * @param ms - Time to wait, in milliseconds.
   * @param signal - Ends the wait early.
   * @returns Resolves after the time or when the signal is aborted, whichever comes first.
   */
  abstract sleep (ms: number, signal: AbortSignal): Promise<void>
}

/** Waits on the timers of the process. */
export class SystemSleeper extends Sleeper {
  /** {@inheritDoc Sleeper.sleep} */
  async sleep (ms: number, signal: AbortSignal): Promise<void> {
    await sleep(ms, undefined, { signal }).catch(() => undefined)
  }
}
