import { Heartbeat, HeartbeatHandler, HostState, PeerStatus } from '@jaymill/core'
import { z } from 'zod'
import { MAX_HEALTH_CHARS, MAX_LEAVING_REPORTS, MAX_UPDATES } from '../JaymillPeerConstants.js'
import { countSchema, documentVersionsSchema, idSchema, quantitySchema, senderShape } from '../JaymillPeerSchemas.js'
import { createRouter, disconnectSignal, procedure } from '../JaymillPeerTrpc.js'

const updateSchema = z.object({
  id: idSchema,
  incarnation: countSchema,
  seq: countSchema,
  status: z.enum(PeerStatus)
})

const leavingReportSchema = z.object({ endpointId: idSchema, expiresInMs: quantitySchema })

/** Schema of a heartbeat and of the response to it. */
export const heartbeatSchema: z.ZodType<Heartbeat> = z.object({
  ...senderShape,
  seq: countSchema,
  state: z.enum(HostState),
  documents: documentVersionsSchema,
  updates: z.array(updateSchema).max(MAX_UPDATES),
  leavingEndpoints: z.array(leavingReportSchema).max(MAX_LEAVING_REPORTS),
  health: z.string().max(MAX_HEALTH_CHARS)
})

/**
 * Creates the router of the heartbeat calls.
 *
 * @param handler - Responds to heartbeats.
 * @returns Router of the heartbeat calls.
 */
export function createHeartbeatRouter (handler: HeartbeatHandler) {
  return createRouter({
    beat: procedure
      .input(heartbeatSchema)
      .mutation(({ input, signal }) => handler.heartbeat(input, disconnectSignal(signal)))
  })
}
