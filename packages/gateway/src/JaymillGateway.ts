import { setMaxListeners } from 'node:events'
import { getHeapStatistics } from 'node:v8'
import {
  AccountQuotas, AssignedRateShare, Clock, CountedQuotaShare, CountedRateShare, CrashQuarantine, DirectoryEvent, EndpointLoad, EndpointRateLimits,
  EndpointReliability, FleetRetryBudget, internalConnections, PendingRoleChanges, PerZoneReaderSelection, PromptDemand, Random, RELAYED_LOAD_AGE_MS, ReportedLoads,
  RouteKind, ServiceLatencyModel, type DirectoryChange, type EndpointRecord, type RateShare
} from '@jaymill/core'
import { processLimits, type GatewaySettings } from '@jaymill/settings'
import { STOP_ACCEPT_MS, STOP_ESTIMATE_MS, STOP_MARGIN_MS, STOP_RESPONSE_MS } from './callers/constants.js'
import type { GatewayRequest } from './callers/JaymillGatewayRequest.js'
import { Ingress } from './callers/JaymillIngress.js'
import { createInternalServer } from './callers/JaymillInternalServer.js'
import { listenOn } from './callers/JaymillListener.js'
import type { PlannedStop } from './callers/JaymillPlannedStop.js'
import { QuotaGate } from './callers/JaymillQuotaGate.js'
import { EndpointCalls } from './endpoints/JaymillEndpointCalls.js'
import { ExchangeFailure } from './endpoints/JaymillExchangeError.js'
import { FleetFollower } from './fleet/JaymillFleetFollower.js'
import { FleetState } from './fleet/JaymillFleetState.js'
import { sourceTiming } from './fleet/JaymillSourceTiming.js'
import { CrashGuard } from './forwarding/JaymillCrashGuard.js'
import { EndpointAdmission } from './forwarding/JaymillEndpointAdmission.js'
import type { Forwarder } from './forwarding/JaymillForwarder.js'
import type { ForwardingContext } from './forwarding/JaymillForwardingContext.js'
import { PeerForwarder } from './forwarding/JaymillPeerForwarder.js'
import { PlainForwarder } from './forwarding/JaymillPlainForwarder.js'
import { PromptForwarder } from './forwarding/JaymillPromptForwarder.js'
import { ReachabilityMonitor } from './forwarding/JaymillReachabilityMonitor.js'
import { RoleController } from './forwarding/JaymillRoleController.js'
import { StreamForwarder } from './forwarding/JaymillStreamForwarder.js'
import type { GatewayLog } from './logging/JaymillGatewayLog.js'
import { GatewayMetrics } from './metrics/JaymillGatewayMetrics.js'
import { DocumentExchange } from './peers/JaymillDocumentExchange.js'
import { HostHeartbeats } from './peers/JaymillHostHeartbeats.js'
import { PeerCalls } from './peers/JaymillPeerCalls.js'
import type { WorkState } from './peers/JaymillZoneRelay.js'
import type { EngineControl } from './ports/JaymillEngineControl.js'
import type { FleetSource } from './ports/JaymillFleetSource.js'
import type { ResponseMetadata, WireDialect } from './ports/JaymillWireDialect.js'

/** Adapters that a gateway runs with. */
export interface GatewayAdapters {
  readonly clock: Clock
  readonly random: Random
  readonly log: GatewayLog
  readonly dialect: WireDialect
  readonly source: FleetSource
  readonly calls: EndpointCalls
  readonly engines: EngineControl
}

/** Lifecycle phase of a host. */
enum Phase {
  Starting = 'starting',
  Ready = 'ready',
  Stopping = 'stopping'
}

const STOP_CHECK_MS = 20

/** Time for which the hosts that share rate limits are not determined again, in milliseconds. */
const RATE_SHARE_MS = 1_000
const MS_PER_SECOND = 1_000

/** Maximum number of abort listeners of a host; more indicate a leak. */
const MAX_ABORT_LISTENERS = 32

