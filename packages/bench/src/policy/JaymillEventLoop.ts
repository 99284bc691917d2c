import { ManualClock } from '@jaymill/core'
import TinyQueue from 'tinyqueue'

interface TimedEvent {
  readonly atMs: number
  readonly order: number
  readonly run: () => void
}

/** Runs events in the order of their time on a manual clock. */
export class EventLoop {
  readonly clock = new ManualClock()
  private readonly _events = new TinyQueue<TimedEvent>([], (a, b) => a.atMs - b.atMs || a.order - b.order)
  private _count = 0

  /**
   * @returns Monotonic time in milliseconds.
   */
  get nowMs (): number {
    return this.clock.nowMs()
  }

  /**
   * @param delayMs - Time from now, in milliseconds.
   * @param run - What to do then.
   */
  after (delayMs: number, run: () => void): void {
    this._events.push({ atMs: this.nowMs + delayMs, order: this._count++, run })
  }

  /**
   * @param periodMs - Time between runs, in milliseconds.
   * @param run - What to do each time.
   */
  every (periodMs: number, run: () => void): void {
    this.after(periodMs, () => {
      run()
      this.every(periodMs, run)
    })
  }

  /**
   * @param endMs - Time at which to stop, in milliseconds.
   */
  runUntil (endMs: number): void {
    for (let event = this._events.pop(); event !== undefined && event.atMs <= endMs; event = this._events.pop()) {
      this.clock.advance(event.atMs - this.nowMs)
      event.run()
    }
  }
}
