import { getInitialSnapshot } from 'xstate'
import { ErrorKind, RanState } from '../errors/JaymillError.js'
import { RouteClass } from '../fleet/JaymillFleetConfig.js'
import { advanceRequest, requestMachine, RequestEvent, RequestSnapshot, RequestState } from './JaymillRequestMachine.js'

/** Most decisions that are kept for one request. */
const MAX_DECISIONS = 64

/** One decision with its reason. */
export interface DecisionEntry {
  /** Time since the request was received, in milliseconds. */
  readonly atMs: number
  readonly event: RequestEvent
  /** Why it was taken. */
  readonly reason: string
  /** Endpoint or host that it concerns. */
  readonly target?: string
}

/** Told of each decision as it is taken. */
export type DecisionListener = (facts: RequestFacts, entry: DecisionEntry) => void

/** Facts about a request that do not change. */
export interface RequestFacts {
  readonly requestId: string
  readonly accountId: string
  readonly routeId: string
  readonly routeClass: RouteClass
  readonly idempotencyKey?: string
}

/** Outcome figures of a finished request. */
export interface RequestOutcome {
  readonly ran: RanState
  readonly errorKind?: ErrorKind
}

/** A request as an operator sees it. */
export interface RequestView extends RequestFacts, Partial<RequestOutcome> {
  readonly state: RequestState
  readonly receivedMs: number
  readonly endedMs?: number
  /** Time to the first token or byte, in milliseconds. */
  readonly ttftMs?: number
  readonly tokens: number
  readonly decisions: readonly DecisionEntry[]
}

/** State, decisions and figures of one request. */
export class RequestRecord {
  readonly facts: RequestFacts
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
   * @param facts - What is known on arrival.
   * @param receivedMs - Monotonic arrival time in milliseconds.
   * @param onDecision - Told of each decision.
   */
  constructor (facts: RequestFacts, receivedMs: number, onDecision?: DecisionListener) {
    this.facts = facts
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
   * Notes a decision and moves the lifecycle on.
   *
   * @param event - What happened.
   * @param reason - Why.
   * @param now - Monotonic time in milliseconds.
   * @param target - Endpoint or host that it concerns.
   */
  decide (event: RequestEvent, reason: string, now: number, target?: string): void {
    this._snapshot = advanceRequest(this._snapshot, event)
    if (this._decisions.length >= MAX_DECISIONS) this._decisions.splice(1, 1)
    const entry = { atMs: now - this.receivedMs, event, reason, ...(target === undefined ? {} : { target }) }
    this._decisions.push(entry)
    this._onDecision?.(this.facts, entry)
  }

  /**
   * Counts tokens that went to the caller.
   *
   * @param now - Monotonic time in milliseconds.
   * @param count - Tokens.
   */
  noteTokens (now: number, count = 1): void {
    this._ttftMs ??= now - this.receivedMs
    this._lastTokenMs = now
    this._tokens += count
  }

  /**
   * Ends the request.
   *
   * @param outcome - Whether it ran and how it failed.
   * @param now - Monotonic time in milliseconds.
   */
  end (outcome: RequestOutcome, now: number): void {
    this._outcome = outcome
    this._endedMs = now
  }

  /**
   * @returns A copy for operators.
   */
  view (): RequestView {
    return {
      ...this.facts,
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
