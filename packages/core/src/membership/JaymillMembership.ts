import { HostEntry, HostIdentity, HostList, HostState } from '../fleet/JaymillHostList.js'
import { DocumentVersion, Heartbeat, LeavingReport, PeerStatus, PeerUpdate } from '../ports/peers/JaymillHeartbeatHandler.js'
import { heartbeatPartners } from './JaymillHeartbeatPartners.js'
import { HEARTBEAT_INTERVAL_MS, HEARTBEAT_PARTNERS, PAUSE_GAP_MS } from './JaymillMembershipConstants.js'
import { MembershipEffect, MembershipEffectKind, PeerChangedEffect, SendEffect } from './JaymillMembershipEffect.js'
import { PeerRecord } from './JaymillPeerRecord.js'
import { dueProbes, statusAfterTimeout } from './JaymillPeerTimeouts.js'
import { UpdateQueue } from './JaymillUpdateQueue.js'

/** Part of a heartbeat that other components provide. */
export interface HeartbeatPayload {
  readonly documents: readonly DocumentVersion[]
  readonly leavingEndpoints: readonly LeavingReport[]
  readonly health: string
}

/**
 * Membership of the fleet as this host sees it. The published list defines the members; heartbeats and gossip (as in SWIM, Das
 * et al. 2002) determine which of them are reachable. Decisions that require a single owner must not use it: they use only the
 * published list.
 */
export class Membership {
  private readonly _self: HostIdentity
  private readonly _peers = new Map<string, PeerRecord>()
  private readonly _queue = new UpdateQueue()
  private readonly _goneNotices = new Map<string, PeerUpdate>()
  private readonly _nextSendMs = new Map<string, number>()
  private _hosts: readonly HostEntry[] = []
  private _lastTickMs: number
  private _seq = 0
  private _state = HostState.Live

  /**
   * @param self - Identity of this process.
   * @param nowMs - Monotonic time in milliseconds.
   */
  constructor (self: HostIdentity, nowMs: number) {
    this._self = self
    this._lastTickMs = nowMs
  }

  /** State that this host sends in its heartbeats. */
  get state (): HostState {
    return this._state
  }

  /**
   * Applies a published list. Hosts that are no longer listed are monitored until they are gone.
   *
   * @param list - Adopted list.
   * @param nowMs - Monotonic time in milliseconds.
   */
  adoptList (list: HostList, nowMs: number): void {
    this._hosts = list.hosts
    list.hosts.filter(({ id }) => id !== this._self.id).forEach(entry => this._adoptEntry(entry, nowMs))
    const listed = new Set(list.hosts.map(({ id }) => id))
    this._peers.forEach((peer, id) => { peer.listed = listed.has(id) })
    this._choosePartners(nowMs)
    this._peers.forEach((peer, id) => { if (!this._isMonitored(id)) peer.lastAliveMs = null })
  }

  /**
   * Processes a heartbeat or the response to one.
   *
   * @param heartbeat - Validated message.
   * @param nowMs - Monotonic time in milliseconds.
   * @returns Effects to perform.
   */
  receive (heartbeat: Heartbeat, nowMs: number): MembershipEffect[] {
    const status = heartbeat.state === HostState.Leaving ? PeerStatus.Leaving : PeerStatus.Live
    const senderUpdate = { id: heartbeat.from, incarnation: heartbeat.incarnation, seq: heartbeat.seq, status }
    const peer = this._peers.get(heartbeat.from)
    if (peer !== undefined) this._recordDirectContact(peer, heartbeat, nowMs)
    return [senderUpdate, ...heartbeat.updates].flatMap(update => this._apply(update, nowMs))
  }

  /**
   * Sends due heartbeats and applies timeouts to unreachable hosts. After a pause of this process the timeouts start again,
   * because heartbeats missed during the pause do not show that other hosts have failed.
   *
   * @param nowMs - Monotonic time in milliseconds.
   * @returns Effects to perform.
   */
  tick (nowMs: number): MembershipEffect[] {
    const gapMs = nowMs - this._lastTickMs
    const paused = this.isPaused(nowMs)
    this._lastTickMs = nowMs
    if (paused) return [{ kind: MembershipEffectKind.Paused, gapMs }, ...this._resumeAfterPause(nowMs)]
    return [...this._dueSends(nowMs), ...this._dueChanges(nowMs)]
  }

