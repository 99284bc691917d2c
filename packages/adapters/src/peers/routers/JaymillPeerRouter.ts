import type { ConfigHandler, GrantHandler, HeartbeatHandler, LeaseHandler } from '@jaymill/core'
import { createRouter } from '../JaymillPeerTrpc.js'
import { createConfigRouter } from './JaymillConfigRouter.js'
import { createGrantRouter } from './JaymillGrantRouter.js'
import { createHeartbeatRouter } from './JaymillHeartbeatRouter.js'
import { createLeaseRouter } from './JaymillLeaseRouter.js'

/** Behaviour behind the typed calls between hosts. */
export interface PeerHandlers {
  readonly heartbeat: HeartbeatHandler
  readonly lease: LeaseHandler
  readonly grants: GrantHandler
  readonly config: ConfigHandler
}

/**
 * Merges the routers of all matters.
 *
 * @param handlers - Behaviour of each matter.
 * @returns Router of all typed calls between hosts.
 */
export function createPeerRouter (handlers: PeerHandlers) {
  return createRouter({
    heartbeat: createHeartbeatRouter(handlers.heartbeat),
    lease: createLeaseRouter(handlers.lease),
    grants: createGrantRouter(handlers.grants),
    config: createConfigRouter(handlers.config)
  })
}

/** Type of the typed calls, for clients. */
export type PeerRouter = ReturnType<typeof createPeerRouter>
