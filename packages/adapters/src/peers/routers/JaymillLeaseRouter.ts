import { LeaseAnswer, LeaseHandler, LeaseQuestion } from '@jaymill/core'
import { z } from 'zod'
import { MAX_HOSTS, MAX_LISTS } from '../JaymillPeerConstants.js'
import { countSchema, idSchema, senderShape } from '../JaymillPeerSchemas.js'
import { callerSignal, createRouter, procedure } from '../JaymillPeerTrpc.js'

/** Check of a lease question. */
export const leaseQuestionSchema: z.ZodType<LeaseQuestion> = z.object({ ...senderShape, revision: countSchema })

/** Check of a lease answer. */
export const leaseAnswerSchema: z.ZodType<LeaseAnswer> = z.object({
  ...senderShape,
  confirms: z.boolean(),
  highestRevision: countSchema,
  adopted: z.array(z.object({ revision: countSchema, hosts: z.array(idSchema).max(MAX_HOSTS) })).max(MAX_LISTS)
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
