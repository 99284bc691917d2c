import { PathEvidence, ServiceReachability, shuffled, type Clock, type EndpointRecord, type Random } from '@jaymill/core'
import type { EndpointCalls } from '../endpoints/JaymillEndpointCalls.js'
import { TimeLimit } from '../endpoints/JaymillTimeLimit.js'
import type { FleetState } from '../fleet/JaymillFleetState.js'
import type { GatewayLog } from '../logging/JaymillGatewayLog.js'
import type { WireDialect } from '../ports/JaymillWireDialect.js'
import { DOUBT_PROBES, PROBE_FIRST_MS, PROBE_MAX_MS, PROBE_RELAPSE_MS, PROBE_TIMEOUT_MS, SILENT_PROBE_TIMEOUT_MS } from './constants.js'

/** Dependencies of the monitor. */
export interface ReachabilityMonitorContext {
  readonly state: FleetState
  readonly calls: EndpointCalls
  readonly dialect: WireDialect
  readonly clock: Clock
  readonly random: Random
  readonly log: GatewayLog
  /** Ends the probes. */
  readonly signal: AbortSignal
}

/** Probes of a service that is or was out of reach. */
interface ServiceProbes {
  /** Monotonic time since which the service is out of reach, or was the last time, in milliseconds. */
  readonly sinceMs: number
  /** Monotonic time at which it was in reach again, in milliseconds. */
  endedMs: number | undefined
  readonly intervalMs: number
  sent: number
  timer: NodeJS.Timeout | undefined
}

/**
 * Knows which services this host has lost its paths to, and probes one of their endpoints from time to time until one responds.
 * While a service is out of reach, its requests are not tried here.
 */
export class ReachabilityMonitor {
  private readonly _context: ReachabilityMonitorContext
  private readonly _reachability = new ServiceReachability()
  private readonly _probes = new Map<string, ServiceProbes>()
  /** Services whose endpoints are probed to remove a doubt. */
  private readonly _doubted = new Set<string>()
  /** Ids of endpoints that are probed because they were silent. */
  private readonly _silentIds = new Set<string>()
  private readonly _lossListeners: Array<(service: string) => void> = []

  /**
   * @param context - Dependencies.
   */
  constructor (context: ReachabilityMonitorContext) {
    this._context = context
  }

  /** Number of services that are out of reach. */
  get lostCount (): number {
    return this._reachability.outOfReach.length
  }

  /**
   * @param service - Name of a service.
   * @returns Whether it has endpoints, and this host has lost its paths to them.
   */
  isOutOfReach (service: string): boolean {
    return this._reachability.isOutOfReach(service) && this._context.state.directory.usable(service).length > 0
  }

  /**
   * Adds a listener for services that get out of reach.
   *
   * @param listener - Called with the name of the service.
   */
  onLost (listener: (service: string) => void): void {
    this._lossListeners.push(listener)
  }

  /**
   * Records that an endpoint could not be reached.
   *
   * @param endpoint - The endpoint.
   * @param connecting - Whether no connection could be made.
   */
  unreachable ({ id, service, stage }: EndpointRecord, connecting: boolean): void {
    const { state, clock } = this._context
    const endpoints = state.directory.usable(service)
    // Engines of one role may be the only ones that requests get to.
    const alike = endpoints.filter(record => record.stage === stage).length
    const evidence = this._reachability.recordFailure({ service, endpointId: id, connecting, alike, endpoints: endpoints.length }, clock.nowMs())
    if (evidence === PathEvidence.Loss) this._lost(service, endpoints, id)
    if (evidence === PathEvidence.Doubt) this._probeOthers(service, endpoints)
  }

  /**
   * Records that an endpoint has not responded in time. A sound one may fall silent for a while, but takes new connections: it only
   * counts as out of reach when it does not, or is silent for long. Other failures of the probe are recorded like those of any call.
   *
   * @param endpoint - The endpoint.
   */
  silent (endpoint: EndpointRecord): void {
    if (this._silentIds.has(endpoint.id)) return
    this._silentIds.add(endpoint.id)
    this._probeEndpoint(endpoint, SILENT_PROBE_TIMEOUT_MS)
      .then(inTime => { if (!inTime) this.unreachable(endpoint, false) })
      .finally(() => this._silentIds.delete(endpoint.id))
  }

