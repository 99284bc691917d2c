import { isDeepStrictEqual } from 'node:util'
import {
  Clock, DocumentKey, EndpointAvailability, HealthSummaryRateLimiter, Heartbeat, HeartbeatHandler, HostIdentity, HostList,
  Membership, MembershipEffect, MembershipEffectKind, PeerChangedEffect, PeerStatus, SendEffect
} from '@jaymill/core'
import type { Logger } from 'winston'
import type { ConfigDriver } from '../config/JaymillConfigDriver.js'
import type { PublishedDocuments } from '../config/JaymillPublishedDocuments.js'
import type { HostHealth } from '../health/JaymillHostHealth.js'
import type { PeerNetwork } from '../peers/JaymillPeerNetwork.js'
import { MEMBERSHIP_STEP_MS } from './constants.js'

/** Components of the host that the membership driver uses. */
export interface MembershipDriverOptions {
  readonly identity: HostIdentity
  readonly clock: Clock
  readonly log: Logger
  readonly peers: PeerNetwork
  readonly documents: PublishedDocuments
  readonly config: ConfigDriver
  readonly health: HostHealth
}

/** Another host as seen by this host. */
export interface HostView {
  readonly id: string
  readonly status: PeerStatus
  /** Highest known incarnation; 0 when none is known. */
  readonly incarnation: number
}

/** Called after another host's status or incarnation has changed. */
export type PeerListener = (change: PeerChangedEffect) => void

/** Runs the membership state machine: ticks it periodically and exchanges heartbeats with other hosts. */
export class MembershipDriver extends HeartbeatHandler {
  private readonly _options: MembershipDriverOptions
  private readonly _membership: Membership
  private readonly _healthRateLimiter = new HealthSummaryRateLimiter()
  private readonly _endpoints = new EndpointAvailability()
  private readonly _peerListeners: PeerListener[] = []
  private readonly _declaredGoneListeners: Array<() => void> = []
  private _list: { readonly published: HostList, readonly list: HostList } | undefined
  private _signal: AbortSignal | undefined

  /**
   * @param options - Components of the host.
   */
  constructor (options: MembershipDriverOptions) {
    super()
    this._options = options
    this._membership = new Membership(options.identity, options.clock.nowMs())
    options.documents.onAdopted(key => this._onAdopted(key))
  }

  /**
   * @returns The active host list with all endpoints that are known to be leaving; the same object until one of them changes.
   * @throws RequestError of kind `NotReady` before the first list.
   */
  list (): HostList {
    const published = this._options.documents.hosts()
    const leavingEndpoints = this._endpoints.leaving(this._options.clock.nowMs())
    const unchanged = this._list?.published === published && isDeepStrictEqual(this._list.list.leavingEndpoints, leavingEndpoints)
    if (!unchanged) this._list = { published, list: { ...published, leavingEndpoints } }
    return this._list?.list ?? published
  }

  /** Whether the process was paused and its state may be outdated. */
  get paused (): boolean {
    return this._membership.isPaused(this._options.clock.nowMs())
  }

  /**
   * Runs until the signal aborts.
   *
   * @param signal - Stops the heartbeats.
   */
  start (signal: AbortSignal): void {
    this._signal = signal
    const timer = setInterval(() => this._run(this._membership.tick(this._options.clock.nowMs())), MEMBERSHIP_STEP_MS)
    signal.addEventListener('abort', () => clearInterval(timer), { once: true })
  }

  /**
   * Announces immediately to other hosts that this host is stopping.
   *
   * @returns Resolves when every heartbeat partner has responded or its call has failed.
   */
  async leave (): Promise<void> {
    await Promise.all(this._membership.leave(this._options.clock.nowMs()).map(effect => this._trySend(effect)))
  }

  /**
   * @param endpointId - Id of an endpoint.
   * @returns Whether it may get new work.
   */
  accepts (endpointId: string): boolean {
    return this._endpoints.accepts(endpointId, this._options.clock.nowMs())
  }

  /**
   * Records that an endpoint reported that it is leaving, and announces it to the other hosts.
   *
   * @param endpointId - Id of the endpoint.
   */
  observeLeaving (endpointId: string): void {
    if (this._endpoints.observeLeaving(endpointId, this._options.clock.nowMs())) this._announce()
  }

