/** Source of time. Decision logic uses it and never reads the system clock directly. */
export abstract class Clock {
  /**
   * Returns the wall-clock time.
   *
   * @returns Milliseconds since the Unix epoch.
   */
  abstract wallMs (): number

  /**
   * Returns the monotonic time; it also advances while the process is paused.
   *
   * @returns Milliseconds since an arbitrary origin.
   */
  abstract nowMs (): number
}

/** Clock for tests and simulations; it only advances when `advance` is called. */
export class ManualClock extends Clock {
  private _now: number
  private readonly _wallOffset: number

  /**
   * @param now - Initial monotonic time in milliseconds.
   * @param wallOffset - Wall-clock time at monotonic zero, in milliseconds.
   */
  constructor (now = 0, wallOffset = 1_700_000_000_000) {
    super()
    this._now = now
    this._wallOffset = wallOffset
  }

  /** {@inheritDoc Clock.wallMs} */
  wallMs (): number {
    return this._wallOffset + this._now
  }

  /** {@inheritDoc Clock.nowMs} */
  nowMs (): number {
    return this._now
  }

  /**
   * Advances the clock.
   *
   * @param ms - Step in milliseconds.
   */
  advance (ms: number): void {
    this._now += ms
  }
}
