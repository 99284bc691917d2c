/** Whether a request ran on an endpoint. */
export enum RanState {
  No = 'no',
  Yes = 'yes',
  Unknown = 'unknown'
}

/** Kinds of errors that callers, other hosts and operators can receive. */
export enum ErrorKind {
  Invariant = 'invariant',
  BadRequest = 'bad-request',
  /** The HTTP client of the host does not send the request. */
  NotForwardable = 'not-forwardable',
  Unauthorized = 'unauthorized',
  NotFound = 'not-found',
  TooLarge = 'too-large',
  HeaderTooLarge = 'header-too-large',
  RequestTimeout = 'request-timeout',
  Overloaded = 'overloaded',
  AccountLimit = 'account-limit',
  Stopping = 'stopping',
  NotReady = 'not-ready',
  NoEndpoint = 'no-endpoint',
  OutOfReach = 'out-of-reach',
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
  CrashSuspect = 'crash-suspect',
  PeerFailed = 'peer-failed',
  ConfigSource = 'platform',
  Config = 'config',
  Settings = 'settings'
}

/** Optional details of an error. */
export interface ErrorDetails {
  /** Whether the request ran on an endpoint. */
  readonly ran?: RanState
  /** Time after which a retry may succeed, in milliseconds. */
  readonly retryAfterMs?: number
  /** Underlying error. */
  readonly cause?: unknown
}

/** Base class of all errors of the project. */
export abstract class JaymillError extends Error {
  /** Kind of the error. */
  abstract readonly kind: ErrorKind
  /** HTTP status of the response to the caller. */
  abstract readonly status: number
  /** Whether the request ran on an endpoint. */
  readonly ran: RanState
  /** Time after which a retry may succeed, in milliseconds. */
  readonly retryAfterMs: number | undefined

  /**
   * @param message - Human-readable explanation.
   * @param details - Whether the request ran, retry time and cause.
   */
  constructor (message: string, details: ErrorDetails = {}) {
    super(message, details.cause === undefined ? undefined : { cause: details.cause })
    this.name = new.target.name
    this.ran = details.ran ?? RanState.No
    this.retryAfterMs = details.retryAfterMs
  }
}

/** Thrown when a condition is violated that only a programming error can violate. */
export class InvariantError extends JaymillError {
  readonly kind = ErrorKind.Invariant
  readonly status = 500
}
