import type { Clock, EndpointLoad, EndpointPace, EndpointReliability, FleetRetryBudget, PromptDemand, Random, StageChanges } from '@jaymill/core'
import type { EndpointCalls } from '../endpoints/JaymillEndpointCalls.js'
import type { FleetState } from '../fleet/JaymillFleetState.js'
import type { GatewayLog } from '../logging/JaymillGatewayLog.js'
import type { GatewayMetrics } from '../metrics/JaymillGatewayMetrics.js'
import type { EngineControl } from '../ports/JaymillEngineControl.js'
import type { WireDialect } from '../ports/JaymillWireDialect.js'

/** What serving a request needs of its host. */
export interface ForwardingParts {
  readonly zone: string
  readonly clock: Clock
  readonly random: Random
  readonly log: GatewayLog
  readonly metrics: GatewayMetrics
  readonly dialect: WireDialect
  readonly calls: EndpointCalls
  readonly engines: EngineControl
  readonly state: FleetState
  readonly load: EndpointLoad
  /** Prompts that decode engines read. */
  readonly directReads: EndpointLoad
  readonly reliability: EndpointReliability
  readonly pace: EndpointPace
  readonly budget: FleetRetryBudget
  readonly demand: PromptDemand
  readonly changes: StageChanges
  /** Hosts that share the retry budget. */
  readonly hosts: () => number
  /** Tells other hosts that this host's work has changed, as soon as the pace of beacons allows it. */
  readonly loadChanged: () => void
  /** Tells other hosts at once what this host knows. */
  readonly tellNow: () => void
}