  private _lost (service: string, endpoints: readonly EndpointRecord[], lastId: string): void {
    const { state, calls, clock, log } = this._context
    const nowMs = clock.nowMs()
    const before = this._probes.get(service)
    const relapsed = before?.endedMs !== undefined && nowMs - before.endedMs < PROBE_RELAPSE_MS
    const intervalMs = relapsed ? Math.min(PROBE_MAX_MS, 2 * before.intervalMs) : PROBE_FIRST_MS
    log.stateChange('service out of reach', { service, endpoints: endpoints.length, last: lastId, directory: state.directory.revision })
    this._probes.set(service, { sinceMs: nowMs, endedMs: undefined, intervalMs, sent: before?.sent ?? 0, timer: undefined })
    endpoints.forEach(endpoint => calls.closeConnections(endpoint))
    this._scheduleProbe(service)
    this._lossListeners.forEach(listener => listener(service))
  }

  /**
   * Records that an endpoint has responded.
   *
   * @param endpoint - The endpoint.
   * @param newConnection - Whether the connection was made for this call.
   */
  responded ({ id, service }: EndpointRecord, newConnection: boolean): void {
    const { clock, log } = this._context
    if (!this._reachability.recordResponse(service, newConnection)) return
    const probes = this._probes.get(service)
    if (probes === undefined) return
    clearTimeout(probes.timer)
    probes.endedMs = clock.nowMs()
    log.stateChange('service in reach again', { service, endpoint: id, ms: Math.round(probes.endedMs - probes.sinceMs), probes: probes.sent })
  }

  /**
   * Probes a service that is out of reach at once, because an endpoint of it is new.
   *
   * @param endpoint - The endpoint.
   */
  endpointAdded ({ service }: EndpointRecord): void {
    if (!this._reachability.isOutOfReach(service)) return
    clearTimeout(this._probes.get(service)?.timer)
    this._probe(service)
  }

  private _scheduleProbe (service: string): void {
    const probes = this._probes.get(service)
    if (probes === undefined || this._context.signal.aborted || !this._reachability.isOutOfReach(service)) return
    probes.timer = setTimeout(() => this._probe(service), probes.intervalMs).unref()
  }

  /** Probes endpoints that have not refused a connection of late; a response of one shows that the paths work. */
  private _probeOthers (service: string, endpoints: readonly EndpointRecord[]): void {
    if (this._doubted.has(service)) return
    const refusing = this._reachability.refusing(service)
    const others = shuffled(endpoints.filter(({ id }) => !refusing.includes(id)), this._context.random).slice(0, DOUBT_PROBES)
    this._doubted.add(service)
    this._context.log.stateChange('paths to service in doubt', { service, refusing: refusing.length, probes: others.length })
    Promise.all(others.map(async endpoint => await this._probeEndpoint(endpoint))).finally(() => this._doubted.delete(service))
  }

  /**
   * A response of any status shows that the endpoint is in reach; the listener of the calls passes it to `responded`. A service
   * without endpoints is no longer out of reach: the next one to be published is tried like any other.
   */
  private _probe (service: string): void {
    const { state } = this._context
    const endpoints = state.directory.usable(service)
    const probes = this._probes.get(service)
    const endpoint = endpoints[(probes?.sent ?? 0) % Math.max(1, endpoints.length)]
    if (probes === undefined || endpoint === undefined) {
      this._reachability.recordResponse(service, true)
      return
    }
    probes.sent += 1
    this._probeEndpoint(endpoint).finally(() => this._scheduleProbe(service))
  }

  /**
   * Makes a call over a new connection. The listeners of the calls record its response or failure.
   *
   * @param endpoint - Endpoint to call.
   * @param timeoutMs - Time limit, in milliseconds.
   * @returns Whether the call ended within the time limit.
   */
  private async _probeEndpoint (endpoint: EndpointRecord, timeoutMs = PROBE_TIMEOUT_MS): Promise<boolean> {
    const { state, calls, dialect, signal } = this._context
    const limit = new TimeLimit(signal, timeoutMs)
    const path = state.table?.service(endpoint.service)?.healthPath ?? '/'
    const headers = [...dialect.callHeaders({ endpointId: endpoint.id, deadlineMs: timeoutMs })]
    await calls.open({ endpoint, method: 'GET', path, headers, body: null, ownConnection: true }, limit.signal)
      .then(({ body }) => { body.destroy() }, () => { /* Recorded as a failure. */ })
    limit.dispose()
    return !limit.signal.aborted || signal.aborted
  }
}