/** One host that forwards requests to endpoints without interpreting their bodies. */
export class Gateway {
  private readonly _settings: GatewaySettings
  private readonly _adapters: GatewayAdapters
  private readonly _abort = new AbortController()
  private readonly _state: FleetState
  private readonly _follower: FleetFollower
  private readonly _heartbeats: HostHeartbeats
  private readonly _quotas: AccountQuotas
  private readonly _forwardingContext: ForwardingContext
  private readonly _ingress: Ingress
  private readonly _roleController: RoleController
  private readonly _metrics = new GatewayMetrics()
  private _phase = Phase.Starting
  private _plannedStop: PlannedStop | undefined
  private _stopped: Promise<void> | undefined
  private _share: { readonly atMs: number, readonly share: RateShare } | undefined

  /**
   * @param settings - Validated settings.
   * @param adapters - Clock, random numbers, log and interfaces to the platform and its endpoints.
   */
  constructor (settings: GatewaySettings, adapters: GatewayAdapters) {
    this._settings = settings
    this._adapters = adapters
    const { clock, random, log, source } = adapters
    const work = { load: new EndpointLoad(), directPrefills: new EndpointLoad(), demand: new PromptDemand(), roleChanges: new PendingRoleChanges() }
    const quarantine = new CrashQuarantine()
    const limits = new EndpointRateLimits()
    const { quotaWindowSeconds, quotaOverage } = settings.bounds
    const quotas = new AccountQuotas(new CountedQuotaShare(quotaOverage), quotaWindowSeconds * MS_PER_SECOND)
    this._quotas = quotas
    this._state = new FleetState(clock, log)
    const { host: { id, zone, address }, listen, bounds } = settings
    const timing = sourceTiming(bounds.configurationMs)
    const shouldFollow = (): boolean => new PerZoneReaderSelection().shouldRead({ address, zone, connected: this._follower.connected }, this._heartbeats.readers)
    const seeds = settings.seeds.map(seed => seed.address)
    const hasSeeds = seeds.length > 0 && !seeds.includes(address)
    this._follower = new FleetFollower({ source, state: this._state, timing, hasSeeds, shouldFollow, clock, random, log })
    const connected = (): boolean => this._follower.connected
    this._heartbeats = new HostHeartbeats({
      address,
      zone,
      listen: listen.beacon,
      seeds,
      state: this._state,
      work,
      quarantine,
      onEvidence: () => this._forwardingContext.crashes.evidenceChanged(),
      limits,
      onLimits: news => this._forwardingContext.admission.reported(news),
      quotas,
      connected,
      clock,
      log
    })
    this._forwardingContext = this._createForwardingContext(work, quarantine, limits)
    this._roleController = new RoleController({ ...this._forwardingContext, hostId: id, isLeader: () => this._heartbeats.isLeader })
    this._ingress = new Ingress(this._forwardingContext, this._forwarderSelector(), { ...processLimits(settings), heapBytes: getHeapStatistics().heap_size_limit })
  }

  /** Starts every listener. The host becomes ready as soon as it has a configuration and the endpoints. */
  async start (): Promise<void> {
    const { listen, metricsPath, host } = this._settings
    const { clock, log } = this._adapters
    const signal = this._abort.signal
    setMaxListeners(MAX_ABORT_LISTENERS, signal)
    log.stateChange('started', { zone: host.zone, address: host.address, pid: process.pid })
    this._state.onConfig(config => {
      this._ingress.applyLimits(config)
      this._quotas.configure(config.accounts ?? [], clock.nowMs())
    }, signal)
    this._state.onDirectory(change => this._directoryChanged(change), signal)
    this._state.onUpdate(origin => this._heartbeats.stateUpdated(origin), signal)
    this._follower.run(signal).catch((err: Error) => log.warn('source follower failed', { reason: err.message }))
    const connections = internalConnections(processLimits(this._settings))
    const documents = new DocumentExchange({ listen: listen.documents, maxConnections: connections.documents, state: this._state, follower: this._follower, clock, log })
    this._heartbeats.onNewerState((peer, message) => documents.scheduleFetch(peer, message))
    await Promise.all([
      this._ingress.start(listen.caller, listen.peers, signal),
      this._startReadiness(connections.readiness, signal),
      documents.start(signal),
      this._heartbeats.start(signal),
      this._metrics.start(listen.metrics, metricsPath, connections.metrics, signal)
    ])
    this._roleController.start(signal)
    const { calls, dialect } = this._adapters
    calls.onResponse(({ endpoint, requestId, ownConnection }, { status, headers }) => {
      this._forwardingContext.reachability.responded(endpoint, ownConnection)
      const metadata = dialect.responseMetadata(status, headers)
      this._forwardingContext.admission.responded(endpoint, requestId, metadata)
      this._loadReported(endpoint, metadata)
    })
    calls.onFailure(({ endpoint }, failure) => {
      const connecting = failure === ExchangeFailure.Connect
      if (connecting || failure === ExchangeFailure.Broken) this._forwardingContext.reachability.unreachable(endpoint, connecting)
    })
    calls.onUnsent(({ endpoint }) => this._forwardingContext.admission.notSent(endpoint))
    this._watchMetrics()
  }

