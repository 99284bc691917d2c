import { HostEntry, HostIdentity, HostList, HostState } from '../fleet/JaymillHostList.js'
import { DocumentMark, Heartbeat, LeavingMark, PeerStatus, PeerUpdate } from '../ports/peers/JaymillHeartbeatHandler.js'
import { heartbeatPartners } from './JaymillHeartbeatPartners.js'
import { HEARTBEAT_INTERVAL_MS, HEARTBEAT_PARTNERS, PAUSE_GAP_MS } from './JaymillMembershipConstants.js'
import { MembershipEffect, MembershipEffectKind, PeerChangedEffect, SendEffect } from './JaymillMembershipEffect.js'
import { PeerRecord } from './JaymillPeerRecord.js'
import { dueProbes, dueStatus } from './JaymillPeerTimeouts.js'
import { UpdateQueue } from './JaymillUpdateQueue.js'

/** What a heartbeat carries for other matters. */
export interface HeartbeatFacts {
  readonly documents: readonly DocumentMark[]
  readonly leavingEndpoints: readonly LeavingMark[]
  readonly health: string
}

/**
 * This host's view of the other hosts: the published list says who belongs, heartbeats and passed-on news (as in SWIM, Das et
 * al. 2002) say who answers. Not for decisions that need one owner; those use the published list alone.
 */
export class Membership {
  private readonly _self: HostIdentity
  private readonly _peers = new Map<string, PeerRecord>()
  private readonly _queue = new UpdateQueue()
  private readonly _declaredGone = new Map<string, PeerUpdate>()
  private readonly _nextSendMs = new Map<string, number>()
  private _hosts: readonly HostEntry[] = []
  private _lastTickMs: number
  private _seq = 0
  private _state = HostState.Live

  /**
   * @param self - Identity of this process.
   * @param nowMs - Time in milliseconds.
   */
  constructor (self: HostIdentity, nowMs: number) {
    this._self = self
    this._lastTickMs = nowMs
  }

  /** State that this host announces. */
  get state (): HostState {
    return this._state
  }

  /**
   * Takes in a published list. Hosts that it drops are watched until they are gone.
   *
   * @param list - Adopted list.
   * @param nowMs - Time in milliseconds.
   */
  adoptList (list: HostList, nowMs: number): void {
    this._hosts = list.hosts
    list.hosts.filter(({ id }) => id !== this._self.id).forEach(entry => this._adoptEntry(entry, nowMs))
    const listed = new Set(list.hosts.map(({ id }) => id))
    this._peers.forEach((peer, id) => { peer.listed = listed.has(id) })
    this._choosePartners(nowMs)
    this._peers.forEach((peer, id) => { if (!this._hearsFrom(id)) peer.lastDirectMs = null })
  }

  /**
   * Takes in a heartbeat or the answer to one.
   *
   * @param beat - Checked message.
   * @param nowMs - Time in milliseconds.
   * @returns Effects.
   */
  receive (beat: Heartbeat, nowMs: number): MembershipEffect[] {
    const status = beat.state === HostState.Leaving ? PeerStatus.Leaving : PeerStatus.Live
    const own = { id: beat.from, incarnation: beat.incarnation, seq: beat.seq, status }
    const peer = this._peers.get(beat.from)
    if (peer !== undefined) this._noteDirect(peer, beat, nowMs)
    return [own, ...beat.updates].flatMap(update => this._apply(update, nowMs))
  }

  /**
   * Sends what is due and moves silent hosts on. After a pause nobody is blamed for the silence.
   *
   * @param nowMs - Time in milliseconds.
   * @returns Effects.
   */
  tick (nowMs: number): MembershipEffect[] {
    const gapMs = nowMs - this._lastTickMs
    const paused = this.isPaused(nowMs)
    this._lastTickMs = nowMs
    if (paused) return [{ kind: MembershipEffectKind.Paused, gapMs }, ...this._resume(nowMs)]
    return [...this._dueSends(nowMs), ...this._dueChanges(nowMs)]
  }

  /**
   * @param nowMs - Time in milliseconds.
   * @returns Whether the process was paused since the last tick, so that its facts are old.
   */
  isPaused (nowMs: number): boolean {
    return nowMs - this._lastTickMs > PAUSE_GAP_MS
  }

  /**
   * Builds the next heartbeat.
   *
   * @param facts - What other matters put in.
   * @param to - Host that it is for; one that was believed gone is told so.
   * @returns The message.
   */
  beat (facts: HeartbeatFacts, to: string): Heartbeat {
    this._seq += 1
    const declared = this._declaredGone.get(to)
    this._declaredGone.delete(to)
    const updates = this._queue.take(this._hosts.length)
    return {
      ...facts,
      from: this._self.id,
      incarnation: this._self.incarnation,
      seq: this._seq,
      state: this._state,
      updates: declared === undefined ? updates : [declared, ...updates]
    }
  }

  /**
   * Announces that this host stops.
   *
   * @param nowMs - Time in milliseconds.
   * @returns Heartbeats to be sent at once.
   */
  leave (nowMs: number): SendEffect[] {
    this._state = HostState.Leaving
    this._addOwnNews()
    return this.announce(nowMs)
  }

