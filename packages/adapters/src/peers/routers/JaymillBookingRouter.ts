import { Booking, BookingHandler, BookingQuestion, BookingRelease, BookingStage } from '@jaymill/core'
import { z } from 'zod'
import { MAX_ENDPOINT_IDS } from '../JaymillPeerConstants.js'
import { countSchema, idSchema, quantitySchema, senderShape } from '../JaymillPeerSchemas.js'
import { callerSignal, createRouter, procedure } from '../JaymillPeerTrpc.js'

const endpointIdsSchema = z.array(idSchema).max(MAX_ENDPOINT_IDS)

/** Check of a booking question. */
export const bookingQuestionSchema: z.ZodType<BookingQuestion> = z.object({
  ...senderShape,
  request: z.object({
    requestId: idSchema,
    attempt: countSchema,
    stage: z.enum(BookingStage),
    poolId: idSchema,
    pieces: countSchema,
    transferBytes: quantitySchema,
    startInMs: quantitySchema,
    expectedMs: quantitySchema,
    exclude: endpointIdsSchema,
    prefer: endpointIdsSchema,
    priority: z.number()
  })
})

/** Check of a booking. */
export const bookingSchema: z.ZodType<Booking> = z.object({
  id: idSchema,
  endpointId: idSchema,
  ownerId: idSchema,
  ttlMs: quantitySchema
})

/** Check of a release. */
export const bookingReleaseSchema: z.ZodType<BookingRelease> = z.object({ ...senderShape, bookingId: idSchema })

/**
 * @param handler - Grants bookings.
 * @returns Router of the booking calls.
 */
export function createBookingRouter (handler: BookingHandler) {
  return createRouter({
    book: procedure
      .input(bookingQuestionSchema)
      .mutation(({ input, signal }) => handler.book(input, callerSignal(signal))),
    release: procedure
      .input(bookingReleaseSchema)
      .mutation(({ input }) => handler.release(input))
  })
}
