import { MAX_BOOKINGS_IN_FLIGHT } from './JaymillAdmissionConstants.js'

/**
 * Number of bookings that a queue tries at once. A refusal brings it down to one, so that the order of the queue decides who
 * gets the next free slot; each grant raises it again.
 */
export class BookingWindow {
  private _size = MAX_BOOKINGS_IN_FLIGHT

  /**
   * @returns Bookings that may be in flight.
   */
  get size (): number {
    return this._size
  }

  /** Notes that a booking was granted. */
  granted (): void {
    this._size = Math.min(MAX_BOOKINGS_IN_FLIGHT, this._size + 1)
  }

  /** Notes that a booking was refused for want of capacity. */
  refused (): void {
    this._size = 1
  }
}
