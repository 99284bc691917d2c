/** Source of time. Decisions never read the system clock themselves. */
export abstract class Clock {
  /**
   * @returns Wall-clock time in milliseconds since the Unix epoch.
   */
  abstract wallMs (): number

  /**
   * @returns Monotonic time in milliseconds from an arbitrary origin; it also advances while the process is paused.
   */
  abstract nowMs (): number
}

/** Clock that moves only when told to. */
export class ManualClock extends Clock {
  private _now: number
  private readonly _wallOffset: number

  /**
   * @param now - First monotonic time in milliseconds.
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
   * Moves time forward.
   *
   * @param ms - Step in milliseconds.
   */
  advance (ms: number): void {
    this._now += ms
  }
}
