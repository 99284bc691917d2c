import { LeaseHandler, LeaseRequest, LeaseResponse } from '@jaymill/core'
import { z } from 'zod'
import { MAX_HOSTS, MAX_LISTS } from '../JaymillPeerConstants.js'
import { countSchema, idSchema, senderShape } from '../JaymillPeerSchemas.js'
import { createRouter, disconnectSignal, procedure } from '../JaymillPeerTrpc.js'

const revisionsSchema = z.array(countSchema).max(MAX_LISTS)

const leaseGroupSchema = z.object({
  revision: countSchema,
  members: z.array(idSchema).max(MAX_HOSTS),
  owners: z.array(idSchema).max(MAX_HOSTS),
  slots: z.record(idSchema, idSchema).optional(),
  coldStartAtMs: countSchema.optional()
})

/** Schema of a lease request. */
export const leaseRequestSchema: z.ZodType<LeaseRequest> = z.object({ ...senderShape, seq: countSchema, known: revisionsSchema })

/** Schema of a lease response. */
export const leaseResponseSchema: z.ZodType<LeaseResponse> = z.object({
  ...senderShape,
  seq: countSchema,
  recovered: z.boolean(),
  adopted: revisionsSchema,
  floor: countSchema,
  completeFrom: countSchema,
  revisions: revisionsSchema,
  lists: z.array(leaseGroupSchema).max(MAX_LISTS)
})

/**
 * Creates the router of the lease calls.
 *
 * @param handler - Responds to lease requests.
 * @returns Router of the lease calls.
 */
export function createLeaseRouter (handler: LeaseHandler) {
  return createRouter({
    confirm: procedure
      .input(leaseRequestSchema)
      .mutation(({ input, signal }) => handler.confirmLease(input, disconnectSignal(signal)))
  })
}
