import { Clock } from '@jaymill/core'

/** System clock. Its monotonic time also advances while the process is stopped by a signal. */
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
