import type { Booking, BookingRequest } from '../../routing/JaymillSlotBooker.js'

/** Asks the owner of endpoints for a booking. */
export interface BookingQuestion {
  readonly from: string
  readonly incarnation: number
  readonly request: BookingRequest
}

/** Gives a booking back to its owner. */
export interface BookingRelease {
  readonly from: string
  readonly incarnation: number
  readonly bookingId: string
}

/** Grants bookings to other hosts. */
export abstract class BookingHandler {
  /**
   * @param question - Checked question of another host.
   * @param signal - Aborts when the caller has gone.
   * @returns The booking.
   * @throws RequestError of kind `Overloaded` or `NoEndpoint` when nothing can be granted.
   */
  abstract book (question: BookingQuestion, signal: AbortSignal): Promise<Booking>

  /**
   * Releases a booking; an unknown id has no effect.
   *
   * @param release - Checked message of another host.
   */
  abstract release (release: BookingRelease): Promise<void>
}
