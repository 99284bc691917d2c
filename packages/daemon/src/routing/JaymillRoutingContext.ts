import type { Clock, EngineClient, FleetConfig, HostIdentity, HostList, Random } from '@jaymill/core'
import type { Logger } from 'winston'
import type { PeerNetwork } from '../peers/JaymillPeerNetwork.js'

/** Components of the host that routing uses. */
export interface RoutingContext {
  readonly identity: HostIdentity
  readonly clock: Clock
  readonly random: Random
  readonly log: Logger
  readonly engines: EngineClient
  readonly peers: PeerNetwork
  readonly fleet: () => FleetConfig
  readonly hosts: () => HostList
  /** Maximum number of requests of one class that wait for one pool. */
  readonly maxQueued: number
  /** Maximum time to wait for an owner's response, in milliseconds. */
  readonly ownerTimeoutMs: number
  /** Returns the share of work that an endpoint should get for its health, from 0 to 1. */
  readonly weightOf: (poolId: string, endpointId: string) => number
}
