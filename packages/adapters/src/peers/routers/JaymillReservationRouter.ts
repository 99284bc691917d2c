import {
  EndpointReservationRequest, EndpointRole, Reservation, ReservationBatch, ReservationHandler, ReservationRefusal,
  ReservationResponse, ReservationState, TokenLease, TokenLeaseRequest
} from '@jaymill/core'
import { z } from 'zod'
import { MAX_BATCH_RESERVATIONS } from '../JaymillPeerConstants.js'
import { countSchema, idSchema, quantitySchema, senderShape } from '../JaymillPeerSchemas.js'
import { createRouter, procedure } from '../JaymillPeerTrpc.js'

/** Schema of a reservation request for an endpoint. */
export const endpointReservationRequestSchema: z.ZodType<EndpointReservationRequest> = z.object({
  endpointId: idSchema,
  request: z.object({
    requestId: idSchema,
    attempt: countSchema,
    stage: z.enum(EndpointRole),
    hostId: idSchema,
    incarnation: countSchema,
    pieces: countSchema,
    transferBytes: quantitySchema,
    startInMs: quantitySchema,
    expectedMs: quantitySchema,
    nonce: idSchema
  })
})

const reservationSchema: z.ZodType<Reservation> = z.object({
  id: z.string(),
  requestId: idSchema,
  attempt: countSchema,
  stage: z.enum(EndpointRole),
  hostId: idSchema,
  incarnation: countSchema,
  pieces: countSchema,
  state: z.enum(ReservationState),
  sinceMs: z.number(),
  endsAtMs: z.number(),
  expiresAtMs: z.number()
})

/** Schema of an owner's response. */
export const reservationResponseSchema: z.ZodType<ReservationResponse> = z.object({
  grant: reservationSchema.nullable(),
  refusal: z.enum(ReservationRefusal).nullable(),
  free: z.object({ slots: z.number(), pieces: z.number() })
})

/** Schema of renewals and releases. */
export const reservationBatchSchema: z.ZodType<ReservationBatch> = z.object({
  ...senderShape,
  grants: z.array(z.object({ endpointId: idSchema, grantId: z.string().min(1) })).max(MAX_BATCH_RESERVATIONS)
})

/** Schema of a request for account tokens. */
export const tokenLeaseRequestSchema: z.ZodType<TokenLeaseRequest> = z.object({
  from: idSchema,
  accountId: idSchema,
  tokens: quantitySchema
})

/** Schema of a token lease. */
export const tokenLeaseSchema: z.ZodType<TokenLease> = z.object({
  accountId: idSchema,
  tokens: quantitySchema,
  ttlMs: quantitySchema
})

/**
 * Creates the router of the reservation and token lease calls.
 *
 * @param handler - Grants reservations and token leases.
 * @returns Router of the reservation and token lease calls.
 */
export function createReservationRouter (handler: ReservationHandler) {
  return createRouter({
    grant: procedure.input(endpointReservationRequestSchema).mutation(({ input }) => handler.grant(input)),
    renew: procedure.input(reservationBatchSchema).mutation(({ input }) => handler.renew(input)),
    release: procedure.input(reservationBatchSchema).mutation(({ input }) => handler.release(input)),
    lease: procedure.input(tokenLeaseRequestSchema).mutation(({ input }) => handler.lease(input))
  })
}
