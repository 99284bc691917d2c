import { setMaxListeners } from 'node:events'
import { BurnRecorder, ErrorKind, HostIdentity, HostList, OWNER_TIMEOUT_MS, PeerStatus, PlatformReader, RequestError, RequestLog } from '@jaymill/core'
import { HttpOrderClient, HttpServiceClient, PeerHandlers, UndiciEngineClient } from '@jaymill/adapters'
import { HostSettings, readSecret } from '@jaymill/settings'
import type { Logger } from 'winston'
import { revisionOf } from './admin/JaymillAdminRouter.js'
import { AdminServer } from './admin/JaymillAdminServer.js'
import { BodyBudget } from './callers/JaymillBodyBudget.js'
import { CallerServer } from './callers/JaymillCallerServer.js'
import { ConfigDriver } from './config/JaymillConfigDriver.js'
import { createHostPlatform } from './config/JaymillHostPlatform.js'
import { PlatformFollower } from './config/JaymillPlatformFollower.js'
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
import { AnswerForwardHandler } from './streams/JaymillAnswerForwardHandler.js'
import { AnswerRouter } from './streams/JaymillAnswerRouter.js'
import { AnswerService } from './streams/JaymillAnswerService.js'
import { isAnswerPath } from './streams/JaymillAnswerWire.js'
import { RemoteAnswers } from './streams/JaymillRemoteAnswers.js'

/** Every running cancel and retry listens to the signal of the host. */
const UNLIMITED = 0
const REQUESTS_KEPT = 10_000
const NOT_READY_RETRY_AFTER_MS = 1_000

/** Addresses a daemon listens on. */
export interface DaemonUrls {
  readonly caller: string
  readonly admin: string
  readonly peer: string
  readonly metrics: string
}

/** One host of the system: listeners, published documents and what serves requests. */
export class Daemon {
  private readonly _documents: PublishedDocuments
  private readonly _owner = new AbortController()
  private readonly _ctx: HostContext
  private readonly _owned: OwnedRequests
  private readonly _lent: AnswerForwardHandler
  private readonly _callers: CallerServer
  private readonly _admin: AdminServer
  private readonly _config: ConfigDriver
  private readonly _membership: MembershipDriver
  private readonly _platform: PlatformReader
  private readonly _routing: Routing
  private _draining = false
  private _stopped: Promise<void> | undefined

  /**
   * @param settings - Settings of the host.
   * @param log - Logger; by default structured lines on standard error.
   */
  constructor (settings: HostSettings, log: Logger = createHostLogger(settings.log.level, settings.host.id)) {
    setMaxListeners(UNLIMITED, this._owner.signal)
    const clock = new SystemClock()
    const identity: HostIdentity = { ...settings.host, incarnation: settings.host.incarnation ?? clock.wallMs() }
    const documents = this._documents = new PublishedDocuments(log)
    const secrets = new SystemSecretReader()
    const peerToken = readSecret(settings.credentials.peerToken, 'credentials.peerToken', secrets)
    const peers = new PeerNetwork(settings, peerToken, () => documents.hosts(), this._owner.signal)
    const random = new SystemRandom()
    const engines = new UndiciEngineClient({ signal: this._owner.signal })
    const health = new HostHealth({ clock, random, log, identity, engines, fleet: () => documents.fleet() })
    const parts = { identity, clock, log, peers, documents }
    this._config = new ConfigDriver(parts)
    this._membership = new MembershipDriver({ ...parts, config: this._config, health })
    const shared = {
      identity,
      clock,
      log,
      random,
      engines,
      peers,
      fleet: () => documents.fleet(),
      hosts: () => documents.hosts()
    }
    const knownLeaving = (): HostList => this._membership.list()
    this._routing = new Routing({ ...shared, hosts: knownLeaving, maxQueued: settings.limits.queueRequests, ownerWaitMs: OWNER_TIMEOUT_MS, weightOf: (poolId, endpointId) => health.weight(poolId, endpointId) })
    this._ctx = {
      ...shared,
      settings,
      metrics: new HostMetrics(),
      burn: new BurnRecorder(),
      bodies: new BodyBudget(settings.limits.queueBytes),
      requests: new RequestLog(REQUESTS_KEPT, decisionLogger(log)),
      health,
      services: new HttpServiceClient({ signal: this._owner.signal }),
      booker: this._routing.booker,
      keys: new KeyOwnerDriver({ identity, limits: settings.limits, clock, log, peers, hosts: () => documents.hosts() }),
      draining: () => this._draining,
      requireReady: () => this._requireReady(),
      configStatus: () => ({ gate: this._config.gate, lags: documents.lags(clock.nowMs()), conflicts: documents.conflicts }),
      otherHosts: () => this._membership.views()
    }
    this._platform = createHostPlatform(this._ctx, secrets, () => documents.list)
    this._owned = new OwnedRequests(this._ctx, this._owner.signal)
    const answers = new AnswerService(this._ctx, new CompletionRunner(this._ctx))
    this._lent = new AnswerForwardHandler(this._ctx, answers)
    this._callers = new CallerServer(this._ctx, this._owned, new AnswerRouter(this._ctx, answers, new RemoteAnswers(this._ctx)))
    this._admin = new AdminServer(this._ctx, readSecret(settings.credentials.adminToken, 'credentials.adminToken', secrets), {
      drain: () => { this.stop().catch(err => this._ctx.log.error('drain failed', { err })) },
      ready: () => this._ready
    })
  }

