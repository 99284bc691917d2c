/** Next step that a planner requests from its driver. */
export enum PlanAction {
  ReserveDecode = 'book-decode',
  ReservePrefill = 'book-prefill',
  RunPrefill = 'run-prefill',
  RunDecode = 'run-decode',
  /** Cancel running work and release both reservations. */
  ReleaseAll = 'release-all'
}

/** Why a request no longer needs its reservations. */
export enum PlanEndReason {
  Finished = 'finished',
  CallerGone = 'caller-gone',
  Deadline = 'deadline',
  Stalled = 'stalled',
  Refused = 'refused'
}

/** Progress of one attempt through prefill and decode. */
export interface PlanState {
  readonly decodeReserved: boolean
  readonly prefillReserved: boolean
  readonly prefillDone: boolean
  readonly ended: PlanEndReason | null
}

/** State of an attempt that has reserved nothing yet. */
export const PLAN_START: PlanState = { decodeReserved: false, prefillReserved: false, prefillDone: false, ended: null }

/** Decides in which order an attempt reserves and runs prefill and decode. */
export abstract class ReservationPlanner {
  /**
   * Chooses the next action of an attempt.
   *
   * @param state - Progress so far.
   * @returns The next action; the driver reports its result as a new state.
   */
  next (state: PlanState): PlanAction {
    return state.ended === null ? this._advance(state) : PlanAction.ReleaseAll
  }

  /**
   * Estimates when a decode reservation made now is first used.
   *
   * @param prefillMs - Expected time of the prefill and its transfer, in milliseconds.
   * @returns Time from now, in milliseconds.
   */
  abstract decodeStartInMs (prefillMs: number): number

  protected abstract _advance (state: PlanState): PlanAction
}

/** Reserves decode, then prefill, and runs nothing until both are reserved. */
export class ReserveDecodeFirst extends ReservationPlanner {
  /** {@inheritDoc ReservationPlanner.decodeStartInMs} */
  decodeStartInMs (prefillMs: number): number {
    return prefillMs
  }

  protected override _advance (state: PlanState): PlanAction {
    if (!state.decodeReserved) return PlanAction.ReserveDecode
    if (!state.prefillReserved) return PlanAction.ReservePrefill
    return state.prefillDone ? PlanAction.RunDecode : PlanAction.RunPrefill
  }
}

/** Runs the prefill first and reserves a decode slot when it has ended. */
export class PrefillFirst extends ReservationPlanner {
  /** {@inheritDoc ReservationPlanner.decodeStartInMs} */
  decodeStartInMs (): number {
    return 0
  }

  protected override _advance (state: PlanState): PlanAction {
    if (!state.prefillReserved) return PlanAction.ReservePrefill
    if (!state.prefillDone) return PlanAction.RunPrefill
    return state.decodeReserved ? PlanAction.RunDecode : PlanAction.ReserveDecode
  }
}

/**
 * Reserves decode for the expected end of the prefill; requests that are expected to end by then do not count.
 * Requires ledgers that count by `CountingRule.Expected`.
 */
export class JustInTime extends ReserveDecodeFirst {}
