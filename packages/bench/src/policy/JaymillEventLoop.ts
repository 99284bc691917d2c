import { ManualClock } from '@jaymill/core'
import TinyQueue from 'tinyqueue'

interface TimedEvent {
  readonly atMs: number
  readonly order: number
  readonly run: () => void
}

/** Runs scheduled events in time order on a manual clock; events of the same time run in the order of scheduling. */
export class EventLoop {
  readonly clock = new ManualClock()
  private readonly _events = new TinyQueue<TimedEvent>([], (a, b) => a.atMs - b.atMs || a.order - b.order)
  private _count = 0

  /** Current time of the manual clock, in milliseconds. */
  get nowMs (): number {
    return this.clock.nowMs()
  }

  /**
   * Schedules an event.
   *
   * @param delayMs - Delay from now, in milliseconds.
   * @param run - Event handler.
   */
  after (delayMs: number, run: () => void): void {
    this._events.push({ atMs: this.nowMs + delayMs, order: this._count++, run })
  }

  /**
   * Schedules a periodic event; the first run is one period from now.
   *
   * @param periodMs - Time between runs, in milliseconds.
   * @param run - Event handler.
   */
  every (periodMs: number, run: () => void): void {
    this.after(periodMs, () => {
      run()
      this.every(periodMs, run)
    })
  }

  /**
   * Runs all events up to a time.
   *
   * @param endMs - Time at which to stop, in milliseconds.
   */
  runUntil (endMs: number): void {
    for (let event = this._events.pop(); event !== undefined && event.atMs <= endMs; event = this._events.pop()) {
      this.clock.advance(event.atMs - this.nowMs)
      event.run()
    }
  }
}
