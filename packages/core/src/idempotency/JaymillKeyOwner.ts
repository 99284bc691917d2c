import { CLOCK_SKEW_MS, LEASE_MS } from './constants.js'
import { LeaseGroup, Instant, ownerIn } from './JaymillLeaseGroup.js'
import { Decision, DecisionKind, StoredResponse, KeyedRequest, RunPermit, UnknownReason, recordId } from './JaymillKeyDecision.js'
import { KeyRecord, KeyRecords, RecordState } from './JaymillKeyRecords.js'
import { AddressedLeaseRequest, LeaseResponse, LeaseRequest } from './JaymillLeaseMessages.js'
import { mintTimeMs } from './JaymillMintTime.js'
import { RevisionManager, RevisionManagerOptions, RevisionManagerComponents } from './JaymillRevisionManager.js'

/** Replaceable components of a key owner; each enforces one rule. */
export interface KeyOwnerComponents extends RevisionManagerComponents {
  readonly records: KeyRecords
}

/** State of a key owner for the admin API and metrics. */
export interface KeyOwnerSnapshot {
  /** Whether this process has recovered the revisions that an earlier one may have adopted. */
  readonly recovered: boolean
  /** Highest revision adopted. */
  readonly adoptedRevision: number
  /** Revision that is active for this host, or 0. */
  readonly activeRevision: number
  /** Remaining time of the lease in milliseconds; 0 if no lease is held. */
  readonly leaseLeftMs: number
  /** Newly owned keys run only if minted after this wall-clock time, in milliseconds; `null` before the first activation. */
  readonly takeOverMs: number | null
  /** Number of stored records. */
  readonly records: number
  /** Total size of the stored responses, in bytes. */
  readonly answerBytes: number
}

/**
 * Decides, for the keys that this host owns, whether a request may run, so that no key runs twice on any host.
 * It is a synchronous state machine: its input is host lists, messages and time; its output is requests to other hosts,
 * responses and decisions.
 */
export class KeyOwner {
  private readonly _self: string
  private readonly _skewMs: number
  private readonly _records: KeyRecords
  private readonly _revisions: RevisionManager

  /**
   * @param options - Identity and clock skew of the host.
   * @param components - Components that replace the default ones.
   */
  constructor (options: RevisionManagerOptions, components: Partial<KeyOwnerComponents> = {}) {
    this._self = options.self
    this._skewMs = options.skewMs ?? CLOCK_SKEW_MS
    this._records = components.records ?? new KeyRecords()
    this._revisions = new RevisionManager(options, components)
  }

  /**
   * Processes the lease group of a published host list. Older revisions have no effect.
   *
   * @param group - Lease group of the published list.
   * @param at - Time of arrival.
   */
  updateGroup (group: LeaseGroup, at: Instant): void {
    this._revisions.updateGroup(group, at)
  }

  /**
   * Advances time: drops expired records and creates the lease requests that are due.
   *
   * @param at - Current time.
   * @returns Requests to send now.
   */
  tick (at: Instant): AddressedLeaseRequest[] {
    this._records.expire(at.nowMs)
    return this._revisions.tick(at)
  }

  /**
   * Responds to a lease request of another host.
   *
   * @param request - Lease request.
   * @returns The response.
   */
  respond (request: LeaseRequest): LeaseResponse {
    return this._revisions.respond(request)
  }

  /**
   * Processes a lease response of another host.
   *
   * @param response - Lease response; late and repeated ones are harmless.
   * @param at - Time of arrival.
   */
  receive (response: LeaseResponse, at: Instant): void {
    this._revisions.receive(response, at)
  }

  /**
   * Decides about one arrival of a request.
   *
   * @param req - Request.
   * @param at - Time of arrival.
   * @returns The decision; `Run` opens a record whose outcome must be recorded.
   */
  begin (req: KeyedRequest, at: Instant): Decision {
    const record = this._records.get(recordId(req))
    if (record !== undefined) return this._decisionFor(record, req)
    const mintMs = mintTimeMs(req.key)
    if (mintMs !== undefined && mintMs > at.wallMs + this._skewMs) return { kind: DecisionKind.KeyRefused }
    return this._blockingDecision(req, mintMs, at) ?? this._grantPermit(req, mintMs, at)
  }

  /**
   * Reports what became of a request whose key this host owned under an earlier revision. It never runs the request. The
   * result stays valid because no later owner runs a key that was minted before its own takeover.
   *
   * @param req - Request.
   * @param at - Current time.
   * @returns The recorded outcome; `NotRun` if the key has not run and can never run; otherwise `Unknown`.
   */
  recall (req: KeyedRequest, at: Instant): Decision {
    const record = this._records.get(recordId(req))
    if (record !== undefined) return this._decisionFor(record, req)
    const mintMs = mintTimeMs(req.key)
    if (!this._isClosed(req, mintMs)) return { kind: DecisionKind.Unknown, reason: UnknownReason.BeforeTakeOver }
    this._addRecord(req, mintMs, RecordState.Refused, at)
    return { kind: DecisionKind.NotRun }
  }

