import { CLOCK_SKEW_MS, QUESTION_INTERVAL_MS, UNSETTLED_QUESTION_INTERVAL_MS } from './constants.js'
import { Activation } from './JaymillActivation.js'
import { GroupList, Instant } from './JaymillGroupList.js'
import { LeaseKeeper } from './JaymillLeaseKeeper.js'
import { AddressedQuestion, LeaseAnswer, LeaseQuestion } from './JaymillLeaseMessages.js'
import { ListHistory } from './JaymillListHistory.js'
import { PeerEvidence } from './JaymillPeerEvidence.js'
import { Recovery } from './JaymillRecovery.js'
import { TakeOver } from './JaymillTakeOver.js'

/** The rules of leases; each part may be replaced by a subclass. */
export interface RevisionParts {
  readonly lease: LeaseKeeper
  readonly activation: Activation
  readonly recovery: Recovery
  readonly takeOver: TakeOver
}

/** Identity and clock of a host. */
export interface RevisionKeeperOptions {
  /** Id of this host. */
  readonly self: string
  /** Incarnation of this process. */
  readonly incarnation: number
  /** Start of this process. */
  readonly startedAt: Instant
  /** Largest difference between the wall clocks of two hosts in milliseconds; the same on all hosts. */
  readonly skewMs?: number
}

/** Keeps the revisions that this host adopted, the lease on the highest one, and the time of its take-over. */
export class RevisionKeeper {
  private readonly _self: string
  private readonly _incarnation: number
  private readonly _skewMs: number
  private readonly _parts: RevisionParts
  private readonly _evidence: PeerEvidence
  private _history: ListHistory | undefined
  private _published: GroupList | undefined
  private _fromColdStart = 0
  private _seq = 0

  /**
   * @param options - Identity and clock.
   * @param parts - Rules that differ from the safe ones.
   */
  constructor ({ self, incarnation, startedAt, skewMs = CLOCK_SKEW_MS }: RevisionKeeperOptions, parts: Partial<RevisionParts> = {}) {
    this._self = self
    this._incarnation = incarnation
    this._skewMs = skewMs
    this._evidence = new PeerEvidence(incarnation)
    this._parts = {
      lease: parts.lease ?? new LeaseKeeper(),
      activation: parts.activation ?? new Activation(),
      recovery: parts.recovery ?? new Recovery(self, startedAt, skewMs),
      takeOver: parts.takeOver ?? new TakeOver(skewMs)
    }
  }

  /** Whether this process knows what an earlier one may have adopted. */
  get recovered (): boolean {
    return this._history !== undefined
  }

  /** Highest adopted list, or `undefined`. */
  get current (): GroupList | undefined {
    return this._history?.current
  }

  /** Whether the highest adopted revision is active for this host. */
  get active (): boolean {
    return this._parts.takeOver.revision > 0 && this._parts.takeOver.revision === this.current?.revision
  }

  /** Which keys this host may run. */
  get takeOver (): TakeOver {
    return this._parts.takeOver
  }

  /** Lists that may have been active, latest first. */
  get lists (): GroupList[] {
    return (this._history?.revisions ?? []).toReversed().flatMap(revision => this._history?.list(revision) ?? [])
  }

  /**
   * @param nowMs - Monotonic time in milliseconds.
   * @returns Time left on the lease in milliseconds; 0 or less when none is held.
   */
  leaseLeftMs (nowMs: number): number {
    const list = this.current
    if (list === undefined || !this.active) return 0
    return this._parts.lease.heldUntilMs(this._self, list, this._evidence) - nowMs
  }

  /**
   * Takes a list that the platform published. Older revisions change nothing.
   *
   * @param list - Published list, reduced to this group.
   * @param at - Time of arrival.
   */
  publish (list: GroupList, at: Instant): void {
    if (list.revision > (this._published?.revision ?? 0)) this._published = list
    this._advance(at)
  }

