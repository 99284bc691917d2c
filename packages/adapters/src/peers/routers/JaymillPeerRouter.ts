import type { ConfigHandler, HeartbeatHandler, LeaseHandler, ReservationHandler } from '@jaymill/core'
import { createRouter } from '../JaymillPeerTrpc.js'
import { createConfigRouter } from './JaymillConfigRouter.js'
import { createHeartbeatRouter } from './JaymillHeartbeatRouter.js'
import { createLeaseRouter } from './JaymillLeaseRouter.js'
import { createReservationRouter } from './JaymillReservationRouter.js'

/** Handlers of the typed calls between hosts. */
export interface PeerHandlers {
  readonly heartbeat: HeartbeatHandler
  readonly lease: LeaseHandler
  readonly reservations: ReservationHandler
  readonly config: ConfigHandler
}

/**
 * Merges the routers of all typed calls.
 *
 * @param handlers - Handlers of the calls.
 * @returns Router of all typed calls between hosts.
 */
export function createPeerRouter (handlers: PeerHandlers) {
  return createRouter({
    heartbeat: createHeartbeatRouter(handlers.heartbeat),
    lease: createLeaseRouter(handlers.lease),
    grants: createReservationRouter(handlers.reservations),
    config: createConfigRouter(handlers.config)
  })
}

/** Type of the typed calls, for clients. */
export type PeerRouter = ReturnType<typeof createPeerRouter>
