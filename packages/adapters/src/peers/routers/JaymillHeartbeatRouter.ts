import { Heartbeat, HeartbeatHandler, HostState, PeerStatus } from '@jaymill/core'
import { z } from 'zod'
import { MAX_HEALTH_CHARS, MAX_LEAVING_MARKS, MAX_UPDATES } from '../JaymillPeerConstants.js'
import { countSchema, documentMarksSchema, idSchema, quantitySchema, senderShape } from '../JaymillPeerSchemas.js'
import { callerSignal, createRouter, procedure } from '../JaymillPeerTrpc.js'

const updateSchema = z.object({
  id: idSchema,
  incarnation: countSchema,
  seq: countSchema,
  status: z.enum(PeerStatus)
})

const leavingMarkSchema = z.object({ endpointId: idSchema, expiresInMs: quantitySchema })

/** Check of a heartbeat and of its answer. */
export const heartbeatSchema: z.ZodType<Heartbeat> = z.object({
  ...senderShape,
  seq: countSchema,
  state: z.enum(HostState),
  documents: documentMarksSchema,
  updates: z.array(updateSchema).max(MAX_UPDATES),
  leavingEndpoints: z.array(leavingMarkSchema).max(MAX_LEAVING_MARKS),
  health: z.string().max(MAX_HEALTH_CHARS)
})

/**
 * @param handler - Answers heartbeats.
 * @returns Router of the heartbeat calls.
 */
export function createHeartbeatRouter (handler: HeartbeatHandler) {
  return createRouter({
    beat: procedure
      .input(heartbeatSchema)
      .mutation(({ input, signal }) => handler.heartbeat(input, callerSignal(signal)))
  })
}
