import { ErrorKind } from '../errors/JaymillError.js'

/** How a finished request counts against the service level. */
export enum ServiceLevel {
  Met = 'met',
  Late = 'late',
  Failed = 'failed',
  /** Not counted: the caller's own doing. */
  Excluded = 'excluded'
}

/** What is known of a finished request. */
export interface ServiceLevelFacts {
  /** Kind of failure; absent when it was answered. */
  readonly errorKind?: ErrorKind
  /** Time to the first token or byte, in milliseconds. */
  readonly ttftMs?: number
  /** Mean time between tokens, in milliseconds. */
  readonly interTokenMs?: number
}

/** Targets of a route. */
export interface ServiceLevelTargets {
  readonly ttftMs: number
  /** 0 when the route has no tokens. */
  readonly interTokenMs: number
}

const CALLER_FAULTS: readonly ErrorKind[] = [
  ErrorKind.BadRequest, ErrorKind.Unauthorized, ErrorKind.NotFound, ErrorKind.TooLarge, ErrorKind.AccountLimit,
  ErrorKind.CallerGone, ErrorKind.KeyRefused, ErrorKind.KeyConflict, ErrorKind.AlreadyRan, ErrorKind.AlreadyRunning,
  ErrorKind.Superseded, ErrorKind.Quarantined
]

/**
 * Judges a finished request.
 *
 * @param facts - Outcome and times.
 * @param targets - Targets of its route.
 * @returns How it counts.
 */
export function judgeServiceLevel (facts: ServiceLevelFacts, targets: ServiceLevelTargets): ServiceLevel {
  if (facts.errorKind !== undefined) {
    return CALLER_FAULTS.includes(facts.errorKind) ? ServiceLevel.Excluded : ServiceLevel.Failed
  }
  const firstIsLate = (facts.ttftMs ?? 0) > targets.ttftMs
  const paceIsLate = targets.interTokenMs > 0 && (facts.interTokenMs ?? 0) > targets.interTokenMs
  return firstIsLate || paceIsLate ? ServiceLevel.Late : ServiceLevel.Met
}