  /**
   * Starts the listeners and follows the platform.
   *
   * @returns Addresses.
   */
  async start (): Promise<DaemonUrls> {
    const forwards = new ForwardServer(this._ctx, this._owned)
    const urls = {
      caller: await this._callers.listen(),
      admin: await this._admin.listen(),
      metrics: await this._listenMetrics(),
      peer: await this._ctx.peers.listen(this._peerHandlers(), (req, res) => {
        if (isAnswerPath(req.url)) this._lent.handle(req, res)
        else forwards.handle(req, res)
      })
    }
    this._ctx.keys.start(this._owner.signal)
    this._follow(this._owner.signal)
    this._ctx.log.info('host started', { ...urls, incarnation: this._ctx.identity.incarnation })
    return urls
  }

  /**
   * Stops gracefully: refuses new work at once, lets all running work end, then releases everything.
   *
   * @returns When everything is released; every call gives the same promise.
   */
  async stop (): Promise<void> {
    if (this._stopped !== undefined) this._ctx.log.warn('stop was asked for again, work still runs', { running: this._callers.inFlight })
    this._stopped ??= this._drain()
    await this._stopped
  }

  /** Releases everything at once, as a crash would. */
  kill (): void {
    this._owner.abort(new RequestError(ErrorKind.Stopping, 'the host was killed'))
    this._callers.close()
    this._admin.close()
  }

  private _follow (signal: AbortSignal): void {
    const { _documents: documents, _platform: reader, _membership: membership } = this
    const { identity: { id: hostId }, clock } = this._ctx
    const answers = (other: string): boolean => [PeerStatus.Live, PeerStatus.Leaving].includes(membership.statusOf(other))
    membership.start(signal)
    this._config.start(signal)
    new PlatformFollower({ hostId, reader, documents, clock, answers }).start(signal)
    this._routing.follow(() => documents.known, signal)
    new OrderDriver({ ...this._ctx, client: new HttpOrderClient(), leaseFresh: () => this._leaseFresh }).start(signal)
  }

  private async _listenMetrics (): Promise<string> {
    const { metrics, settings } = this._ctx
    metrics.watch({
      running: () => this._callers.inFlight,
      ready: () => this._ready,
      draining: () => this._draining,
      fleetRevision: () => revisionOf(() => this._documents.fleet()),
      hostListRevision: () => revisionOf(() => this._documents.hosts()),
      documentsOverdue: () => this._documents.lags(this._ctx.clock.nowMs()).filter(({ overdue }) => overdue).length,
      keys: () => this._ctx.keys.status(),
      burnRoutes: () => this._ctx.burn.routes(this._ctx.clock.nowMs())
    })
    return await new MetricsServer(metrics, this._owner.signal).listen(settings.listen.metrics)
  }

  private _peerHandlers (): PeerHandlers {
    return {
      heartbeat: this._membership,
      lease: this._ctx.keys,
      grants: this._routing.handler,
      config: this._config
    }
  }

  private get _ready (): boolean {
    return this._documents.known && this._routing.ready && this._config.gate.open && !this._membership.paused && !this._draining
  }

  private get _leaseFresh (): boolean {
    const { activeRevision, leaseLeftMs } = this._ctx.keys.status()
    return this._ready && leaseLeftMs > 0 && activeRevision === this._documents.list?.revision
  }

  private _requireReady (): void {
    const { open, reason, answers, needed } = this._config.gate
    if (this._membership.paused) throw new RequestError(ErrorKind.NotReady, 'this host was paused and asks the others for their configuration')
    if (open) return
    const message = `this host may not serve yet: ${reason}, ${answers} of ${needed} other hosts have told their revisions`
    throw new RequestError(ErrorKind.NotReady, message, { retryAfterMs: NOT_READY_RETRY_AFTER_MS })
  }

  private async _drain (): Promise<void> {
    this._draining = true
    const announced = this._membership.leave()
    const deadline = setTimeout(() => this._reportDeadline(), this._ctx.settings.drainDeadlineMs)
    this._ctx.log.info('drain started', { running: this._callers.inFlight })
    await announced
    await this._callers.idle()
    await this._owned.idle()
    await this._lent.idle()
    clearTimeout(deadline)
    this._ctx.log.info('drain complete')
    this.kill()
  }

  private _reportDeadline (): void {
    this._ctx.log.error('drain deadline has passed, work still runs', { running: this._callers.inFlight })
  }
}
