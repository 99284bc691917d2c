import { CLOCK_SKEW_MS, LEASE_MS, QUESTION_INTERVAL_MS, UNSETTLED_QUESTION_INTERVAL_MS } from './constants.js'
import { Activation } from './JaymillActivation.js'
import { GroupList, Instant, ownerIn } from './JaymillGroupList.js'
import { Decision, DecisionKind, KeptAnswer, KeyedRequest, RunPermit, UnknownReason, recordId } from './JaymillKeyDecision.js'
import { KeyRecord, KeyRecords, RecordState } from './JaymillKeyRecords.js'
import { LeaseKeeper } from './JaymillLeaseKeeper.js'
import { AddressedQuestion, LeaseAnswer, LeaseQuestion } from './JaymillLeaseMessages.js'
import { ListHistory } from './JaymillListHistory.js'
import { mintTimeMs } from './JaymillMintTime.js'
import { PeerEvidence } from './JaymillPeerEvidence.js'
import { Recovery } from './JaymillRecovery.js'
import { TakeOver } from './JaymillTakeOver.js'

/** The rules that an owner keeps; each part may be replaced by a subclass. */
export interface KeyOwnerParts {
  readonly lease: LeaseKeeper
  readonly activation: Activation
  readonly recovery: Recovery
  readonly takeOver: TakeOver
  readonly records: KeyRecords
}

/** Identity and clock of a key owner. */
export interface KeyOwnerOptions {
  /** Id of this host. */
  readonly self: string
  /** Incarnation of this process. */
  readonly incarnation: number
  /** Start of this process. */
  readonly startedAt: Instant
  /** Largest difference between the wall clocks of two hosts in milliseconds; the same on all hosts. */
  readonly skewMs?: number
}

/** What an operator wants to know of an owner. */
export interface KeyOwnerFacts {
  readonly recovered: boolean
  /** Highest revision adopted. */
  readonly adoptedRevision: number
  /** Revision under which this host acts, or 0. */
  readonly activeRevision: number
  /** Time left on the lease in milliseconds; 0 when none is held. */
  readonly leaseLeftMs: number
  /** Mint time from which newly owned keys are run, in wall-clock milliseconds; `null` before the first activation. */
  readonly takeOverMs: number | null
  readonly records: number
  readonly answerBytes: number
}

/**
 * Decides, for the keys that this host owns, whether a request may run, so that no key runs twice on any host.
 * A synchronous state machine: lists, messages and time go in; questions, answers and decisions come out.
 */
export class KeyOwner {
  private readonly _self: string
  private readonly _incarnation: number
  private readonly _skewMs: number
  private readonly _parts: KeyOwnerParts
  private readonly _evidence: PeerEvidence
  private _history: ListHistory | undefined
  private _published: GroupList | undefined
  private _fromColdStart = 0
  private _seq = 0

