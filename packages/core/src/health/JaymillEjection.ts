import { EJECT_FAILURES, EJECT_MS, MAX_EJECT_MS } from './constants.js'

/** How far an endpoint takes part. */
export enum EjectionState {
  Active = 'active',
  /** It gets no work. */
  Ejected = 'ejected',
  /** It gets little work, to see whether it has recovered. */
  Probing = 'probing'
}

/** Ejection of one endpoint and its way back. */
export class Ejection {
  private _state = EjectionState.Active
  private _untilMs = 0
  private _times = 0
  private _failures = 0

  /**
   * @param nowMs - Monotonic time in milliseconds.
   * @returns The state now.
   */
  state (nowMs: number): EjectionState {
    if (this._state === EjectionState.Ejected && nowMs >= this._untilMs) this._state = EjectionState.Probing
    return this._state
  }

  /**
   * @returns Whether the failures in a row call for an ejection.
   */
  get failing (): boolean {
    return this._failures >= EJECT_FAILURES
  }

  /** Notes a failure. */
  failed (): void {
    this._failures += 1
  }

  /** Notes a success. */
  succeeded (): void {
    this._failures = 0
  }

  /**
   * Ejects; each ejection in a row lasts twice as long as the one before.
   *
   * @param nowMs - Monotonic time in milliseconds.
   */
  eject (nowMs: number): void {
    this._state = EjectionState.Ejected
    this._untilMs = nowMs + Math.min(MAX_EJECT_MS, EJECT_MS * 2 ** this._times)
    this._times += 1
    this._failures = 0
  }

  /** Lets the endpoint take part fully again. */
  restore (): void {
    this._state = EjectionState.Active
    this._times = 0
  }
}
