import type { Clock, EndpointLoad, EndpointReliability, FleetRetryBudget, PendingRoleChanges, PromptDemand, Random, ReportedLoads, ServiceLatencyModel } from '@jaymill/core'
import type { PlannedStop } from '../callers/JaymillPlannedStop.js'
import type { QuotaGate } from '../callers/JaymillQuotaGate.js'
import type { EndpointCalls } from '../endpoints/JaymillEndpointCalls.js'
import type { FleetState } from '../fleet/JaymillFleetState.js'
import type { GatewayLog } from '../logging/JaymillGatewayLog.js'
import type { GatewayMetrics } from '../metrics/JaymillGatewayMetrics.js'
import type { EngineControl } from '../ports/JaymillEngineControl.js'
import type { WireDialect } from '../ports/JaymillWireDialect.js'
import type { CrashGuard } from './JaymillCrashGuard.js'
import type { EndpointAdmission } from './JaymillEndpointAdmission.js'
import type { PeerForwarder } from './JaymillPeerForwarder.js'
import type { ReachabilityMonitor } from './JaymillReachabilityMonitor.js'

/** Components of the host that forwarders use. */
export interface ForwardingContext {
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
  /** Prompt tokens that decode engines prefill themselves. */
  readonly directPrefills: EndpointLoad
  /** Load that endpoints have reported in their responses to this host. */
  readonly reportedLoads: ReportedLoads
  readonly reliability: EndpointReliability
  readonly latencyModel: ServiceLatencyModel
  readonly budget: FleetRetryBudget
  readonly demand: PromptDemand
  readonly roleChanges: PendingRoleChanges
  readonly crashes: CrashGuard
  readonly admission: EndpointAdmission
  readonly reachability: ReachabilityMonitor
  readonly peers: PeerForwarder
  readonly quotaGate: QuotaGate
  /** Number of hosts that share the retry budget. */
  readonly hostCount: () => number
  /** Planned stop of this host; `undefined` unless it is shutting down. */
  readonly plannedStop: () => PlannedStop | undefined
  /** Time by which the work of the other hosts is known late, in milliseconds. */
  readonly loadAgeMs: () => number
  /** Sends a heartbeat with the changed load as soon as the rate limit allows it. */
  readonly scheduleHeartbeat: () => void
  /** Sends a heartbeat without waiting for the rate limit. */
  readonly sendHeartbeatNow: () => void
}