  /**
   * Checks a permit again right before the send and, if it is still valid, marks the request as sent.
   *
   * @param permit - Permit from `begin`.
   * @param at - Current time.
   * @returns Whether the request may be sent now. If its permit has become invalid, it is recorded as refused; a request that
   * was already sent or settled keeps its record.
   */
  tryMarkSent (permit: RunPermit, at: Instant): boolean {
    const record = this._records.get(permit.id)
    if (record?.state !== RecordState.Permitted) return false
    const allowed = this._revisions.active && permit.revision === this._revisions.current?.revision && this._revisions.leaseLeftMs(at.nowMs) > 0
    this._records.settle(permit.id, allowed ? RecordState.Sent : RecordState.Refused)
    return allowed
  }

  /**
   * Records that a request ran.
   *
   * @param permit - Its permit.
   * @param response - Response of the endpoint, if it was received completely and is small enough to store.
   */
  recordRan (permit: RunPermit, response?: StoredResponse): void {
    this._records.settle(permit.id, RecordState.Ran, response)
  }

  /**
   * Records that a request certainly did not run: no byte was sent, or the endpoint refused the connection.
   *
   * @param permit - Its permit.
   */
  recordRefused (permit: RunPermit): void {
    this._records.settle(permit.id, RecordState.Refused)
  }

  /**
   * Records that a request was sent and its outcome is unknown.
   *
   * @param permit - Its permit.
   */
  recordLost (permit: RunPermit): void {
    this._records.settle(permit.id, RecordState.Lost)
  }

  /**
   * Finds the owner of a key.
   *
   * @param req - Request.
   * @returns Id of the owner under the highest adopted revision, or `undefined` if none has been adopted.
   */
  ownerOf (req: KeyedRequest): string | undefined {
    const group = this._revisions.current
    return group === undefined ? undefined : ownerIn(recordId(req), group)
  }

  /**
   * Finds the hosts that owned a key under earlier revisions and may have a record of the request.
   *
   * @param req - Request.
   * @returns Host ids without the current owner, latest first.
   */
  formerOwnersOf (req: KeyedRequest): string[] {
    const owner = this.ownerOf(req)
    const owners = this._revisions.groups.flatMap(group => ownerIn(recordId(req), group) ?? [])
    return [...new Set(owners)].filter(id => id !== owner)
  }

  /**
   * Describes the current state.
   *
   * @param at - Current time.
   * @returns State for the admin API and metrics.
   */
  snapshot (at: Instant): KeyOwnerSnapshot {
    const { epochs, recovered, current, active } = this._revisions
    const remainingMs = Math.max(0, this._revisions.leaseLeftMs(at.nowMs))
    return {
      recovered,
      adoptedRevision: current?.revision ?? 0,
      activeRevision: active ? epochs.revision : 0,
      leaseLeftMs: Math.min(LEASE_MS, remainingMs),
      takeOverMs: Number.isFinite(epochs.mintFloorMs) ? epochs.mintFloorMs : null,
      records: this._records.size,
      answerBytes: this._records.totalResponseBytes
    }
  }

  private _decisionFor (record: KeyRecord, req: KeyedRequest): Decision {
    if (record.fingerprint !== req.fingerprint) return { kind: DecisionKind.KeyConflict }
    const { id, response } = record
    const decisions: Record<RecordState, Decision> = {
      [RecordState.Permitted]: { kind: DecisionKind.Join, id },
      [RecordState.Sent]: { kind: DecisionKind.Join, id },
      [RecordState.Ran]: { kind: DecisionKind.Replay, ...(response === undefined ? {} : { response }) },
      [RecordState.Refused]: { kind: DecisionKind.NotRun },
      [RecordState.Lost]: { kind: DecisionKind.Unknown, reason: UnknownReason.OutcomeLost }
    }
    return decisions[record.state]
  }

  private _blockingDecision (req: KeyedRequest, mintMs: number | undefined, at: Instant): Decision | undefined {
    const unknown = (reason: UnknownReason): Decision => ({ kind: DecisionKind.Unknown, reason })
    if (!this._revisions.recovered) return unknown(UnknownReason.Recovering)
    const ownerId = this.ownerOf(req)
    if (ownerId !== this._self) return { kind: DecisionKind.NotOwner, ownerId }
    if (!this._revisions.active) return unknown(UnknownReason.NotActive)
    if (this._revisions.leaseLeftMs(at.nowMs) <= 0) return unknown(UnknownReason.NoLease)
    if (!this._revisions.epochs.accepts(recordId(req), this._self, mintMs)) return unknown(UnknownReason.BeforeTakeOver)
    return this._records.coversMintTime(mintMs) ? undefined : unknown(UnknownReason.Forgotten)
  }

  private _isClosed (req: KeyedRequest, mintMs: number | undefined): boolean {
    const { epochs } = this._revisions
    return mintMs !== undefined && mintMs <= epochs.closedUntilMs &&
      epochs.accepts(recordId(req), this._self, mintMs) && this._records.coversMintTime(mintMs)
  }

  private _grantPermit (req: KeyedRequest, mintMs: number | undefined, at: Instant): Decision {
    this._addRecord(req, mintMs, RecordState.Permitted, at)
    this._revisions.epochs.recordLeaseHeld(at)
    return { kind: DecisionKind.Run, permit: { id: recordId(req), revision: this._revisions.current?.revision ?? 0 } }
  }

  private _addRecord (req: KeyedRequest, mintMs: number | undefined, state: RecordState, at: Instant): void {
    this._records.add({ id: recordId(req), fingerprint: req.fingerprint, mintMs, createdAtMs: at.nowMs, state })
  }
}
