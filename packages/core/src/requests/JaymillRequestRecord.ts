import { getInitialSnapshot } from 'xstate'
import { ErrorKind, RanState } from '../errors/JaymillError.js'
import { RouteClass } from '../fleet/JaymillFleetConfig.js'
import { advanceRequest, requestMachine, RequestEvent, RequestSnapshot, RequestState } from './JaymillRequestMachine.js'

/** Maximum number of stored decisions of one request; the first one is never dropped. */
const MAX_DECISIONS = 64

/** One decision about a request, with its reason. */
export interface DecisionEntry {
  /** Time since the request was received, in milliseconds. */
  readonly atMs: number
  readonly event: RequestEvent
  /** Reason for the decision. */
  readonly reason: string
  /** Endpoint or host that the decision concerns. */
  readonly target?: string
}

/** Called for each decision as it is recorded. */
export type DecisionListener = (attributes: RequestAttributes, entry: DecisionEntry) => void

/** Attributes of a request that do not change. */
export interface RequestAttributes {
  readonly requestId: string
  readonly accountId: string
  readonly routeId: string
  readonly routeClass: RouteClass
  readonly idempotencyKey?: string
}

/** Outcome of an ended request. */
export interface RequestOutcome {
  readonly ran: RanState
  readonly errorKind?: ErrorKind
}

/** View of a request in the admin API. */
export interface RequestView extends RequestAttributes, Partial<RequestOutcome> {
  readonly state: RequestState
  /** Monotonic arrival time in milliseconds. */
  readonly receivedMs: number
  /** Monotonic end time in milliseconds. */
  readonly endedMs?: number
  /** Time to the first token or byte, in milliseconds. */
  readonly ttftMs?: number
  readonly tokens: number
  readonly decisions: readonly DecisionEntry[]
}

/** State, decisions and measurements of one request. */
export class RequestRecord {
  readonly attributes: RequestAttributes
  readonly receivedMs: number
  private _snapshot: RequestSnapshot = getInitialSnapshot(requestMachine)
  private readonly _decisions: DecisionEntry[] = []
  private _ttftMs: number | undefined
  private _lastTokenMs = 0
  private _tokens = 0
  private _endedMs: number | undefined
  private _outcome: RequestOutcome | undefined
  private readonly _onDecision: DecisionListener | undefined

  /**
   * @param attributes - Attributes known on arrival.
   * @param receivedMs - Monotonic arrival time in milliseconds.
   * @param onDecision - Called for each decision.
   */
  constructor (attributes: RequestAttributes, receivedMs: number, onDecision?: DecisionListener) {
    this.attributes = attributes
    this._onDecision = onDecision
    this.receivedMs = receivedMs
  }

  /** Current state of the lifecycle. */
  get state (): RequestState {
    return this._snapshot.value as RequestState
  }

  /** Whether the request has ended. */
  get ended (): boolean {
    return this._endedMs !== undefined
  }

  /** Time to the first token or byte, in milliseconds. */
  get ttftMs (): number | undefined {
    return this._ttftMs
  }

  /** Mean time between tokens, in milliseconds; `undefined` with fewer than two. */
  get interTokenMs (): number | undefined {
    if (this._tokens < 2 || this._ttftMs === undefined) return undefined
    return (this._lastTokenMs - this.receivedMs - this._ttftMs) / (this._tokens - 1)
  }

  /**
   * Records a decision and applies its event to the lifecycle.
   *
   * @param event - Event.
   * @param reason - Reason for the decision.
   * @param nowMs - Monotonic time in milliseconds.
   * @param target - Endpoint or host that the decision concerns.
   */
  decide (event: RequestEvent, reason: string, nowMs: number, target?: string): void {
    this._snapshot = advanceRequest(this._snapshot, event)
    if (this._decisions.length >= MAX_DECISIONS) this._decisions.splice(1, 1)
    const entry = { atMs: nowMs - this.receivedMs, event, reason, ...(target === undefined ? {} : { target }) }
    this._decisions.push(entry)
    this._onDecision?.(this.attributes, entry)
  }

  /**
   * Records that tokens were sent to the caller.
   *
   * @param nowMs - Monotonic time in milliseconds.
   * @param count - Number of tokens.
   */
  recordTokens (nowMs: number, count = 1): void {
    this._ttftMs ??= nowMs - this.receivedMs
    this._lastTokenMs = nowMs
    this._tokens += count
  }

  /**
   * Ends the request.
   *
   * @param outcome - Whether it ran, and how it failed.
   * @param nowMs - Monotonic time in milliseconds.
   */
  end (outcome: RequestOutcome, nowMs: number): void {
    this._outcome = outcome
    this._endedMs = nowMs
  }

  /**
   * Creates a view for the admin API.
   *
   * @returns Copy of the current state.
   */
  view (): RequestView {
    return {
      ...this.attributes,
      ...this._outcome,
      state: this.state,
      receivedMs: this.receivedMs,
      tokens: this._tokens,
      decisions: [...this._decisions],
      ...(this._endedMs === undefined ? {} : { endedMs: this._endedMs }),
      ...(this._ttftMs === undefined ? {} : { ttftMs: this._ttftMs })
    }
  }
}
