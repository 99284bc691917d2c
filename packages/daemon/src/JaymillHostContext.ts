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

/** Components and state of one host, shared by its servers and request handlers. */
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
  readonly slotAllocator: SlotAllocator
  readonly health: HostHealth
  readonly peers: PeerNetwork
  /** Ownership of idempotency keys. */
  readonly keys: KeyOwnerDriver
  /**
   * @returns The active configuration.
   * @throws RequestError of kind `NotReady` before the first configuration is active.
   */
  fleet: () => FleetConfig
  /**
   * @returns The active host list.
   * @throws RequestError of kind `NotReady` before the first host list is active.
   */
  hosts: () => HostList
  /**
   * @returns Whether the host is draining.
   */
  draining: () => boolean
  /**
   * Checks that the host may serve requests.
   *
   * @throws RequestError of kind `NotReady` while the configuration of this host may be outdated.
   */
  requireReady: () => void
  /**
   * @returns Whether the host may serve and why not, documents that lag behind other hosts, and conflicts between revisions.
   */
  configStatus: () => ConfigStatus
  /**
   * @returns Status of the other hosts as seen by this host.
   */
  otherHosts: () => HostView[]
}
