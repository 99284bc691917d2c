import type {
  BurnRecorder, Clock, EngineClient, FleetConfig, HostIdentity, HostList, Random, RequestLog, SlotAllocator
} from '@jaymill/core'
import type { HttpServiceClient } from '@jaymill/adapters'
import type { HostSettings } from '@jaymill/settings'
import type { Logger } from 'winston'
import type { BodyBudget } from './callers/JaymillBodyBudget.js'
import type { ConfigStatus } from './config/JaymillConfigDriver.js'
import type { KeyOwnerDriver } from './idempotency/JaymillKeyOwnerDriver.js'
import type { HostMetrics } from './metrics/JaymillHostMetrics.js'
import type { HostHealth } from './health/JaymillHostHealth.js'
import type { HostView } from './membership/JaymillMembershipDriver.js'
import type { PeerNetwork } from './peers/JaymillPeerNetwork.js'

/** What the rooms of the daemon share. */
export interface HostContext {
  readonly settings: HostSettings
  readonly identity: HostIdentity
  readonly clock: Clock
  readonly random: Random
  readonly log: Logger
  readonly metrics: HostMetrics
  readonly burn: BurnRecorder
  readonly bodies: BodyBudget
  readonly requests: RequestLog
  readonly engines: EngineClient
  readonly services: HttpServiceClient
  readonly booker: SlotAllocator
  readonly health: HostHealth
  readonly peers: PeerNetwork
  /** Owner of idempotency keys. */
  readonly keys: KeyOwnerDriver
  /**
   * @returns The configuration in force.
   * @throws RequestError of kind `NotReady` before the first one.
   */
  fleet: () => FleetConfig
  /**
   * @returns The host list in force.
   * @throws RequestError of kind `NotReady` before the first one.
   */
  hosts: () => HostList
  /**
   * @returns Whether the host is stopping.
   */
  draining: () => boolean
  /**
   * @throws RequestError of kind `NotReady` while this host may be behind the configuration in force.
   */
  requireReady: () => void
  /**
   * @returns What keeps this host from serving, how far it is behind, and conflicts over revisions.
   */
  configStatus: () => ConfigStatus
  /**
   * @returns This host's view of the other hosts.
   */
  otherHosts: () => HostView[]
}