  /**
   * Checks whether the process was paused.
   *
   * @param nowMs - Monotonic time in milliseconds.
   * @returns Whether the last tick is so long ago that the state of this host may be outdated.
   */
  isPaused (nowMs: number): boolean {
    return nowMs - this._lastTickMs > PAUSE_GAP_MS
  }

  /**
   * Builds the next heartbeat.
   *
   * @param payload - Data of other components.
   * @param to - Id of the receiving host; a host that was considered gone is notified of that once.
   * @returns The heartbeat.
   */
  createHeartbeat (payload: HeartbeatPayload, to: string): Heartbeat {
    this._seq += 1
    const goneNotice = this._goneNotices.get(to)
    this._goneNotices.delete(to)
    const updates = this._queue.take(this._hosts.length)
    return {
      ...payload,
      from: this._self.id,
      incarnation: this._self.incarnation,
      seq: this._seq,
      state: this._state,
      updates: goneNotice === undefined ? updates : [goneNotice, ...updates]
    }
  }

  /**
   * Marks this host as leaving and announces it.
   *
   * @param nowMs - Monotonic time in milliseconds.
   * @returns Heartbeats to send immediately.
   */
  leave (nowMs: number): SendEffect[] {
    this._state = HostState.Leaving
    this._queueOwnUpdate()
    return this.announce(nowMs)
  }

  /**
   * Sends a heartbeat to every partner immediately, for urgent updates.
   *
   * @param nowMs - Monotonic time in milliseconds.
   * @returns Heartbeats to send immediately.
   */
  announce (nowMs: number): SendEffect[] {
    return [...this._nextSendMs.keys()].flatMap(id => this._send(id, nowMs))
  }

  /**
   * Returns the status of another host.
   *
   * @param hostId - Id of the host.
   * @returns Its status; `Gone` when it is unknown.
   */
  statusOf (hostId: string): PeerStatus {
    return this._peers.get(hostId)?.status ?? PeerStatus.Gone
  }

  /**
   * Returns the highest known incarnation of another host.
   *
   * @param hostId - Id of the host.
   * @returns The incarnation; 0 when none is known.
   */
  incarnationOf (hostId: string): number {
    return this._peers.get(hostId)?.incarnation ?? 0
  }

  /**
   * Lists the other known hosts.
   *
   * @returns Their ids, including those of gone hosts while they are listed.
   */
  hostIds (): string[] {
    return [...this._peers.keys()]
  }

  private _recordDirectContact (peer: PeerRecord, { from, incarnation }: Heartbeat, nowMs: number): void {
    if (incarnation < peer.incarnation) return
    const recovered = peer.status === PeerStatus.Gone && incarnation === peer.incarnation
    if (recovered) this._goneNotices.set(from, peer.toUpdate(PeerStatus.Gone))
    peer.lastAliveMs = nowMs
  }

  private _adoptEntry (entry: HostEntry, nowMs: number): void {
    const peer = this._peers.get(entry.id)
    if (peer === undefined) this._peers.set(entry.id, new PeerRecord(entry, nowMs))
    else peer.entry = entry
  }

  private _choosePartners (nowMs: number): void {
    const partners = this._partnersOf(this._self)
    const stepMs = HEARTBEAT_INTERVAL_MS / HEARTBEAT_PARTNERS
    const previousSendMs = new Map(this._nextSendMs)
    this._nextSendMs.clear()
    partners.forEach((id, i) => this._nextSendMs.set(id, previousSendMs.get(id) ?? nowMs + i * stepMs))
    partners.filter(id => !previousSendMs.has(id)).forEach(id => this._startMonitoring(id, nowMs))
  }