  /**
   * Sends urgent news to all partners.
   *
   * @param nowMs - Time in milliseconds.
   * @returns Heartbeats to be sent at once.
   */
  announce (nowMs: number): SendEffect[] {
    return [...this._nextSendMs.keys()].flatMap(id => this._send(id, nowMs))
  }

  /**
   * @param hostId - Another host.
   * @returns Its status, `Gone` when it is unknown.
   */
  statusOf (hostId: string): PeerStatus {
    return this._peers.get(hostId)?.status ?? PeerStatus.Gone
  }

  /**
   * @param hostId - Another host.
   * @returns The highest incarnation heard of; 0 when none was.
   */
  incarnationOf (hostId: string): number {
    return this._peers.get(hostId)?.incarnation ?? 0
  }

  /**
   * @returns Ids of all hosts that are known, gone ones included while they are listed.
   */
  hostIds (): string[] {
    return [...this._peers.keys()]
  }

  private _noteDirect (peer: PeerRecord, { from, incarnation }: Heartbeat, nowMs: number): void {
    if (incarnation < peer.incarnation) return
    const returned = peer.status === PeerStatus.Gone && incarnation === peer.incarnation
    if (returned) this._declaredGone.set(from, peer.update(PeerStatus.Gone))
    peer.lastDirectMs = nowMs
  }

  private _adoptEntry (entry: HostEntry, nowMs: number): void {
    const peer = this._peers.get(entry.id)
    if (peer === undefined) this._peers.set(entry.id, new PeerRecord(entry, nowMs))
    else peer.entry = entry
  }

  private _choosePartners (nowMs: number): void {
    const partners = this._partnersOf(this._self)
    const stepMs = HEARTBEAT_INTERVAL_MS / HEARTBEAT_PARTNERS
    const kept = new Map(this._nextSendMs)
    this._nextSendMs.clear()
    partners.forEach((id, i) => this._nextSendMs.set(id, kept.get(id) ?? nowMs + i * stepMs))
    partners.filter(id => !kept.has(id)).forEach(id => this._await(id, nowMs))
  }

  private _partnersOf ({ id, region }: { readonly id: string, readonly region: string }): string[] {
    return heartbeatPartners(id, region, this._hosts, HEARTBEAT_PARTNERS)
  }

  private _hearsFrom (id: string): boolean {
    const peer = this._peers.get(id)
    if (peer === undefined || peer.lastDirectMs === null) return false
    return this._nextSendMs.has(id) || this._partnersOf(peer.entry).includes(this._self.id)
  }

  private _await (id: string, nowMs: number): void {
    const peer = this._peers.get(id)
    if (peer !== undefined) peer.lastDirectMs ??= nowMs
  }

  private _apply (update: PeerUpdate, nowMs: number): MembershipEffect[] {
    if (update.id === this._self.id) return this._refute(update)
    const peer = this._peers.get(update.id)
    if (peer === undefined) return []
    if (peer.contradicts(update)) this._queue.add(peer.update(peer.status))
    return peer.apply(update, nowMs) ? [this._changed(peer, nowMs)] : []
  }

  private _changed (peer: PeerRecord, nowMs: number): PeerChangedEffect {
    const { entry: { id }, incarnation, status } = peer
    if (status === PeerStatus.Gone) peer.lastDirectMs = this._nextSendMs.has(id) ? nowMs : null
    this._queue.add(peer.update(status))
    return { kind: MembershipEffectKind.PeerChanged, hostId: id, incarnation, status }
  }

  private _refute ({ incarnation, seq, status }: PeerUpdate): MembershipEffect[] {
    if (incarnation > this._self.incarnation) return [{ kind: MembershipEffectKind.DeclaredGone }]
    const accused = status === PeerStatus.Suspect || status === PeerStatus.Gone
    if (incarnation < this._self.incarnation || !accused) return []
    this._seq = Math.max(this._seq, seq)
    this._addOwnNews()
    return status === PeerStatus.Gone ? [{ kind: MembershipEffectKind.DeclaredGone }] : []
  }

  private _addOwnNews (): void {
    this._seq += 1
    const status = this._state === HostState.Leaving ? PeerStatus.Leaving : PeerStatus.Live
    this._queue.add({ id: this._self.id, incarnation: this._self.incarnation, seq: this._seq, status })
  }

  private _resume (nowMs: number): MembershipEffect[] {
    const awaited = [...this._peers.values()].filter(({ lastDirectMs }) => lastDirectMs !== null)
    awaited.forEach(peer => { peer.lastDirectMs = nowMs })
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
      const status = dueStatus(peer, nowMs)
      return status === undefined ? [] : this._apply(peer.update(status), nowMs)
    })
    this._forgetDropped()
    return effects
  }

  private _forgetDropped (): void {
    const dropped = [...this._peers].filter(([, { listed, status }]) => !listed && status === PeerStatus.Gone)
    dropped.forEach(([id]) => this._peers.delete(id))
  }
}
