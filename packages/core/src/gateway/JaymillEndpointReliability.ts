import { FAILURE_DECAY_MS, SUSPECT_FIRST_MS, SUSPECT_MAX_MS } from './constants.js'

/** Outcome of a call to an endpoint, as it affects the endpoint's health. */
export enum CallOutcome {
  Success = 'success',
  /** The endpoint returned an error or an incomplete response. */
  Failure = 'failure',
  /** No connection, or no response. */
  Unreachable = 'unreachable'
}

interface CallRecord {
  calls: number
  failures: number
  atMs: number
  suspectUntilMs: number
  suspectMs: number
}

/**
 * Tracks recent call outcomes per endpoint: a decaying share of failures, and a pause with exponential backoff for an
 * unreachable endpoint.
 */
export class EndpointReliability {
  private readonly _records = new Map<string, CallRecord>()

  /**
   * Records the outcome of one call.
   *
   * @param endpointId - Endpoint that was called.
   * @param outcome - How the call ended.
   * @param nowMs - Monotonic time in milliseconds.
   */
  recordOutcome (endpointId: string, outcome: CallOutcome, nowMs: number): void {
    const record = this._decayed(endpointId, nowMs)
    record.calls += 1
    record.failures += outcome === CallOutcome.Success ? 0 : 1
    if (outcome === CallOutcome.Success) record.suspectMs = 0
    if (outcome === CallOutcome.Unreachable) this._markSuspect(record, nowMs)
    if (outcome === CallOutcome.Success) record.suspectUntilMs = nowMs
    this._records.set(endpointId, record)
  }

  /**
   * @param endpointId - An endpoint.
   * @param nowMs - Monotonic time in milliseconds.
   * @returns Whether it was unreachable a short time ago.
   */
  isSuspect (endpointId: string, nowMs: number): boolean {
    return (this._records.get(endpointId)?.suspectUntilMs ?? nowMs) > nowMs
  }

  /**
   * @param endpointId - An endpoint.
   * @param nowMs - Monotonic time in milliseconds.
   * @returns Share of recent calls that failed, 0 to 1; biased towards 0 while there are few calls.
   */
  failureShare (endpointId: string, nowMs: number): number {
    const { calls, failures } = this._decayed(endpointId, nowMs)
    return failures / (calls + 1)
  }

  /**
   * Removes the history of an endpoint.
   *
   * @param endpointId - Endpoint that is no longer published.
   */
  forget (endpointId: string): void {
    this._records.delete(endpointId)
  }

  private _markSuspect (record: CallRecord, nowMs: number): void {
    record.suspectMs = Math.min(SUSPECT_MAX_MS, Math.max(SUSPECT_FIRST_MS, record.suspectMs * 2))
    record.suspectUntilMs = nowMs + record.suspectMs
  }

  private _decayed (endpointId: string, nowMs: number): CallRecord {
    const record = this._records.get(endpointId)
    if (record === undefined) return { calls: 0, failures: 0, atMs: nowMs, suspectUntilMs: nowMs, suspectMs: 0 }
    const decay = Math.exp((record.atMs - nowMs) / FAILURE_DECAY_MS)
    return { ...record, calls: record.calls * decay, failures: record.failures * decay, atMs: nowMs }
  }
}