  /**
   * Stops gracefully: announces the shutdown to the other hosts, lets running requests finish, then closes all listeners.
   *
   * @returns When no request is running any more, or shortly before the grace period ends; every call waits for the same stop.
   */
  async stop (): Promise<void> {
    if (this._stopped !== undefined) this._adapters.log.stateChange('already stopping', { running: this._ingress.running })
    this._stopped ??= this._stop()
    await this._stopped
  }

  private async _stop (): Promise<void> {
    const { log, clock } = this._adapters
    const startMs = clock.nowMs()
    this._phase = Phase.Stopping
    log.stateChange('stopping', { running: this._ingress.running, graceSeconds: this._settings.bounds.graceSeconds })
    this._heartbeats.leave()
    const endMs = startMs + this._settings.bounds.graceSeconds * MS_PER_SECOND - STOP_MARGIN_MS
    this._plannedStop = { acceptUntilMs: startMs + STOP_ESTIMATE_MS, endMs }
    await this._waitUntil(() => clock.nowMs() >= endMs || (this._ingress.running === 0 && clock.nowMs() - startMs >= STOP_ACCEPT_MS))
    const stopMs = clock.nowMs()
    this._plannedStop = { acceptUntilMs: stopMs, endMs: stopMs }
    this._ingress.abortUnfinished()
    const responseEndMs = stopMs + STOP_RESPONSE_MS
    await this._waitUntil(() => this._ingress.running === 0 || clock.nowMs() >= responseEndMs)
    log.stateChange('stopped', { running: this._ingress.running, ms: Math.round(clock.nowMs() - startMs) })
    this._abort.abort()
  }

  private _createForwardingContext ({ load, directPrefills, demand, roleChanges }: WorkState, quarantine: CrashQuarantine, limits: EndpointRateLimits): ForwardingContext {
    const { clock, random, log, dialect, calls, engines } = this._adapters
    const { retryRatio, retryMinimum, retryWindowSeconds } = this._settings.bounds
    const reachability = new ReachabilityMonitor({ state: this._state, calls, dialect, clock, random, log, signal: this._abort.signal })
    const peerCalls = new PeerCalls({
      port: this._settings.listen.peers?.port,
      peers: () => this._heartbeats.workingPeers,
      stoppingPeers: () => this._heartbeats.stoppingPeers,
      state: this._state,
      dialect,
      clock,
      random,
      log,
      metrics: this._metrics
    })
    const budget = new FleetRetryBudget({ ratio: retryRatio, minRetries: retryMinimum, windowMs: retryWindowSeconds * MS_PER_SECOND }, clock.nowMs())
    const hostCount = (): number => this._heartbeats.hostCount
    return {
      zone: this._settings.host.zone,
      clock,
      random,
      log,
      metrics: this._metrics,
      dialect,
      calls,
      engines,
      state: this._state,
      load,
      directPrefills,
      demand,
      roleChanges,
      crashes: new CrashGuard({ clock, log, metrics: this._metrics, quarantine, hostCount, share: () => this._heartbeats.evidenceAdded() }),
      admission: new EndpointAdmission({ limits, clock, random, log, share: () => this._rateShare(), report: () => this._heartbeats.limitsChanged() }),
      reachability,
      peers: new PeerForwarder({ calls: peerCalls, reachability, budget, hostCount, clock, log, metrics: this._metrics }),
      reportedLoads: new ReportedLoads(),
      quotaGate: new QuotaGate({ quotas: this._quotas, clock, log, metrics: this._metrics, scheduleReport: () => this._heartbeats.scheduleSend() }),
      reliability: new EndpointReliability(),
      latencyModel: new ServiceLatencyModel(),
      budget,
      hostCount,
      plannedStop: () => this._plannedStop,
      loadAgeMs: () => this._heartbeats.usesRelays ? RELAYED_LOAD_AGE_MS : 0,
      scheduleHeartbeat: () => this._heartbeats.scheduleSend(),
      sendHeartbeatNow: () => this._heartbeats.sendNow()
    }
  }

