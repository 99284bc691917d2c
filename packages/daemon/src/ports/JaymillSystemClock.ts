import { Clock } from '@jaymill/core'

/** Clock of the machine. `process.hrtime` advances while the process is stopped by a signal. */
export class SystemClock extends Clock {
  /** {@inheritDoc @jaymill/core#Clock.wallMs} */
  wallMs (): number {
    return Date.now()
  }

  /** {@inheritDoc @jaymill/core#Clock.nowMs} */
  nowMs (): number {
    return performance.now()
  }
}
