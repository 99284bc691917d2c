import { isDeepStrictEqual } from 'node:util'
import {
  Clock, DigestPacer, EndpointAvailability, Heartbeat, HeartbeatHandler, HostIdentity, HostList, Membership, MembershipEffect, MembershipEffectKind,
  PeerChangedEffect, PeerStatus, PlatformKey, SendEffect
} from '@jaymill/core'
import type { Logger } from 'winston'
import type { ConfigDriver } from '../config/JaymillConfigDriver.js'
import type { PublishedDocuments } from '../config/JaymillPublishedDocuments.js'
import type { HostHealth } from '../health/JaymillHostHealth.js'
import type { PeerNetwork } from '../peers/JaymillPeerNetwork.js'
import { MEMBERSHIP_STEP_MS } from './constants.js'

/** What the membership driver works with. */
export interface MembershipDriverOptions {
  readonly identity: HostIdentity
  readonly clock: Clock
  readonly log: Logger
  readonly peers: PeerNetwork
  readonly documents: PublishedDocuments
  readonly config: ConfigDriver
  readonly health: HostHealth
}

/** One other host as this host sees it. */
export interface HostView {
  readonly id: string
  readonly status: PeerStatus
  /** Highest incarnation heard of; 0 when none was. */
  readonly incarnation: number
}

/** Called after another host's status or incarnation has changed. */
export type PeerListener = (change: PeerChangedEffect) => void

/** Drives membership with the clock and heartbeats over the peer listener. */
export class MembershipDriver extends HeartbeatHandler {
  private readonly _options: MembershipDriverOptions
  private readonly _membership: Membership
  private readonly _pacer = new DigestPacer()
  private readonly _endpoints = new EndpointAvailability()
  private readonly _peerListeners: PeerListener[] = []
  private readonly _declaredGoneListeners: Array<() => void> = []
  private _list: { readonly published: HostList, readonly list: HostList } | undefined
  private _signal: AbortSignal | undefined

  /**
   * @param options - Parts of the host.
   */
  constructor (options: MembershipDriverOptions) {
    super()
    this._options = options
    this._membership = new Membership(options.identity, options.clock.nowMs())
    options.documents.onAdopted(key => this._adopted(key))
  }

  /**
   * @returns The host list in force, with every endpoint that is known to be leaving; the same object until one of them changes.
   * @throws RequestError of kind `NotReady` before the first list.
   */
  list (): HostList {
    const published = this._options.documents.hosts()
    const leavingEndpoints = this._endpoints.leaving(this._options.clock.nowMs())
    const fresh = this._list?.published === published && isDeepStrictEqual(this._list.list.leavingEndpoints, leavingEndpoints)
    if (!fresh) this._list = { published, list: { ...published, leavingEndpoints } }
    return this._list?.list ?? published
  }

  /** Whether the process was paused and what it knows may be old. */
  get paused (): boolean {
    return this._membership.isPaused(this._options.clock.nowMs())
  }

  /**
   * Runs until the signal aborts.
   *
   * @param signal - Ends the heartbeats.
   */
  start (signal: AbortSignal): void {
    this._signal = signal
    const timer = setInterval(() => this._run(this._membership.tick(this._options.clock.nowMs())), MEMBERSHIP_STEP_MS)
    signal.addEventListener('abort', () => clearInterval(timer), { once: true })
  }

  /**
   * Announces to other hosts at once that this host stops.
   *
   * @returns When every partner has answered or its call has failed.
   */
  async leave (): Promise<void> {
    await Promise.all(this._membership.leave(this._options.clock.nowMs()).map(effect => this._trySend(effect)))
  }

  /**
   * @param endpointId - An endpoint.
   * @returns Whether it may get new work.
   */
  accepts (endpointId: string): boolean {
    return this._endpoints.accepts(endpointId, this._options.clock.nowMs())
  }

  /**
   * Tells all hosts that an endpoint has said that it is leaving.
   *
   * @param endpointId - The endpoint.
   */
  observeLeaving (endpointId: string): void {
    if (this._endpoints.observeLeaving(endpointId, this._options.clock.nowMs())) this._announce()
  }

  /**
   * @param hostId - Another host.
   * @returns Its status.
   */
  statusOf (hostId: string): PeerStatus {
    return this._membership.statusOf(hostId)
  }

  /**
   * @param hostId - Another host.
   * @returns The highest incarnation heard of; 0 when none was.
   */
  incarnationOf (hostId: string): number {
    return this._membership.incarnationOf(hostId)
  }

  /**
   * @returns All other hosts that are known.
   */
  views (): HostView[] {
    return this._membership.hostIds().map(id => ({ id, status: this.statusOf(id), incarnation: this.incarnationOf(id) }))
  }

  /**
   * @param listener - Called after each change of another host.
   */
  onPeerChanged (listener: PeerListener): void {
    this._peerListeners.push(listener)
  }

  /**
   * @param listener - Called when other hosts have given this process up.
   */
  onDeclaredGone (listener: () => void): void {
    this._declaredGoneListeners.push(listener)
  }

  /** {@inheritDoc @jaymill/core#HeartbeatHandler.heartbeat} */
  async heartbeat (beat: Heartbeat): Promise<Heartbeat> {
    this._receive(beat)
    return this._beat(beat.from)
  }

  private _adopted (key: PlatformKey): void {
    const { documents, clock } = this._options
    const nowMs = clock.nowMs()
    if (key === PlatformKey.Fleet) this._endpoints.adoptConfig(documents.fleet(), nowMs)
    else {
      this._membership.adoptList(documents.hosts(), nowMs)
      this._endpoints.adoptList(documents.hosts(), nowMs)
    }
    this._announce()
  }

  private _announce (): void {
    this._run(this._membership.announce(this._options.clock.nowMs()))
  }

  private _beat (to: string): Heartbeat {
    const { documents, health, clock } = this._options
    const nowMs = clock.nowMs()
    const digest = health.digest()
    const facts = { documents: documents.marks, leavingEndpoints: this._endpoints.marks(nowMs) }
    return this._membership.beat({ ...facts, health: this._pacer.take(digest.length, nowMs) ? digest : '' }, to)
  }

  private _receive (beat: Heartbeat): void {
    const { config, health, clock, identity } = this._options
    if (beat.from === identity.id) return
    const nowMs = clock.nowMs()
    config.hear(beat.from, beat.documents)
    health.merge(beat.health)
    const news = this._endpoints.receive(beat.leavingEndpoints, nowMs)
    this._run(this._membership.receive(beat, nowMs))
    if (news) this._announce()
  }

  private _run (effects: readonly MembershipEffect[]): void {
    effects.forEach(effect => this._perform(effect))
  }

  private _perform (effect: MembershipEffect): void {
    const { log, config } = this._options
    switch (effect.kind) {
      case MembershipEffectKind.Send:
        this._trySend(effect).catch(err => log.error('heartbeat answer not handled', { err }))
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
    const answer = await this._exchange(hostId, peerUrl, signal)
      .catch((err: unknown) => { this._options.log.debug('heartbeat unanswered', { hostId, err }) })
    if (answer !== undefined) this._receive(answer)
  }

  private async _exchange (hostId: string, peerUrl: string, signal: AbortSignal): Promise<Heartbeat> {
    return await this._options.peers.clientAt(hostId, peerUrl).heartbeat(this._beat(hostId), signal)
  }
}
