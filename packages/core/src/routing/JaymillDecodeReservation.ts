/** What a planner tells its driver to do next. */
export enum PlanAction {
  BookDecode = 'book-decode',
  BookPrefill = 'book-prefill',
  RunPrefill = 'run-prefill',
  RunDecode = 'run-decode',
  /** Cancel what runs and give both bookings back. */
  ReleaseAll = 'release-all'
}

/** Why a request no longer needs its bookings. */
export enum PlanEnd {
  Finished = 'finished',
  CallerGone = 'caller-gone',
  Deadline = 'deadline',
  Stalled = 'stalled',
  Refused = 'refused'
}

/** Progress of one attempt through prefill and decode. */
export interface PlanState {
  readonly decodeBooked: boolean
  readonly prefillBooked: boolean
  readonly prefillDone: boolean
  readonly ended: PlanEnd | null
}

/** State of an attempt that has nothing yet. */
export const PLAN_START: PlanState = { decodeBooked: false, prefillBooked: false, prefillDone: false, ended: null }

/** Decides in which order an attempt books and runs its two stages. */
export abstract class DecodeReservation {
  /**
   * @param state - Progress so far.
   * @returns The next action; the driver reports its result as a new state.
   */
  next (state: PlanState): PlanAction {
    return state.ended === null ? this._advance(state) : PlanAction.ReleaseAll
  }

  /**
   * @param prefillMs - Expected time of the prefill and its transfer, in milliseconds.
   * @returns Time from now at which a decode booking made now is first used, in milliseconds.
   */
  abstract decodeStartInMs (prefillMs: number): number

  protected abstract _advance (state: PlanState): PlanAction
}

/** Books decode, then prefill, and runs nothing before both are held. */
export class ReserveDecodeFirst extends DecodeReservation {
  /** {@inheritDoc DecodeReservation.decodeStartInMs} */
  decodeStartInMs (prefillMs: number): number {
    return prefillMs
  }

  protected override _advance (state: PlanState): PlanAction {
    if (!state.decodeBooked) return PlanAction.BookDecode
    if (!state.prefillBooked) return PlanAction.BookPrefill
    return state.prefillDone ? PlanAction.RunDecode : PlanAction.RunPrefill
  }
}

/** Runs the prefill first and looks for a decode slot when it has ended. */
export class PrefillFirst extends DecodeReservation {
  /** {@inheritDoc DecodeReservation.decodeStartInMs} */
  decodeStartInMs (): number {
    return 0
  }

  protected override _advance (state: PlanState): PlanAction {
    if (!state.prefillBooked) return PlanAction.BookPrefill
    if (!state.prefillDone) return PlanAction.RunPrefill
    return state.decodeBooked ? PlanAction.RunDecode : PlanAction.BookDecode
  }
}

/**
 * Books decode for the expected end of the prefill, counting on running requests to end by then.
 * To be used with ledgers that count by `CountingRule.Expected`.
 */
export class JustInTime extends ReserveDecodeFirst {}
