import { EJECT_FAILURES, EJECT_MS, MAX_EJECT_MS } from './constants.js'

/** Whether an endpoint receives work. */
export enum EjectionState {
  Active = 'active',
  /** It receives no work. */
  Ejected = 'ejected',
  /** It receives a small share of work, which shows whether it has recovered. */
  Probing = 'probing'
}

/** Ejection state of one endpoint: ejected with exponential backoff, then probed before it is restored. */
export class Ejection {
  private _state = EjectionState.Active
  private _ejectedUntilMs = 0
  private _ejectionCount = 0
  private _consecutiveFailures = 0

  /**
   * @param nowMs - Monotonic time in milliseconds.
   * @returns The state at that time.
   */
  state (nowMs: number): EjectionState {
    if (this._state === EjectionState.Ejected && nowMs >= this._ejectedUntilMs) this._state = EjectionState.Probing
    return this._state
  }

  /**
   * @returns Whether consecutive failures have reached `EJECT_FAILURES`.
   */
  get failureLimitReached (): boolean {
    return this._consecutiveFailures >= EJECT_FAILURES
  }

  /** Counts a consecutive failure. */
  recordFailure (): void {
    this._consecutiveFailures += 1
  }

  /** Resets the count of consecutive failures. */
  recordSuccess (): void {
    this._consecutiveFailures = 0
  }

  /**
   * Ejects the endpoint; each ejection before `restore` lasts twice as long as the previous one, up to `MAX_EJECT_MS`.
   *
   * @param nowMs - Monotonic time in milliseconds.
   */
  eject (nowMs: number): void {
    this._state = EjectionState.Ejected
    this._ejectedUntilMs = nowMs + Math.min(MAX_EJECT_MS, EJECT_MS * 2 ** this._ejectionCount)
    this._ejectionCount += 1
    this._consecutiveFailures = 0
  }

  /** Returns the endpoint to full service and resets the backoff. */
  restore (): void {
    this._state = EjectionState.Active
    this._ejectionCount = 0
  }
}
