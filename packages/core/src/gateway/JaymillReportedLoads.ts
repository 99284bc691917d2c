import { REPORTED_REQUESTS_MAX, REPORTED_SLOWNESS_MAX, REPORTED_SLOWNESS_MIN } from './constants.js'

/** Load of an endpoint, as reported in a response. */
export interface ReportedLoad {
  readonly running: number
  readonly waiting: number
  readonly slots: number
  /** Current duration of work relative to the usual duration; 1 is normal. */
  readonly slowness: number
}

/** Latest load that an endpoint has reported to this host. */
export interface SeenLoad {
  /** Requests of other hosts at that time. */
  readonly others: number
  /** Duration of work relative to the usual duration at that time. */
  readonly slowness: number
  /** Monotonic time of the response, in milliseconds. */
  readonly atMs: number
}

/** Latest load that each endpoint has reported in its responses to this host. */
export class ReportedLoads {
  private readonly _seen = new Map<string, SeenLoad>()

  /**
   * Records the load in a response.
   *
   * @param endpointId - Endpoint that has responded.
   * @param load - Its load.
   * @param ownRequests - Requests of this host among those that it reports.
   * @param nowMs - Monotonic time in milliseconds.
   */
  record (endpointId: string, { running, waiting, slowness }: ReportedLoad, ownRequests: number, nowMs: number): void {
    const others = Math.max(0, running + waiting - ownRequests)
    const bounded = Math.min(REPORTED_SLOWNESS_MAX, Math.max(REPORTED_SLOWNESS_MIN, slowness))
    this._seen.set(endpointId, { others: Math.min(others, REPORTED_REQUESTS_MAX), slowness: bounded, atMs: nowMs })
  }

  /**
   * @param endpointId - An endpoint.
   * @returns The load that it has reported last; `undefined` if it has not reported any.
   */
  at (endpointId: string): SeenLoad | undefined {
    return this._seen.get(endpointId)
  }

  /**
   * Removes the load of an endpoint.
   *
   * @param endpointId - Endpoint that is no longer published.
   */
  forget (endpointId: string): void {
    this._seen.delete(endpointId)
  }
}
