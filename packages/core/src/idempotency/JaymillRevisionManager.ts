import { CLOCK_SKEW_MS, LEASE_REQUEST_INTERVAL_MS, INACTIVE_LEASE_REQUEST_INTERVAL_MS } from './constants.js'
import { Activation } from './JaymillActivation.js'
import { LeaseGroup, Instant } from './JaymillLeaseGroup.js'
import { QuorumLease } from './JaymillQuorumLease.js'
import { AddressedLeaseRequest, LeaseResponse, LeaseRequest } from './JaymillLeaseMessages.js'
import { RevisionHistory } from './JaymillRevisionHistory.js'
import { PeerResponses } from './JaymillPeerResponses.js'
import { Recovery } from './JaymillRecovery.js'
import { OwnershipEpochs } from './JaymillOwnershipEpochs.js'

/** Replaceable components of a revision manager; each enforces one rule. */
export interface RevisionManagerComponents {
  readonly lease: QuorumLease
  readonly activation: Activation
  readonly recovery: Recovery
  readonly epochs: OwnershipEpochs
}

/** Identity of a host and skew of its clock. */
export interface RevisionManagerOptions {
  /** Id of this host. */
  readonly self: string
  /** Incarnation of this process. */
  readonly incarnation: number
  /** Start of this process. */
  readonly startedAt: Instant
  /** Largest difference between the wall clocks of two hosts in milliseconds; the same on all hosts. */
  readonly skewMs?: number
}

/** Manages the revisions that this host adopted, the lease on the highest one, and the epochs in which this host owned keys. */
export class RevisionManager {
  private readonly _self: string
  private readonly _incarnation: number
  private readonly _skewMs: number
  private readonly _components: RevisionManagerComponents
  private readonly _responses: PeerResponses
  private _history: RevisionHistory | undefined
  private _publishedGroup: LeaseGroup | undefined
  private _coldStartRevision = 0
  private _seq = 0

  /**
   * @param options - Identity and clock skew of the host.
   * @param components - Components that replace the default ones.
   */
  constructor ({ self, incarnation, startedAt, skewMs = CLOCK_SKEW_MS }: RevisionManagerOptions, components: Partial<RevisionManagerComponents> = {}) {
    this._self = self
    this._incarnation = incarnation
    this._skewMs = skewMs
    this._responses = new PeerResponses(incarnation)
    this._components = {
      lease: components.lease ?? new QuorumLease(),
      activation: components.activation ?? new Activation(),
      recovery: components.recovery ?? new Recovery(self, startedAt, skewMs),
      epochs: components.epochs ?? new OwnershipEpochs(skewMs)
    }
  }

  /** Whether this process has recovered the revisions that an earlier one may have adopted. */
  get recovered (): boolean {
    return this._history !== undefined
  }

  /** Group of the highest adopted revision, or `undefined`. */
  get current (): LeaseGroup | undefined {
    return this._history?.current
  }

  /** Whether the highest adopted revision is active for this host. */
  get active (): boolean {
    return this._components.epochs.revision > 0 && this._components.epochs.revision === this.current?.revision
  }

  /** Epochs that determine which keys this host may run. */
  get epochs (): OwnershipEpochs {
    return this._components.epochs
  }

  /** Groups that may have been active, latest first. */
  get groups (): LeaseGroup[] {
    return (this._history?.revisions ?? []).toReversed().flatMap(revision => this._history?.group(revision) ?? [])
  }

  /**
   * Computes the remaining time of the lease.
   *
   * @param nowMs - Monotonic time in milliseconds.
   * @returns Milliseconds; 0 or less if no lease is held.
   */
  leaseLeftMs (nowMs: number): number {
    const group = this.current
    if (group === undefined || !this.active) return 0
    return this._components.lease.heldUntilMs(this._self, group, this._responses) - nowMs
  }

  /**
   * Processes the lease group of a published host list. Older revisions have no effect.
   *
   * @param group - Lease group of the published list.
   * @param at - Time of arrival.
   */
  updateGroup (group: LeaseGroup, at: Instant): void {
    if (group.revision > (this._publishedGroup?.revision ?? 0)) this._publishedGroup = group
    this._advance(at)
  }