  /**
   * @param hostId - Id of another host.
   * @returns Its status.
   */
  statusOf (hostId: string): PeerStatus {
    return this._membership.statusOf(hostId)
  }

  /**
   * @param hostId - Id of another host.
   * @returns Its highest known incarnation; 0 when none is known.
   */
  incarnationOf (hostId: string): number {
    return this._membership.incarnationOf(hostId)
  }

  /**
   * @returns All other known hosts.
   */
  views (): HostView[] {
    return this._membership.hostIds().map(id => ({ id, status: this.statusOf(id), incarnation: this.incarnationOf(id) }))
  }

  /**
   * Registers a listener for changes of other hosts.
   *
   * @param listener - Called after each change of another host.
   */
  onPeerChanged (listener: PeerListener): void {
    this._peerListeners.push(listener)
  }

  /**
   * Registers a listener for the event that other hosts have declared this process gone.
   *
   * @param listener - Called when that happens.
   */
  onDeclaredGone (listener: () => void): void {
    this._declaredGoneListeners.push(listener)
  }

  /** {@inheritDoc @jaymill/core#HeartbeatHandler.heartbeat} */
  async heartbeat (heartbeat: Heartbeat): Promise<Heartbeat> {
    this._receive(heartbeat)
    return this._createHeartbeat(heartbeat.from)
  }

  private _onAdopted (key: DocumentKey): void {
    const { documents, clock } = this._options
    const nowMs = clock.nowMs()
    if (key === DocumentKey.Fleet) this._endpoints.adoptConfig(documents.fleet(), nowMs)
    else {
      this._membership.adoptList(documents.hosts(), nowMs)
      this._endpoints.adoptList(documents.hosts(), nowMs)
    }
    this._announce()
  }

  private _announce (): void {
    this._run(this._membership.announce(this._options.clock.nowMs()))
  }

  private _createHeartbeat (to: string): Heartbeat {
    const { documents, health, clock } = this._options
    const nowMs = clock.nowMs()
    const summary = health.summarize()
    const state = { documents: documents.versions, leavingEndpoints: this._endpoints.reports(nowMs) }
    return this._membership.createHeartbeat({
      ...state, health: this._healthRateLimiter.tryAcquire(summary.length, nowMs) ? summary : ''
    }, to)
  }

  private _receive (heartbeat: Heartbeat): void {
    const { config, health, clock, identity } = this._options
    if (heartbeat.from === identity.id) return
    const nowMs = clock.nowMs()
    config.observeVersions(heartbeat.from, heartbeat.documents)
    health.merge(heartbeat.health)
    const changed = this._endpoints.receive(heartbeat.leavingEndpoints, nowMs)
    this._run(this._membership.receive(heartbeat, nowMs))
    if (changed) this._announce()
  }

  private _run (effects: readonly MembershipEffect[]): void {
    effects.forEach(effect => this._perform(effect))
  }

  private _perform (effect: MembershipEffect): void {
    const { log, config } = this._options
    switch (effect.kind) {
      case MembershipEffectKind.Send:
        this._trySend(effect).catch(err => log.error('heartbeat response not handled', { err }))
        break
      case MembershipEffectKind.PeerChanged:
        log.info('host changed', { ...effect })
        this._peerListeners.forEach(listener => listener(effect))
        break
      case MembershipEffectKind.DeclaredGone:
        log.error('other hosts have given this process up')
        this._declaredGoneListeners.forEach(listener => listener())
        break
      case MembershipEffectKind.Paused:
        log.warn('process was paused', { gapMs: effect.gapMs })
        config.reset()
    }
  }

  private async _trySend ({ hostId, peerUrl }: SendEffect): Promise<void> {
    const signal = this._signal
    if (signal === undefined || signal.aborted) return
    const response = await this._exchange(hostId, peerUrl, signal)
      .catch((err: unknown) => { this._options.log.debug('heartbeat failed', { hostId, err }) })
    if (response !== undefined) this._receive(response)
  }

  private async _exchange (hostId: string, peerUrl: string, signal: AbortSignal): Promise<Heartbeat> {
    return await this._options.peers.clientAt(hostId, peerUrl).heartbeat(this._createHeartbeat(hostId), signal)
  }
}
