import { CLOCK_SKEW_MS, LEASE_MS } from './constants.js'
import { GroupList, Instant, ownerIn } from './JaymillGroupList.js'
import { Decision, DecisionKind, KeptAnswer, KeyedRequest, RunPermit, UnknownReason, recordId } from './JaymillKeyDecision.js'
import { KeyRecord, KeyRecords, RecordState } from './JaymillKeyRecords.js'
import { AddressedQuestion, LeaseAnswer, LeaseQuestion } from './JaymillLeaseMessages.js'
import { mintTimeMs } from './JaymillMintTime.js'
import { RevisionKeeper, RevisionKeeperOptions, RevisionParts } from './JaymillRevisionKeeper.js'

/** The rules that an owner keeps; each part may be replaced by a subclass. */
export interface KeyOwnerParts extends RevisionParts {
  readonly records: KeyRecords
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
  private readonly _skewMs: number
  private readonly _records: KeyRecords
  private readonly _revisions: RevisionKeeper

  /**
   * @param options - Identity and clock.
   * @param parts - Rules that differ from the safe ones.
   */
  constructor (options: RevisionKeeperOptions, parts: Partial<KeyOwnerParts> = {}) {
    this._self = options.self
    this._skewMs = options.skewMs ?? CLOCK_SKEW_MS
    this._records = parts.records ?? new KeyRecords()
    this._revisions = new RevisionKeeper(options, parts)
  }

  /**
   * Takes a list that the platform published. Older revisions change nothing.
   *
   * @param list - Published list, reduced to this group.
   * @param at - Time of arrival.
   */
  publish (list: GroupList, at: Instant): void {
    this._revisions.publish(list, at)
  }

  /**
   * Moves time on and says which hosts to ask.
   *
   * @param at - Current time.
   * @returns Questions to be sent now.
   */
  tick (at: Instant): AddressedQuestion[] {
    this._records.expire(at.nowMs)
    return this._revisions.tick(at)
  }

  /**
   * Answers a question of another host.
   *
   * @param question - Question received.
   * @returns The answer.
   */
  answer (question: LeaseQuestion): LeaseAnswer {
    return this._revisions.answer(question)
  }

  /**
   * Takes an answer of another host.
   *
   * @param answer - Answer received; late and repeated ones are harmless.
   * @param at - Time of arrival.
   */
  receive (answer: LeaseAnswer, at: Instant): void {
    this._revisions.receive(answer, at)
  }

  /**
   * Decides about one arrival of a request.
   *
   * @param req - Request.
   * @param at - Time of arrival.
   * @returns The decision; `Run` opens a record that must be settled.
   */
  begin (req: KeyedRequest, at: Instant): Decision {
    const record = this._records.get(recordId(req))
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
    const record = this._records.get(recordId(req))
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
    const record = this._records.get(permit.id)
    if (record?.state !== RecordState.Permitted) return false
    const may = this._revisions.active && permit.revision === this._revisions.current?.revision && this._revisions.leaseLeftMs(at.nowMs) > 0
    this._records.settle(permit.id, may ? RecordState.Sent : RecordState.Refused)
    return may
  }

  /**
   * Settles a request that has run.
   *
   * @param permit - Its permit.
   * @param answer - Answer of the endpoint, when all of it was received and is small enough to be kept.
   */
  ran (permit: RunPermit, answer?: KeptAnswer): void {
    this._records.settle(permit.id, RecordState.Ran, answer)
  }

  /**
   * Settles a request that truly did not run: no byte left, or the endpoint refused the connection.
   *
   * @param permit - Its permit.
   */
  refused (permit: RunPermit): void {
    this._records.settle(permit.id, RecordState.Refused)
  }

  /**
   * Settles a request that was sent and whose outcome was not learned.
   *
   * @param permit - Its permit.
   */
  lost (permit: RunPermit): void {
    this._records.settle(permit.id, RecordState.Lost)
  }

  /**
   * @param req - Request.
   * @returns Owner under the highest adopted revision, or `undefined` before the first.
   */
  ownerOf (req: KeyedRequest): string | undefined {
    const list = this._revisions.current
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
    const owners = this._revisions.lists.flatMap(list => ownerIn(recordId(req), list) ?? [])
    return [...new Set(owners)].filter(id => id !== owner)
  }

  /**
   * @param at - Current time.
   * @returns Facts for operators.
   */
  facts (at: Instant): KeyOwnerFacts {
    const { takeOver, recovered, current, active } = this._revisions
    const left = Math.max(0, this._revisions.leaseLeftMs(at.nowMs))
    return {
      recovered,
      adoptedRevision: current?.revision ?? 0,
      activeRevision: active ? takeOver.revision : 0,
      leaseLeftMs: Math.min(LEASE_MS, left),
      takeOverMs: Number.isFinite(takeOver.fromMs) ? takeOver.fromMs : null,
      records: this._records.size,
      answerBytes: this._records.answersBytes
    }
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
    if (!this._revisions.recovered) return unknown(UnknownReason.Recovering)
    const ownerId = this.ownerOf(req)
    if (ownerId !== this._self) return { kind: DecisionKind.NotOwner, ownerId }
    if (!this._revisions.active) return unknown(UnknownReason.NotActive)
    if (this._revisions.leaseLeftMs(at.nowMs) <= 0) return unknown(UnknownReason.NoLease)
    if (!this._revisions.takeOver.accepts(recordId(req), this._self, mintMs)) return unknown(UnknownReason.BeforeTakeOver)
    return this._records.remembersSince(mintMs) ? undefined : unknown(UnknownReason.Forgotten)
  }

  private _closed (req: KeyedRequest, mintMs: number | undefined): boolean {
    const { takeOver } = this._revisions
    return mintMs !== undefined && mintMs <= takeOver.closedMs &&
      takeOver.accepts(recordId(req), this._self, mintMs) && this._records.remembersSince(mintMs)
  }

  private _permit (req: KeyedRequest, mintMs: number | undefined, at: Instant): Decision {
    this._remember(req, mintMs, RecordState.Permitted, at)
    this._revisions.takeOver.held(at)
    return { kind: DecisionKind.Run, permit: { id: recordId(req), revision: this._revisions.current?.revision ?? 0 } }
  }

  private _remember (req: KeyedRequest, mintMs: number | undefined, state: RecordState, at: Instant): void {
    this._records.add({ id: recordId(req), fingerprint: req.fingerprint, mintMs, createdAtMs: at.nowMs, state })
  }
}
