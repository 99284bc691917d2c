import { initialTransition, SnapshotFrom, transition } from 'xstate'
import { ErrorKind, JaymillError, RanState } from '../errors/JaymillError.js'
import { RequestError } from '../errors/JaymillRequestError.js'
import { RecoveryEvent, RecoveryFact, recoveryMachine, RecoveryState } from './JaymillRecoveryMachine.js'

/** What is to be done after a failure. */
export enum RecoveryStep {
  /** Ask the endpoint on a new connection whether it lives. */
  Probe = 'probe',
  /** Read on from the last id on a new connection. */
  Resume = 'resume',
  /** Cancel here and continue on another endpoint from the prompt and the text so far. */
  Move = 'move',
  /** Tell the caller. */
  GiveUp = 'give-up'
}

/** Failures that another connection or endpoint can mend. */
const RECOVERABLE: ReadonlyMap<ErrorKind, RecoveryEvent> = new Map([
  [ErrorKind.Stalled, RecoveryEvent.Broken],
  [ErrorKind.EndpointFailed, RecoveryEvent.Broken],
  [ErrorKind.NotFound, RecoveryEvent.Forgotten],
  [ErrorKind.EndpointRefused, RecoveryEvent.Refused]
])

/** Decides how a request goes on after a failure of its endpoint. */
export abstract class RecoveryPlanner {
  /**
   * @param err - Failure of the stream.
   * @param resumable - Whether the endpoint may still run the request; false during prefill.
   * @returns What to do.
   */
  abstract failed (err: JaymillError, resumable: boolean): RecoveryStep

  /**
   * @param alive - Whether the endpoint answered a probe on a new connection.
   * @returns What to do.
   */
  abstract probed (alive: boolean): RecoveryStep

  /** Notes that the resumed or moved attempt begins. */
  abstract started (): void

  /** Notes that a token of the answer arrived. */
  abstract progressed (): void

  /**
   * @param cause - Last failure.
   * @returns The failure that the caller is told, with the effect of all attempts together.
   */
  abstract failure (cause: JaymillError): JaymillError
}

/** Resumes on the endpoint while it lives, else moves, within bounds. */
export class ResumeOrMovePlanner extends RecoveryPlanner {
  private _state: SnapshotFrom<typeof recoveryMachine> = initialTransition(recoveryMachine)[0]
  private _noted = false

  /** {@inheritDoc RecoveryPlanner.failed} */
  failed (err: JaymillError, resumable: boolean): RecoveryStep {
    const type = RECOVERABLE.get(err.kind)
    this._noted = false
    if (type === undefined) return RecoveryStep.GiveUp
    const lost = type === RecoveryEvent.Broken && !resumable
    return this._send({ type: lost ? RecoveryEvent.Lost : type })
  }

  /** {@inheritDoc RecoveryPlanner.probed} */
  probed (alive: boolean): RecoveryStep {
    return this._send({ type: alive ? RecoveryEvent.Alive : RecoveryEvent.Dead })
  }

  /** {@inheritDoc RecoveryPlanner.started} */
  started (): void {
    this._send({ type: RecoveryEvent.Started })
  }

  /** {@inheritDoc RecoveryPlanner.progressed} */
  progressed (): void {
    if (this._noted) return
    this._noted = true
    this._send({ type: RecoveryEvent.Progressed })
  }

  /** {@inheritDoc RecoveryPlanner.failure} */
  failure (cause: JaymillError): JaymillError {
    const ran = mostEffect(this._state.context.ran, cause.ran)
    const kind = cause.kind === ErrorKind.NotFound ? ErrorKind.EndpointFailed : cause.kind
    return new RequestError(kind, cause.message, { ran, retryAfterMs: cause.retryAfterMs, cause })
  }

  private _send (fact: RecoveryFact): RecoveryStep {
    this._state = transition(recoveryMachine, this._state, fact)[0]
    return STEP_OF_STATE[this._state.value]
  }
}

/** Baseline: tells the caller of every failure. */
export class NoRecovery extends RecoveryPlanner {
  /** {@inheritDoc RecoveryPlanner.failed} */
  failed (): RecoveryStep {
    return RecoveryStep.GiveUp
  }

  /** {@inheritDoc RecoveryPlanner.probed} */
  probed (): RecoveryStep {
    return RecoveryStep.GiveUp
  }

  /** {@inheritDoc RecoveryPlanner.started} */
  started (): void {}

  /** {@inheritDoc RecoveryPlanner.progressed} */
  progressed (): void {}

  /** {@inheritDoc RecoveryPlanner.failure} */
  failure (cause: JaymillError): JaymillError {
    return cause
  }
}

const STEP_OF_STATE: Readonly<Record<RecoveryState, RecoveryStep>> = {
  [RecoveryState.Streaming]: RecoveryStep.Resume,
  [RecoveryState.Probing]: RecoveryStep.Probe,
  [RecoveryState.Resuming]: RecoveryStep.Resume,
  [RecoveryState.Moving]: RecoveryStep.Move,
  [RecoveryState.GivenUp]: RecoveryStep.GiveUp
}

const EFFECT_ORDER: readonly RanState[] = [RanState.No, RanState.Unknown, RanState.Yes]

function mostEffect (a: RanState, b: RanState): RanState {
  return EFFECT_ORDER[Math.max(EFFECT_ORDER.indexOf(a), EFFECT_ORDER.indexOf(b))] ?? RanState.Unknown
}