  /**
   * Moves time on and says which hosts to ask.
   *
   * @param at - Current time.
   * @returns Questions to be sent now.
   */
  tick (at: Instant): AddressedQuestion[] {
    this._advance(at)
    const interval = this.active ? QUESTION_INTERVAL_MS : UNSETTLED_QUESTION_INTERVAL_MS
    return this._targets(at.nowMs)
      .filter(to => this._evidence.lastSentMs(to) + interval <= at.nowMs)
      .map(to => this._ask(to, at.nowMs))
  }

  /**
   * Answers a question of another host.
   *
   * @param question - Question received.
   * @returns The answer.
   */
  answer (question: LeaseQuestion): LeaseAnswer {
    const { from, ...open } = question
    const history = this._history ?? new ListHistory()
    const known = new Set(open.known)
    return {
      from: this._self,
      incarnation: open.incarnation,
      seq: open.seq,
      recovered: this._history !== undefined,
      adopted: [...history.adopted],
      floor: history.floor,
      completeFrom: this._history === undefined ? 0 : history.completeFrom,
      revisions: history.revisions,
      lists: history.revisions.filter(revision => !known.has(revision)).flatMap(revision => history.list(revision) ?? [])
    }
  }

  /**
   * Takes an answer of another host.
   *
   * @param answer - Answer received; late and repeated ones are harmless.
   * @param at - Time of arrival.
   */
  receive (answer: LeaseAnswer, at: Instant): void {
    if (this._history?.canMerge(answer) === false || !this._evidence.accept(answer)) return
    const sentAtMs = this._evidence.of(answer.from)?.sentAtMs ?? -Infinity
    if (this._history === undefined) this._parts.recovery.hear(answer, sentAtMs)
    else if (answer.recovered) this._history.merge(answer, at.nowMs)
    this._advance(at)
  }

  private _advance (at: Instant): void {
    this._adopt(at)
    const list = this.current
    if (this._history === undefined || list === undefined) return
    if (!this.active) this._activate(this._history, list, at)
    if (!this.active) return
    if (this._parts.takeOver.fromMs > at.wallMs) this._hasten(this._history, at)
    if (this.leaseLeftMs(at.nowMs) > 0) this._parts.takeOver.held(at)
  }

  private _adopt (at: Instant): void {
    const list = this._published
    if (list === undefined || list.revision <= (this.current?.revision ?? 0)) return
    if (list.coldStartAtMs !== undefined && at.wallMs < list.coldStartAtMs + this._skewMs) return
    if (this._parts.recovery.coversColdStart(list)) this._restart(list)
    else if (this._history === undefined) this._history = this._parts.recovery.complete(list, at.nowMs)
    else this._history.adopt(list)
    this._evidence.retain(new Set(this._targets(at.nowMs)))
  }

  private _restart (list: GroupList): void {
    this._history ??= new ListHistory()
    this._history.restart(list)
    this._parts.takeOver.clear()
    this._fromColdStart = list.revision
  }

  private _activate (history: ListHistory, list: GroupList, at: Instant): void {
    if (!list.members.includes(this._self)) return
    if (!this._parts.activation.isActive(this._self, history, this._evidence, at.nowMs)) return
    this._parts.takeOver.activate(list, history, at, list.revision === this._fromColdStart)
    history.raiseFloor(list.revision, at.nowMs)
  }

  private _hasten (history: ListHistory, at: Instant): void {
    if (this._parts.activation.allMoved(this._self, history, this._evidence, at.nowMs)) this._parts.takeOver.allMoved(at)
  }

  private _targets (nowMs: number): string[] {
    if (this._history === undefined) return this._published === undefined ? [] : this._parts.recovery.targets(this._published, nowMs)
    const list = this._history.current
    if (list === undefined || !list.members.includes(this._self)) return []
    const earlier = this._settled(nowMs) ? [] : this._history.openBefore(list.revision)
    return [...new Set([list, ...earlier].flatMap(item => item.members))].filter(id => id !== this._self)
  }

  private _settled (nowMs: number): boolean {
    return this.active && this.leaseLeftMs(nowMs) > 0
  }

  private _ask (to: string, nowMs: number): AddressedQuestion {
    this._seq += 1
    this._evidence.sent(to, this._seq, nowMs)
    const known = this._history?.revisions ?? []
    return { to, question: { from: this._self, incarnation: this._incarnation, seq: this._seq, known } }
  }
}