  /** The list of hosts of a large fleet is only read from time to time. */
  private _rateShare (): RateShare {
    const nowMs = this._adapters.clock.nowMs()
    if (this._share === undefined || nowMs - this._share.atMs > RATE_SHARE_MS) {
      const { usesRelays, livePeers } = this._heartbeats
      this._share = { atMs: nowMs, share: usesRelays ? new AssignedRateShare(this._settings.host.address, livePeers) : new CountedRateShare() }
    }
    return this._share.share
  }

  private _forwarderSelector (): (request: GatewayRequest) => Forwarder {
    const plain = new PlainForwarder(this._forwardingContext)
    const stream = new StreamForwarder(this._forwardingContext)
    const prompt = new PromptForwarder(this._forwardingContext)
    return ({ route, service, metadata }) => {
      if (service.engine !== undefined && metadata.prompt !== undefined) return prompt
      return route.kind === RouteKind.Streaming ? stream : plain
    }
  }

  private _isReady (): boolean {
    const { config, directory } = this._state
    if (this._phase === Phase.Starting && config !== undefined && directory.revision > 0) {
      this._phase = Phase.Ready
      this._adapters.log.stateChange('ready', { config: config.version, endpoints: directory.records().length, revision: directory.revision })
    }
    return this._phase === Phase.Ready
  }

  private async _startReadiness (maxConnections: number, signal: AbortSignal): Promise<void> {
    const { readyPath, listen } = this._settings
    const server = createInternalServer(maxConnections, (req, res) => {
      const isReadyPath = req.url === readyPath
      res.writeHead(isReadyPath ? (this._isReady() ? 200 : 503) : 404).end()
    })
    await listenOn(server, listen.ready, signal)
  }

  private _directoryChanged ({ event, record }: DirectoryChange): void {
    if (event === DirectoryEvent.Changed && record.stage !== undefined) this._roleController.roleChanged(record)
    if (event === DirectoryEvent.Added) this._forwardingContext.reachability.endpointAdded(record)
    if (event !== DirectoryEvent.Removed) return
    this._forwardingContext.calls.closeConnections(record)
    this._forwardingContext.admission.forget(record)
    this._forwardingContext.reliability.forget(record.id)
    this._forwardingContext.latencyModel.forget(record.id)
    this._forwardingContext.reportedLoads.forget(record.id)
  }

  private _loadReported ({ id }: EndpointRecord, { load: reported }: ResponseMetadata): void {
    const { reportedLoads, load, clock } = this._forwardingContext
    if (reported !== undefined) reportedLoads.record(id, reported, load.ownAt(id).requests, clock.nowMs())
  }

  private _watchMetrics (): void {
    this._metrics.addGauges({
      running: () => this._ingress.running,
      ready: () => this._phase === Phase.Ready,
      configVersion: () => this._state.version,
      hosts: () => this._heartbeats.livePeers.length + 1,
      quarantined: () => this._forwardingContext.crashes.quarantinedCount,
      outOfReach: () => this._forwardingContext.reachability.lostCount,
      accountsNearLimit: () => this._quotas.busyAccounts(this._adapters.clock.nowMs()).length,
      heldBytes: () => this._ingress.heldBytes,
      waitingConnections: () => this._ingress.waitingConnections,
      callerConnections: () => this._ingress.callerConnections
    })
  }

  private async _waitUntil (done: () => boolean): Promise<void> {
    if (done()) return
    await new Promise<void>(resolve => {
      const timer = setInterval(() => {
        if (!done()) return
        clearInterval(timer)
        resolve()
      }, STOP_CHECK_MS)
    })
  }
}
