import { ErrorKind } from '../errors/JaymillError.js'

/** How a finished request counts against the service level. */
export enum ServiceLevel {
  Met = 'met',
  Late = 'late',
  Failed = 'failed',
  /** Not counted, because the caller caused the failure. */
  Excluded = 'excluded'
}

/** Outcome and latencies of a finished request. */
export interface FinishedRequest {
  /** Kind of failure; absent if the request succeeded. */
  readonly errorKind?: ErrorKind
  /** Time to the first token or byte, in milliseconds. */
  readonly ttftMs?: number
  /** Mean time between tokens, in milliseconds. */
  readonly interTokenMs?: number
}

/** Latency targets of a route. */
export interface ServiceLevelTargets {
  readonly ttftMs: number
  /** 0 if the route does not stream tokens. */
  readonly interTokenMs: number
}

const CALLER_ERRORS: readonly ErrorKind[] = [
  ErrorKind.BadRequest, ErrorKind.Unauthorized, ErrorKind.NotFound, ErrorKind.TooLarge, ErrorKind.AccountLimit,
  ErrorKind.CallerGone, ErrorKind.KeyRefused, ErrorKind.KeyConflict, ErrorKind.AlreadyRan, ErrorKind.AlreadyRunning,
  ErrorKind.Superseded, ErrorKind.Quarantined
]

/**
 * Classifies a finished request against the latency targets of its route.
 *
 * @param request - Outcome and latencies.
 * @param targets - Latency targets of its route.
 * @returns How it counts.
 */
export function classifyServiceLevel (request: FinishedRequest, targets: ServiceLevelTargets): ServiceLevel {
  if (request.errorKind !== undefined) {
    return CALLER_ERRORS.includes(request.errorKind) ? ServiceLevel.Excluded : ServiceLevel.Failed
  }
  const ttftExceeded = (request.ttftMs ?? 0) > targets.ttftMs
  const interTokenExceeded = targets.interTokenMs > 0 && (request.interTokenMs ?? 0) > targets.interTokenMs
  return ttftExceeded || interTokenExceeded ? ServiceLevel.Late : ServiceLevel.Met
}
