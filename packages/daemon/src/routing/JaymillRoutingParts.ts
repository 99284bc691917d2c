import type { Clock, EngineClient, FleetConfig, HostIdentity, HostList, Random } from '@jaymill/core'
import type { Logger } from 'winston'
import type { PeerNetwork } from '../peers/JaymillPeerNetwork.js'

/** What the routing room needs of the host. */
export interface RoutingParts {
  readonly identity: HostIdentity
  readonly clock: Clock
  readonly random: Random
  readonly log: Logger
  readonly engines: EngineClient
  readonly peers: PeerNetwork
  readonly fleet: () => FleetConfig
  readonly hosts: () => HostList
  /** Requests of one class that may wait before one pool. */
  readonly maxQueued: number
  /** Longest wait for an owner's answer, in milliseconds. */
  readonly ownerWaitMs: number
  /** Share of work an endpoint should get by its health, 0 to 1. */
  readonly weightOf: (poolId: string, endpointId: string) => number
}