  /**
   * Advances time and creates the lease requests that are due.
   *
   * @param at - Current time.
   * @returns Requests to send now.
   */
  tick (at: Instant): AddressedLeaseRequest[] {
    this._advance(at)
    const interval = this.active ? LEASE_REQUEST_INTERVAL_MS : INACTIVE_LEASE_REQUEST_INTERVAL_MS
    return this._targets(at.nowMs)
      .filter(to => this._responses.lastSentMs(to) + interval <= at.nowMs)
      .map(to => this._createRequest(to, at.nowMs))
  }

  /**
   * Responds to a lease request of another host.
   *
   * @param request - Lease request.
   * @returns The response.
   */
  respond (request: LeaseRequest): LeaseResponse {
    const { from, ...fields } = request
    const history = this._history ?? new RevisionHistory()
    const knownRevisions = new Set(fields.known)
    return {
      from: this._self,
      incarnation: fields.incarnation,
      seq: fields.seq,
      recovered: this._history !== undefined,
      adopted: [...history.adopted],
      floor: history.floor,
      completeFrom: this._history === undefined ? 0 : history.completeFrom,
      revisions: history.revisions,
      lists: history.revisions.filter(revision => !knownRevisions.has(revision)).flatMap(revision => history.group(revision) ?? [])
    }
  }

  /**
   * Processes a lease response of another host.
   *
   * @param response - Lease response; late and repeated ones are harmless.
   * @param at - Time of arrival.
   */
  receive (response: LeaseResponse, at: Instant): void {
    if (this._history?.canMerge(response) === false || !this._responses.accept(response)) return
    const sentAtMs = this._responses.latest(response.from)?.sentAtMs ?? -Infinity
    if (this._history === undefined) this._components.recovery.addResponse(response, sentAtMs)
    else if (response.recovered) this._history.merge(response, at.nowMs)
    this._advance(at)
  }

  private _advance (at: Instant): void {
    this._adopt(at)
    const group = this.current
    if (this._history === undefined || group === undefined) return
    if (!this.active) this._activate(this._history, group, at)
    if (!this.active) return
    if (this._components.epochs.mintFloorMs > at.wallMs) this._lowerMintFloor(this._history, at)
    if (this.leaseLeftMs(at.nowMs) > 0) this._components.epochs.recordLeaseHeld(at)
  }

  private _adopt (at: Instant): void {
    const group = this._publishedGroup
    if (group === undefined || group.revision <= (this.current?.revision ?? 0)) return
    if (group.coldStartAtMs !== undefined && at.wallMs < group.coldStartAtMs + this._skewMs) return
    if (this._components.recovery.startedBeforeColdStart(group)) this._startCold(group)
    else if (this._history === undefined) this._history = this._components.recovery.complete(group, at.nowMs)
    else this._history.adopt(group)
    this._responses.retain(new Set(this._targets(at.nowMs)))
  }

  private _startCold (group: LeaseGroup): void {
    this._history ??= new RevisionHistory()
    this._history.resetTo(group)
    this._components.epochs.clear()
    this._coldStartRevision = group.revision
  }

  private _activate (history: RevisionHistory, group: LeaseGroup, at: Instant): void {
    if (!group.members.includes(this._self)) return
    if (!this._components.activation.isActive(this._self, history, this._responses, at.nowMs)) return
    this._components.epochs.activate(group, history, at, group.revision === this._coldStartRevision)
    history.raiseFloor(group.revision, at.nowMs)
  }

  private _lowerMintFloor (history: RevisionHistory, at: Instant): void {
    if (this._components.activation.allOwnersAdopted(this._self, history, this._responses, at.nowMs)) this._components.epochs.lowerMintFloor(at)
  }

  private _targets (nowMs: number): string[] {
    if (this._history === undefined) return this._publishedGroup === undefined ? [] : this._components.recovery.targets(this._publishedGroup, nowMs)
    const group = this._history.current
    if (group === undefined || !group.members.includes(this._self)) return []
    const earlier = this._holdsLease(nowMs) ? [] : this._history.possiblyActiveBefore(group.revision)
    return [...new Set([group, ...earlier].flatMap(item => item.members))].filter(id => id !== this._self)
  }

  private _holdsLease (nowMs: number): boolean {
    return this.active && this.leaseLeftMs(nowMs) > 0
  }

  private _createRequest (to: string, nowMs: number): AddressedLeaseRequest {
    this._seq += 1
    this._responses.recordRequest(to, this._seq, nowMs)
    const known = this._history?.revisions ?? []
    return { to, request: { from: this._self, incarnation: this._incarnation, seq: this._seq, known } }
  }
}