  private _partnersOf ({ id, region }: { readonly id: string, readonly region: string }): string[] {
    return heartbeatPartners(id, region, this._hosts, HEARTBEAT_PARTNERS)
  }

  private _isMonitored (id: string): boolean {
    const peer = this._peers.get(id)
    if (peer === undefined || peer.lastAliveMs === null) return false
    return this._nextSendMs.has(id) || this._partnersOf(peer.entry).includes(this._self.id)
  }

  private _startMonitoring (id: string, nowMs: number): void {
    const peer = this._peers.get(id)
    if (peer !== undefined) peer.lastAliveMs ??= nowMs
  }

  private _apply (update: PeerUpdate, nowMs: number): MembershipEffect[] {
    if (update.id === this._self.id) return this._refute(update)
    const peer = this._peers.get(update.id)
    if (peer === undefined) return []
    if (peer.refutes(update)) this._queue.add(peer.toUpdate(peer.status))
    return peer.apply(update, nowMs) ? [this._recordChange(peer, nowMs)] : []
  }

  private _recordChange (peer: PeerRecord, nowMs: number): PeerChangedEffect {
    const { entry: { id }, incarnation, status } = peer
    if (status === PeerStatus.Gone) peer.lastAliveMs = this._nextSendMs.has(id) ? nowMs : null
    this._queue.add(peer.toUpdate(status))
    return { kind: MembershipEffectKind.PeerChanged, hostId: id, incarnation, status }
  }

  private _refute ({ incarnation, seq, status }: PeerUpdate): MembershipEffect[] {
    if (incarnation > this._self.incarnation) return [{ kind: MembershipEffectKind.DeclaredGone }]
    const reportedDown = status === PeerStatus.Suspect || status === PeerStatus.Gone
    if (incarnation < this._self.incarnation || !reportedDown) return []
    this._seq = Math.max(this._seq, seq)
    this._queueOwnUpdate()
    return status === PeerStatus.Gone ? [{ kind: MembershipEffectKind.DeclaredGone }] : []
  }

  private _queueOwnUpdate (): void {
    this._seq += 1
    const status = this._state === HostState.Leaving ? PeerStatus.Leaving : PeerStatus.Live
    this._queue.add({ id: this._self.id, incarnation: this._self.incarnation, seq: this._seq, status })
  }

  private _resumeAfterPause (nowMs: number): MembershipEffect[] {
    const monitored = [...this._peers.values()].filter(({ lastAliveMs }) => lastAliveMs !== null)
    monitored.forEach(peer => { peer.lastAliveMs = nowMs })
    const suspects = [...this._peers.values()].filter(({ status }) => status === PeerStatus.Suspect)
    suspects.forEach(peer => { peer.changedMs = nowMs })
    return this.announce(nowMs)
  }

  private _dueSends (nowMs: number): SendEffect[] {
    const due = [...this._nextSendMs].filter(([, atMs]) => atMs <= nowMs).map(([id]) => id)
    const probes = dueProbes([...this._peers.values()], nowMs).filter(id => !due.includes(id))
    return [...due, ...probes].flatMap(id => this._send(id, nowMs))
  }

  private _send (id: string, nowMs: number): SendEffect[] {
    const peer = this._peers.get(id)
    if (peer === undefined) return []
    if (this._nextSendMs.has(id)) this._nextSendMs.set(id, nowMs + HEARTBEAT_INTERVAL_MS)
    peer.lastProbeMs = nowMs
    return [{ kind: MembershipEffectKind.Send, hostId: id, peerUrl: peer.entry.peerUrl }]
  }

  private _dueChanges (nowMs: number): MembershipEffect[] {
    const effects = [...this._peers.values()].flatMap(peer => {
      const status = statusAfterTimeout(peer, nowMs)
      return status === undefined ? [] : this._apply(peer.toUpdate(status), nowMs)
    })
    this._removeGoneUnlisted()
    return effects
  }

  private _removeGoneUnlisted (): void {
    const removed = [...this._peers].filter(([, { listed, status }]) => !listed && status === PeerStatus.Gone)
    removed.forEach(([id]) => this._peers.delete(id))
  }
}
