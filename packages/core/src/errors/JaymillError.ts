/** Whether a request has had an effect on an endpoint. */
export enum RanState {
  No = 'no',
  Yes = 'yes',
  Unknown = 'unknown'
}

/** Kinds of failure that a caller, a peer or an operator can meet. */
export enum ErrorKind {
  Invariant = 'invariant',
  BadRequest = 'bad-request',
  Unauthorized = 'unauthorized',
  NotFound = 'not-found',
  TooLarge = 'too-large',
  HeaderTooLarge = 'header-too-large',
  Overloaded = 'overloaded',
  AccountLimit = 'account-limit',
  Stopping = 'stopping',
  NotReady = 'not-ready',
  NoEndpoint = 'no-endpoint',
  Deadline = 'deadline',
  CallerGone = 'caller-gone',
  EndpointFailed = 'endpoint-failed',
  EndpointRefused = 'endpoint-refused',
  Stalled = 'stalled',
  OutcomeUnknown = 'outcome-unknown',
  AlreadyRan = 'already-ran',
  AlreadyRunning = 'already-running',
  Superseded = 'superseded',
  KeyRefused = 'key-refused',
  KeyConflict = 'key-conflict',
  Quarantined = 'quarantined',
  PeerFailed = 'peer-failed',
  Platform = 'platform',
  Config = 'config',
  Settings = 'settings'
}

/** Optional facts about a failure. */
export interface ErrorDetails {
  /** Whether the request had an effect. */
  readonly ran?: RanState
  /** Time after which a resend may succeed, in milliseconds. */
  readonly retryAfterMs?: number
  /** Underlying failure. */
  readonly cause?: unknown
}

/** Base of every failure in the system. */
export abstract class JaymillError extends Error {
  /** Kind of the failure. */
  abstract readonly kind: ErrorKind
  /** HTTP status that a caller sees. */
  abstract readonly status: number
  /** Whether the request had an effect. */
  readonly ran: RanState
  /** Time after which a resend may succeed, in milliseconds. */
  readonly retryAfterMs: number | undefined

  /**
   * @param message - Explanation for a person.
   * @param details - Effect, retry time and cause.
   */
  constructor (message: string, details: ErrorDetails = {}) {
    super(message, details.cause === undefined ? undefined : { cause: details.cause })
    this.name = new.target.name
    this.ran = details.ran ?? RanState.No
    this.retryAfterMs = details.retryAfterMs
  }
}

/** A condition that only a programming error can break was broken. */
export class InvariantError extends JaymillError {
  readonly kind = ErrorKind.Invariant
  readonly status = 500
}
