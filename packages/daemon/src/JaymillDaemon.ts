import { setMaxListeners } from 'node:events'
import {
  BurnRecorder, ConfigSource, ErrorKind, HostIdentity, HostList, OWNER_TIMEOUT_MS, PeerStatus, RequestError, RequestLog
} from '@jaymill/core'
import { HttpOrderClient, HttpServiceClient, PeerHandlers, UndiciEngineClient } from '@jaymill/adapters'
import { HostSettings, readSecret } from '@jaymill/settings'
import type { Logger } from 'winston'
import { revisionOf } from './admin/JaymillAdminRouter.js'
import { AdminServer } from './admin/JaymillAdminServer.js'
import { BodyBudget } from './callers/JaymillBodyBudget.js'
import { CallerServer } from './callers/JaymillCallerServer.js'
import { ConfigDriver } from './config/JaymillConfigDriver.js'
import { ConfigSourceFollower } from './config/JaymillConfigSourceFollower.js'
import { createHostConfigSource } from './config/JaymillHostConfigSource.js'
import { PublishedDocuments } from './config/JaymillPublishedDocuments.js'
import { HostHealth } from './health/JaymillHostHealth.js'
import type { HostContext } from './JaymillHostContext.js'
import { ForwardServer } from './idempotency/JaymillForwardServer.js'
import { KeyOwnerDriver } from './idempotency/JaymillKeyOwnerDriver.js'
import { OwnedRequests } from './idempotency/JaymillOwnedRequests.js'
import { decisionLogger } from './logging/JaymillDecisionLog.js'
import { createHostLogger } from './logging/JaymillLogger.js'
import { HostMetrics } from './metrics/JaymillHostMetrics.js'
import { MetricsServer } from './metrics/JaymillMetricsServer.js'
import { MembershipDriver } from './membership/JaymillMembershipDriver.js'
import { OrderDriver } from './orders/JaymillOrderDriver.js'
import { PeerNetwork } from './peers/JaymillPeerNetwork.js'
import { SystemClock } from './ports/JaymillSystemClock.js'
import { SystemSecretReader } from './ports/JaymillSystemSecretReader.js'
import { SystemRandom } from './ports/JaymillSystemRandom.js'
import { CompletionRunner } from './requests/JaymillCompletionRunner.js'
import { Routing } from './routing/JaymillRouting.js'
import { CompletionRouter } from './streams/JaymillCompletionRouter.js'
import { CompletionService } from './streams/JaymillCompletionService.js'
import { isCompletionForwardPath } from './streams/JaymillCompletionWire.js'
import { ForwardedCompletionHandler } from './streams/JaymillForwardedCompletionHandler.js'
import { RemoteCompletions } from './streams/JaymillRemoteCompletions.js'

/** `setMaxListeners` takes 0 as no limit: each pending cancellation and retry listens to the shutdown signal of the host. */
const UNLIMITED_LISTENERS = 0
const REQUEST_LOG_CAPACITY = 10_000
const NOT_READY_RETRY_AFTER_MS = 1_000

/** Base URLs of the listeners of a daemon. */
export interface DaemonUrls {
  readonly caller: string
  readonly admin: string
  readonly peer: string
  readonly metrics: string
}

/** One host of the router: its listeners, published documents and request handling. */
export class Daemon {
  private readonly _documents: PublishedDocuments
  private readonly _shutdown = new AbortController()
  private readonly _ctx: HostContext
  private readonly _ownedRequests: OwnedRequests
  private readonly _forwardedCompletions: ForwardedCompletionHandler
  private readonly _callerServer: CallerServer
  private readonly _adminServer: AdminServer
  private readonly _config: ConfigDriver
  private readonly _membership: MembershipDriver
  private readonly _configSource: ConfigSource
  private readonly _routing: Routing
  private _draining = false
  private _stopped: Promise<void> | undefined

