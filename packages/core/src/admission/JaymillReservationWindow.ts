import { MAX_RESERVATIONS_IN_FLIGHT } from './JaymillAdmissionConstants.js'

/**
 * Limits the number of reservations that a queue requests concurrently. A refusal lowers the limit to one, so that the order
 * of the queue decides which request gets the next free slot; each granted reservation raises it by one.
 */
export class ReservationWindow {
  private _size = MAX_RESERVATIONS_IN_FLIGHT

  /**
   * @returns Number of reservations that may be in flight.
   */
  get size (): number {
    return this._size
  }

  /** Records that a reservation was granted. */
  recordGranted (): void {
    this._size = Math.min(MAX_RESERVATIONS_IN_FLIGHT, this._size + 1)
  }

  /** Records that a reservation was refused for lack of capacity. */
  recordRefused (): void {
    this._size = 1
  }
}