  /**
   * @param options - Identity and clock.
   * @param parts - Rules that differ from the safe ones.
   */
  constructor ({ self, incarnation, startedAt, skewMs = CLOCK_SKEW_MS }: KeyOwnerOptions, parts: Partial<KeyOwnerParts> = {}) {
    this._self = self
    this._incarnation = incarnation
    this._skewMs = skewMs
    this._evidence = new PeerEvidence(incarnation)
    this._parts = {
      lease: parts.lease ?? new LeaseKeeper(),
      activation: parts.activation ?? new Activation(),
      recovery: parts.recovery ?? new Recovery(self, startedAt, skewMs),
      takeOver: parts.takeOver ?? new TakeOver(skewMs),
      records: parts.records ?? new KeyRecords()
    }
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
    this._parts.records.expire(at.nowMs)
    this._advance(at)
    const interval = this._isActive() ? QUESTION_INTERVAL_MS : UNSETTLED_QUESTION_INTERVAL_MS
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

  /**
   * Decides about one arrival of a request.
   *
   * @param req - Request.
   * @param at - Time of arrival.
   * @returns The decision; `Run` opens a record that must be settled.
   */
  begin (req: KeyedRequest, at: Instant): Decision {
    const record = this._parts.records.get(recordId(req))
    if (record !== undefined) return this._recall(record, req)
    const mintMs = mintTimeMs(req.key)
    if (mintMs !== undefined && mintMs > at.wallMs + this._skewMs) return { kind: DecisionKind.KeyRefused }
    return this._obstacle(req, mintMs, at) ?? this._permit(req, mintMs, at)
  }

  /**
   * Answers for a key that this host owned until a later revision. It runs nothing; what it tells stays true because no
   * later owner runs a key minted before its own take-over.
   *
   * @param req - Request.
   * @param at - Current time.
   * @returns What is remembered; `NotRun` when the key can't have run and now never will; else `Unknown`.
   */
  recall (req: KeyedRequest, at: Instant): Decision {
    const record = this._parts.records.get(recordId(req))
    if (record !== undefined) return this._recall(record, req)
    const mintMs = mintTimeMs(req.key)
    if (!this._closed(req, mintMs)) return { kind: DecisionKind.Unknown, reason: UnknownReason.BeforeTakeOver }
    this._remember(req, mintMs, RecordState.Refused, at)
    return { kind: DecisionKind.NotRun }
  }

  /**
   * Checks a permit again right before the send, and marks the request as sent.
   *
   * @param permit - Permit from `begin`.
   * @param at - Current time.
   * @returns Whether the send may happen now. When not, the request is remembered as refused.
   */
  mayRun (permit: RunPermit, at: Instant): boolean {
    const record = this._parts.records.get(permit.id)
    if (record?.state !== RecordState.Permitted) return false
    const may = this._isActive() && permit.revision === this._current()?.revision && this._leaseLeftMs(at.nowMs) > 0
    this._parts.records.settle(permit.id, may ? RecordState.Sent : RecordState.Refused)
    return may
  }

  /**
   * Settles a request that has run.
   *
   * @param permit - Its permit.
   * @param answer - Answer of the endpoint, when all of it was received and is small enough to be kept.
   */
  ran (permit: RunPermit, answer?: KeptAnswer): void {
    this._parts.records.settle(permit.id, RecordState.Ran, answer)
  }

  /**
   * Settles a request that truly did not run: no byte left, or the endpoint refused the connection.
   *
   * @param permit - Its permit.
   */
  refused (permit: RunPermit): void {
    this._parts.records.settle(permit.id, RecordState.Refused)
  }

  /**
   * Settles a request that was sent and whose outcome was not learned.
   *
   * @param permit - Its permit.
   */
  lost (permit: RunPermit): void {
    this._parts.records.settle(permit.id, RecordState.Lost)
  }

  /**
   * @param req - Request.
   * @returns Owner under the highest adopted revision, or `undefined` before the first.
   */
  ownerOf (req: KeyedRequest): string | undefined {
    const list = this._current()
    return list === undefined ? undefined : ownerIn(recordId(req), list)
  }

  /**
   * Hosts that owned a key under earlier lists, latest first.
   *
   * @param req - Request.
   * @returns Ids without the present owner; they may remember the request.
   */
  formerOwnersOf (req: KeyedRequest): string[] {
    const owner = this.ownerOf(req)
    const owners = (this._history?.revisions ?? []).toReversed()
      .map(revision => this._history?.list(revision))
      .flatMap(list => list === undefined ? [] : ownerIn(recordId(req), list) ?? [])
    return [...new Set(owners)].filter(id => id !== owner)
  }

  /**
   * @param at - Current time.
   * @returns Facts for operators.
   */
  facts (at: Instant): KeyOwnerFacts {
    const { takeOver, records } = this._parts
    return {
      recovered: this._history !== undefined,
      adoptedRevision: this._current()?.revision ?? 0,
      activeRevision: this._isActive() ? takeOver.revision : 0,
      leaseLeftMs: Math.min(LEASE_MS, Math.max(0, this._leaseLeftMs(at.nowMs))),
      takeOverMs: Number.isFinite(takeOver.fromMs) ? takeOver.fromMs : null,
      records: records.size,
      answerBytes: records.answersBytes
    }
  }

  private _advance (at: Instant): void {
    this._adopt(at)
    const list = this._current()
    if (this._history === undefined || list === undefined) return
    if (!this._isActive()) this._activate(this._history, list, at)
    if (!this._isActive()) return
    if (this._parts.takeOver.fromMs > at.wallMs) this._hasten(this._history, at)
    if (this._leaseLeftMs(at.nowMs) > 0) this._parts.takeOver.held(at)
  }

  private _adopt (at: Instant): void {
    const list = this._published
    if (list === undefined || list.revision <= (this._current()?.revision ?? 0)) return
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

  private _current (): GroupList | undefined {
    return this._history?.current
  }

  private _isActive (): boolean {
    return this._parts.takeOver.revision > 0 && this._parts.takeOver.revision === this._current()?.revision
  }

  private _leaseLeftMs (nowMs: number): number {
    const list = this._current()
    if (list === undefined || !this._isActive()) return 0
    return this._parts.lease.heldUntilMs(this._self, list, this._evidence) - nowMs
  }

  private _targets (nowMs: number): string[] {
    if (this._history === undefined) return this._published === undefined ? [] : this._parts.recovery.targets(this._published, nowMs)
    const list = this._history.current
    if (list === undefined || !list.members.includes(this._self)) return []
    const earlier = this._settled(nowMs) ? [] : this._history.openBefore(list.revision)
    return [...new Set([list, ...earlier].flatMap(item => item.members))].filter(id => id !== this._self)
  }

  private _settled (nowMs: number): boolean {
    return this._isActive() && this._leaseLeftMs(nowMs) > 0
  }

  private _ask (to: string, nowMs: number): AddressedQuestion {
    this._seq += 1
    this._evidence.sent(to, this._seq, nowMs)
    const known = this._history?.revisions ?? []
    return { to, question: { from: this._self, incarnation: this._incarnation, seq: this._seq, known } }
  }

  private _recall (record: KeyRecord, req: KeyedRequest): Decision {
    if (record.fingerprint !== req.fingerprint) return { kind: DecisionKind.KeyConflict }
    const { id, answer } = record
    const decisions: Record<RecordState, Decision> = {
      [RecordState.Permitted]: { kind: DecisionKind.Join, id },
      [RecordState.Sent]: { kind: DecisionKind.Join, id },
      [RecordState.Ran]: { kind: DecisionKind.Replay, ...(answer === undefined ? {} : { answer }) },
      [RecordState.Refused]: { kind: DecisionKind.NotRun },
      [RecordState.Lost]: { kind: DecisionKind.Unknown, reason: UnknownReason.OutcomeLost }
    }
    return decisions[record.state]
  }

  private _obstacle (req: KeyedRequest, mintMs: number | undefined, at: Instant): Decision | undefined {
    const unknown = (reason: UnknownReason): Decision => ({ kind: DecisionKind.Unknown, reason })
    if (this._history === undefined) return unknown(UnknownReason.Recovering)
    const ownerId = this.ownerOf(req)
    if (ownerId !== this._self) return { kind: DecisionKind.NotOwner, ownerId }
    if (!this._isActive()) return unknown(UnknownReason.NotActive)
    if (this._leaseLeftMs(at.nowMs) <= 0) return unknown(UnknownReason.NoLease)
    if (!this._parts.takeOver.accepts(recordId(req), this._self, mintMs)) return unknown(UnknownReason.BeforeTakeOver)
    return this._parts.records.remembersSince(mintMs) ? undefined : unknown(UnknownReason.Forgotten)
  }

  private _closed (req: KeyedRequest, mintMs: number | undefined): boolean {
    const { takeOver, records } = this._parts
    return mintMs !== undefined && mintMs <= takeOver.closedMs &&
      takeOver.accepts(recordId(req), this._self, mintMs) && records.remembersSince(mintMs)
  }

  private _permit (req: KeyedRequest, mintMs: number | undefined, at: Instant): Decision {
    this._remember(req, mintMs, RecordState.Permitted, at)
    this._parts.takeOver.held(at)
    return { kind: DecisionKind.Run, permit: { id: recordId(req), revision: this._current()?.revision ?? 0 } }
  }

  private _remember (req: KeyedRequest, mintMs: number | undefined, state: RecordState, at: Instant): void {
    this._parts.records.add({ id: recordId(req), fingerprint: req.fingerprint, mintMs, createdAtMs: at.nowMs, state })
  }
}