  /**
   * @param settings - Settings of the host.
   * @param log - Logger. Default: structured lines on standard error.
   */
  constructor (settings: HostSettings, log: Logger = createHostLogger(settings.log.level, settings.host.id)) {
    setMaxListeners(UNLIMITED_LISTENERS, this._shutdown.signal)
    const clock = new SystemClock()
    const identity: HostIdentity = { ...settings.host, incarnation: settings.host.incarnation ?? clock.wallMs() }
    const documents = this._documents = new PublishedDocuments(log)
    const secrets = new SystemSecretReader()
    const peerToken = readSecret(settings.credentials.peerToken, 'credentials.peerToken', secrets)
    const peers = new PeerNetwork(settings, peerToken, () => documents.hosts(), this._shutdown.signal)
    const random = new SystemRandom()
    const engines = new UndiciEngineClient({ signal: this._shutdown.signal })
    const health = new HostHealth({ clock, random, log, identity, engines, fleet: () => documents.fleet() })
    const driverOptions = { identity, clock, log, peers, documents }
    this._config = new ConfigDriver(driverOptions)
    this._membership = new MembershipDriver({ ...driverOptions, config: this._config, health })
    const sharedContext = {
      identity,
      clock,
      log,
      random,
      engines,
      peers,
      fleet: () => documents.fleet(),
      hosts: () => documents.hosts()
    }
    const hostsWithLeavingEndpoints = (): HostList => this._membership.list()
    this._routing = new Routing({
      ...sharedContext,
      hosts: hostsWithLeavingEndpoints,
      maxQueued: settings.limits.queueRequests,
      ownerTimeoutMs: OWNER_TIMEOUT_MS,
      weightOf: (poolId, endpointId) => health.weight(poolId, endpointId)
    })
    this._ctx = {
      ...sharedContext,
      settings,
      metrics: new HostMetrics(),
      burn: new BurnRecorder(),
      bodies: new BodyBudget(settings.limits.queueBytes),
      requests: new RequestLog(REQUEST_LOG_CAPACITY, decisionLogger(log)),
      health,
      services: new HttpServiceClient({ signal: this._shutdown.signal }),
      slotAllocator: this._routing.slotAllocator,
      keys: new KeyOwnerDriver({ identity, limits: settings.limits, clock, log, peers, hosts: () => documents.hosts() }),
      draining: () => this._draining,
      requireReady: () => this._requireReady(),
      configStatus: () => ({ gate: this._config.gate, lags: documents.lags(clock.nowMs()), conflicts: documents.conflicts }),
      otherHosts: () => this._membership.views()
    }
    this._configSource = createHostConfigSource(this._ctx, secrets, () => documents.list)
    this._ownedRequests = new OwnedRequests(this._ctx, this._shutdown.signal)
    const completionService = new CompletionService(this._ctx, new CompletionRunner(this._ctx))
    this._forwardedCompletions = new ForwardedCompletionHandler(this._ctx, completionService)
    this._callerServer = new CallerServer(
      this._ctx, this._ownedRequests, new CompletionRouter(this._ctx, completionService, new RemoteCompletions(this._ctx))
    )
    this._adminServer = new AdminServer(this._ctx, readSecret(settings.credentials.adminToken, 'credentials.adminToken', secrets), {
      drain: () => { this.stop().catch(err => this._ctx.log.error('drain failed', { err })) },
      ready: () => this._ready
    })
  }

  /**
   * Starts the listeners and follows the configuration source.
   *
   * @returns Base URLs of the listeners.
   */
  async start (): Promise<DaemonUrls> {
    const forwardServer = new ForwardServer(this._ctx, this._ownedRequests)
    const urls = {
      caller: await this._callerServer.listen(),
      admin: await this._adminServer.listen(),
      metrics: await this._listenMetrics(),
      peer: await this._ctx.peers.listen(this._peerHandlers(), (req, res) => {
        if (isCompletionForwardPath(req.url)) this._forwardedCompletions.handle(req, res)
        else forwardServer.handle(req, res)
      })
    }
    this._ctx.keys.start(this._shutdown.signal)
    this._startDrivers(this._shutdown.signal)
    this._ctx.log.info('host started', { ...urls, incarnation: this._ctx.identity.incarnation })
    return urls
  }

