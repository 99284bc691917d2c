import { ErrorDetails, ErrorKind, JaymillError, RanState } from './JaymillError.js'

/** HTTP status for each kind of error. */
export const STATUS_OF_KIND: Readonly<Record<ErrorKind, number>> = {
  [ErrorKind.Invariant]: 500,
  [ErrorKind.BadRequest]: 400,
  [ErrorKind.NotForwardable]: 400,
  [ErrorKind.Unauthorized]: 401,
  [ErrorKind.NotFound]: 404,
  [ErrorKind.TooLarge]: 413,
  [ErrorKind.HeaderTooLarge]: 431,
  [ErrorKind.RequestTimeout]: 408,
  [ErrorKind.Overloaded]: 503,
  [ErrorKind.AccountLimit]: 429,
  [ErrorKind.Stopping]: 503,
  [ErrorKind.NotReady]: 503,
  [ErrorKind.NoEndpoint]: 503,
  [ErrorKind.OutOfReach]: 503,
  [ErrorKind.Deadline]: 504,
  [ErrorKind.CallerGone]: 499,
  [ErrorKind.EndpointFailed]: 502,
  [ErrorKind.EndpointRefused]: 502,
  [ErrorKind.Stalled]: 504,
  [ErrorKind.OutcomeUnknown]: 503,
  [ErrorKind.AlreadyRan]: 409,
  [ErrorKind.AlreadyRunning]: 409,
  [ErrorKind.Superseded]: 409,
  [ErrorKind.KeyRefused]: 400,
  [ErrorKind.KeyConflict]: 422,
  [ErrorKind.Quarantined]: 422,
  [ErrorKind.CrashSuspect]: 503,
  [ErrorKind.PeerFailed]: 502,
  [ErrorKind.ConfigSource]: 503,
  [ErrorKind.Config]: 409,
  [ErrorKind.Settings]: 500
}

/** Error of one request, sent to the caller as a problem document. */
export class RequestError extends JaymillError {
  readonly kind: ErrorKind
  readonly status: number

  /**
   * @param kind - Kind of the error.
   * @param message - Human-readable explanation.
   * @param details - Whether the request ran, retry time and cause.
   */
  constructor (kind: ErrorKind, message: string, details: ErrorDetails = {}) {
    super(message, details)
    this.kind = kind
    this.status = STATUS_OF_KIND[kind]
  }
}

/** RFC 9457 problem document with the extension members of this project. */
export interface ProblemDocument {
  readonly type: string
  readonly title: string
  readonly status: number
  readonly detail: string
  /** Whether the request ran on an endpoint. */
  readonly ran: RanState
  readonly requestId?: string
  /** Time after which a retry may succeed, in milliseconds. */
  readonly retryAfterMs?: number
}

/**
 * Converts an error to a problem document (RFC 9457).
 *
 * @param err - Any thrown value.
 * @param requestId - Id of the request that failed.
 * @returns The document; values other than `JaymillError` become an internal error, and whether the request ran is unknown.
 */
export function toProblem (err: unknown, requestId?: string): ProblemDocument {
  const isJaymillError = err instanceof JaymillError
  const kind = isJaymillError ? err.kind : ErrorKind.Invariant
  return {
    type: `urn:jaymill:error:${kind}`,
    title: kind,
    status: isJaymillError ? err.status : 500,
    detail: isJaymillError ? err.message : 'internal error',
    ran: isJaymillError ? err.ran : RanState.Unknown,
    ...(requestId === undefined ? {} : { requestId }),
    ...(isJaymillError && err.retryAfterMs !== undefined ? { retryAfterMs: err.retryAfterMs } : {})
  }
}

/**
 * Converts a problem document from another host back to an error.
 *
 * @param doc - Parsed JSON body.
 * @returns The error, or `undefined` when the value is not a problem document of this project.
 */
export function fromProblem (doc: unknown): RequestError | undefined {
  const candidate = doc as Partial<ProblemDocument> | null | undefined
  const kind = Object.values(ErrorKind).find(value => candidate?.type === `urn:jaymill:error:${value}`)
  if (candidate === null || candidate === undefined || kind === undefined) return undefined
  const ran = Object.values(RanState).find(value => value === candidate.ran) ?? RanState.Unknown
  return new RequestError(kind, candidate.detail ?? kind, { ran, retryAfterMs: candidate.retryAfterMs })
}
