import { LeaseAnswer, LeaseHandler, LeaseQuestion } from '@jaymill/core'
import { z } from 'zod'
import { MAX_HOSTS, MAX_LISTS } from '../JaymillPeerConstants.js'
import { countSchema, idSchema, senderShape } from '../JaymillPeerSchemas.js'
import { callerSignal, createRouter, procedure } from '../JaymillPeerTrpc.js'

const revisionsSchema = z.array(countSchema).max(MAX_LISTS)

const groupListSchema = z.object({
  revision: countSchema,
  members: z.array(idSchema).max(MAX_HOSTS),
  owners: z.array(idSchema).max(MAX_HOSTS),
  slots: z.record(idSchema, idSchema).optional(),
  coldStartAtMs: countSchema.optional()
})

/** Check of a lease question. */
export const leaseQuestionSchema: z.ZodType<LeaseQuestion> = z.object({ ...senderShape, seq: countSchema, known: revisionsSchema })

/** Check of a lease answer. */
export const leaseAnswerSchema: z.ZodType<LeaseAnswer> = z.object({
  ...senderShape,
  seq: countSchema,
  recovered: z.boolean(),
  adopted: revisionsSchema,
  floor: countSchema,
  completeFrom: countSchema,
  revisions: revisionsSchema,
  lists: z.array(groupListSchema).max(MAX_LISTS)
})

/**
 * @param handler - Answers lease questions.
 * @returns Router of the lease calls.
 */
export function createLeaseRouter (handler: LeaseHandler) {
  return createRouter({
    confirm: procedure
      .input(leaseQuestionSchema)
      .mutation(({ input, signal }) => handler.confirmLease(input, callerSignal(signal)))
  })
}