  /**
   * Stops gracefully: refuses new requests immediately, waits for all running ones, then releases all resources.
   *
   * @returns Promise that resolves when all resources are released; every call waits for the same drain.
   */
  async stop (): Promise<void> {
    if (this._stopped !== undefined) this._ctx.log.warn('stop was requested again, work still runs', { running: this._callerServer.inFlight })
    this._stopped ??= this._drain()
    await this._stopped
  }

  /** Stops immediately, like a crash: aborts all work and closes the listeners. */
  kill (): void {
    this._shutdown.abort(new RequestError(ErrorKind.Stopping, 'the host was killed'))
    this._callerServer.close()
    this._adminServer.close()
  }

  private _startDrivers (signal: AbortSignal): void {
    const { _documents: documents, _configSource: source, _membership: membership } = this
    const { identity: { id: hostId }, clock } = this._ctx
    const isReachable = (other: string): boolean => [PeerStatus.Live, PeerStatus.Leaving].includes(membership.statusOf(other))
    membership.start(signal)
    this._config.start(signal)
    new ConfigSourceFollower({ hostId, source, documents, clock, isReachable }).start(signal)
    this._routing.start(() => documents.complete, signal)
    new OrderDriver({ ...this._ctx, client: new HttpOrderClient(), leaseValid: () => this._leaseValid }).start(signal)
  }

  private async _listenMetrics (): Promise<string> {
    const { metrics, settings } = this._ctx
    metrics.registerGauges({
      running: () => this._callerServer.inFlight,
      ready: () => this._ready,
      draining: () => this._draining,
      fleetRevision: () => revisionOf(() => this._documents.fleet()),
      hostListRevision: () => revisionOf(() => this._documents.hosts()),
      documentsOverdue: () => this._documents.lags(this._ctx.clock.nowMs()).filter(({ overdue }) => overdue).length,
      keys: () => this._ctx.keys.status(),
      burnRoutes: () => this._ctx.burn.routes(this._ctx.clock.nowMs())
    })
    return await new MetricsServer(metrics, this._shutdown.signal).listen(settings.listen.metrics)
  }

  private _peerHandlers (): PeerHandlers {
    return {
      heartbeat: this._membership,
      lease: this._ctx.keys,
      reservations: this._routing.handler,
      config: this._config
    }
  }

  private get _ready (): boolean {
    return this._documents.complete && this._routing.ready && this._config.gate.open && !this._membership.paused &&
      !this._draining
  }

  private get _leaseValid (): boolean {
    const { activeRevision, leaseLeftMs } = this._ctx.keys.status()
    return this._ready && leaseLeftMs > 0 && activeRevision === this._documents.list?.revision
  }

  private _requireReady (): void {
    const { open, reason, answers, needed } = this._config.gate
    if (this._membership.paused) throw new RequestError(ErrorKind.NotReady, 'this host was paused and is requesting the configuration of the other hosts')
    if (open) return
    const message = `this host may not serve yet: ${reason}, ${answers} of ${needed} other hosts have reported their revisions`
    throw new RequestError(ErrorKind.NotReady, message, { retryAfterMs: NOT_READY_RETRY_AFTER_MS })
  }

  private async _drain (): Promise<void> {
    this._draining = true
    const leaveAnnounced = this._membership.leave()
    const deadline = setTimeout(() => this._reportDeadline(), this._ctx.settings.drainDeadlineMs)
    this._ctx.log.info('drain started', { running: this._callerServer.inFlight })
    await leaveAnnounced
    await this._callerServer.idle()
    await this._ownedRequests.idle()
    await this._forwardedCompletions.idle()
    clearTimeout(deadline)
    this._ctx.log.info('drain complete')
    this.kill()
  }

  private _reportDeadline (): void {
    this._ctx.log.error('drain deadline has passed, work still runs', { running: this._callerServer.inFlight })
  }
}
