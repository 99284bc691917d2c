/** Why a request is not run again after a run that gave no complete response. */
export enum RetryRefusal {
  /** The caller has left, the time limit is reached or this host stops. */
  Aborted = 'aborted',
  /** Too little time is left for another call. */
  Deadline = 'deadline',
  /** It may have run, or a part of its response has been forwarded, and the route allows no other run after that. */
  NotIdempotent = 'not-idempotent',
  /** It has run as often as the route allows. */
  Attempts = 'attempts',
  /** Too many calls that did not run it. */
  Rounds = 'rounds',
  Budget = 'retry-budget',
  Quarantined = 'quarantined'
}
