import { FAILURE_DECAY_MS, SUSPECT_FIRST_MS, SUSPECT_MAX_MS } from './constants.js'

/** How a call to an endpoint ended, as far as the endpoint's health is concerned. */
export enum CallOutcome {
  Success = 'success',
  /** The endpoint answered with a failure or a broken answer. */
  Failure = 'failure',
  /** No connection, or no sign of life. */
  Unreachable = 'unreachable'
}

interface CallRecord {
  calls: number
  failures: number
  atMs: number
  suspectUntilMs: number
  suspectMs: number
}

/** Recent outcomes of calls to endpoints: a share of failures that decays, and a pause after a sign of being unreachable. */
export class EndpointReliability {
  private readonly _records = new Map<string, CallRecord>()

  /**
   * Counts the outcome of one call.
   *
   * @param endpointId - Endpoint that was called.
   * @param outcome - How the call ended.
   * @param nowMs - Monotonic time in milliseconds.
   */
  note (endpointId: string, outcome: CallOutcome, nowMs: number): void {
    const record = this._decayed(endpointId, nowMs)
    record.calls += 1
    record.failures += outcome === CallOutcome.Success ? 0 : 1
    if (outcome === CallOutcome.Success) record.suspectMs = 0
    if (outcome === CallOutcome.Unreachable) this._suspect(record, nowMs)
    if (outcome === CallOutcome.Success) record.suspectUntilMs = nowMs
    this._records.set(endpointId, record)
  }

  /**
   * @param endpointId - An endpoint.
   * @param nowMs - Monotonic time in milliseconds.
   * @returns Whether it was found unreachable a short time ago.
   */
  isSuspect (endpointId: string, nowMs: number): boolean {
    return (this._records.get(endpointId)?.suspectUntilMs ?? nowMs) > nowMs
  }

  /**
   * @param endpointId - An endpoint.
   * @param nowMs - Monotonic time in milliseconds.
   * @returns Share of recent calls that failed, 0 to 1; drawn towards 0 while there are few calls.
   */
  failureShare (endpointId: string, nowMs: number): number {
    const { calls, failures } = this._decayed(endpointId, nowMs)
    return failures / (calls + 1)
  }

  /**
   * Forgets endpoints that are no longer published.
   *
   * @param endpointId - The endpoint.
   */
  forget (endpointId: string): void {
    this._records.delete(endpointId)
  }

  private _suspect (record: CallRecord, nowMs: number): void {
    record.suspectMs = Math.min(SUSPECT_MAX_MS, Math.max(SUSPECT_FIRST_MS, record.suspectMs * 2))
    record.suspectUntilMs = nowMs + record.suspectMs
  }

  private _decayed (endpointId: string, nowMs: number): CallRecord {
    const record = this._records.get(endpointId)
    if (record === undefined) return { calls: 0, failures: 0, atMs: nowMs, suspectUntilMs: nowMs, suspectMs: 0 }
    const kept = Math.exp((record.atMs - nowMs) / FAILURE_DECAY_MS)
    return { ...record, calls: record.calls * kept, failures: record.failures * kept, atMs: nowMs }
  }
}
