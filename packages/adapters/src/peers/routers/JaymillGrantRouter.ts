import {
  EndpointRole, Reservation, ReservationResponse, GrantHandler, GrantMarks, GrantQuestion, ReservationRefusal, ReservationState, TokenLease, TokenQuestion
} from '@jaymill/core'
import { z } from 'zod'
import { MAX_GRANT_MARKS } from '../JaymillPeerConstants.js'
import { countSchema, idSchema, quantitySchema, senderShape } from '../JaymillPeerSchemas.js'
import { createRouter, procedure } from '../JaymillPeerTrpc.js'

/** Check of a question for capacity. */
export const grantQuestionSchema: z.ZodType<GrantQuestion> = z.object({
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

const grantSchema: z.ZodType<Reservation> = z.object({
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

/** Check of an owner's answer. */
export const grantAnswerSchema: z.ZodType<ReservationResponse> = z.object({
  grant: grantSchema.nullable(),
  refusal: z.enum(ReservationRefusal).nullable(),
  free: z.object({ slots: z.number(), pieces: z.number() })
})

/** Check of renewals and releases. */
export const grantMarksSchema: z.ZodType<GrantMarks> = z.object({
  ...senderShape,
  grants: z.array(z.object({ endpointId: idSchema, grantId: z.string().min(1) })).max(MAX_GRANT_MARKS)
})

/** Check of a question for account tokens. */
export const tokenQuestionSchema: z.ZodType<TokenQuestion> = z.object({
  from: idSchema,
  accountId: idSchema,
  tokens: quantitySchema
})

/** Check of a token lease. */
export const tokenLeaseSchema: z.ZodType<TokenLease> = z.object({
  accountId: idSchema,
  tokens: quantitySchema,
  ttlMs: quantitySchema
})

/**
 * @param handler - Grants capacity and tokens.
 * @returns Router of the grant calls.
 */
export function createGrantRouter (handler: GrantHandler) {
  return createRouter({
    grant: procedure.input(grantQuestionSchema).mutation(({ input }) => handler.grant(input)),
    renew: procedure.input(grantMarksSchema).mutation(({ input }) => handler.renew(input)),
    release: procedure.input(grantMarksSchema).mutation(({ input }) => handler.release(input)),
    lease: procedure.input(tokenQuestionSchema).mutation(({ input }) => handler.lease(input))
  })
}
