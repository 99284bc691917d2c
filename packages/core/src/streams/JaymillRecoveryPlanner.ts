import { initialTransition, SnapshotFrom, transition } from 'xstate'
import { ErrorKind, JaymillError, RanState } from '../errors/JaymillError.js'
import { RequestError } from '../errors/JaymillRequestError.js'
import { RecoveryEvent, RecoveryEventType, recoveryMachine, RecoveryState } from './JaymillRecoveryMachine.js'

/** Next step after a failure. */
export enum RecoveryStep {
  /** Probe the endpoint on a new connection. */
  Probe = 'probe',
  /** Resume the stream after the last id on a new connection. */
  Resume = 'resume',
  /** Cancel the request and continue on another endpoint from the prompt and the text so far. */
  Move = 'move',
  /** Report the failure to the caller. */
  GiveUp = 'give-up'
}

/** Failures that a new connection or another endpoint can recover from. */
const RECOVERABLE: ReadonlyMap<ErrorKind, RecoveryEventType> = new Map([
  [ErrorKind.Stalled, RecoveryEventType.Broken],
  [ErrorKind.EndpointFailed, RecoveryEventType.Broken],
  [ErrorKind.NotFound, RecoveryEventType.Forgotten],
  [ErrorKind.EndpointRefused, RecoveryEventType.Refused]
])

/** Decides how a request continues after a failure of its endpoint. */
export abstract class RecoveryPlanner {
  /**
   * Handles a failure of the request.
   *
   * @param err - The failure.
   * @param resumable - Whether the endpoint may still be running the request; false during prefill.
   * @returns Next step.
   */
  abstract onFailure (err: JaymillError, resumable: boolean): RecoveryStep

  /**
   * Handles the result of a probe.
   *
   * @param responded - Whether the endpoint responded to the probe on a new connection.
   * @returns Next step.
   */
  abstract onProbeResult (responded: boolean): RecoveryStep

  /** Handles the start of a resumed or moved attempt. */
  abstract onAttemptStarted (): void

  /** Handles a token: records that the request has run and resets the count of resumes. */
  abstract onToken (): void

  /**
   * Builds the error for the caller.
   *
   * @param cause - Last failure.
   * @returns Error whose `ran` covers all attempts of the request.
   */
  abstract callerError (cause: JaymillError): JaymillError
}

/** Resumes while the endpoint responds, else moves to another one; both are bounded. */
export class ResumeOrMovePlanner extends RecoveryPlanner {
  private _state: SnapshotFrom<typeof recoveryMachine> = initialTransition(recoveryMachine)[0]
  private _progressReported = false

  /** {@inheritDoc RecoveryPlanner.onFailure} */
  onFailure (err: JaymillError, resumable: boolean): RecoveryStep {
    const type = RECOVERABLE.get(err.kind)
    this._progressReported = false
    if (type === undefined) return RecoveryStep.GiveUp
    const lost = type === RecoveryEventType.Broken && !resumable
    return this._send({ type: lost ? RecoveryEventType.Lost : type })
  }

  /** {@inheritDoc RecoveryPlanner.onProbeResult} */
  onProbeResult (responded: boolean): RecoveryStep {
    return this._send({ type: responded ? RecoveryEventType.ProbeSucceeded : RecoveryEventType.ProbeFailed })
  }

  /** {@inheritDoc RecoveryPlanner.onAttemptStarted} */
  onAttemptStarted (): void {
    this._send({ type: RecoveryEventType.Started })
  }

  /** {@inheritDoc RecoveryPlanner.onToken} */
  onToken (): void {
    if (this._progressReported) return
    this._progressReported = true
    this._send({ type: RecoveryEventType.Progressed })
  }

  /** {@inheritDoc RecoveryPlanner.callerError} */
  callerError (cause: JaymillError): JaymillError {
    const ran = maxRanState(this._state.context.ran, cause.ran)
    const kind = cause.kind === ErrorKind.NotFound ? ErrorKind.EndpointFailed : cause.kind
    return new RequestError(kind, cause.message, { ran, retryAfterMs: cause.retryAfterMs, cause })
  }

  private _send (event: RecoveryEvent): RecoveryStep {
    this._state = transition(recoveryMachine, this._state, event)[0]
    return STEP_BY_STATE[this._state.value]
  }
}

/** Baseline that reports every failure to the caller. */
export class NoRecovery extends RecoveryPlanner {
  /** {@inheritDoc RecoveryPlanner.onFailure} */
  onFailure (): RecoveryStep {
    return RecoveryStep.GiveUp
  }

  /** {@inheritDoc RecoveryPlanner.onProbeResult} */
  onProbeResult (): RecoveryStep {
    return RecoveryStep.GiveUp
  }

  /** {@inheritDoc RecoveryPlanner.onAttemptStarted} */
  onAttemptStarted (): void {}

  /** {@inheritDoc RecoveryPlanner.onToken} */
  onToken (): void {}

  /** {@inheritDoc RecoveryPlanner.callerError} */
  callerError (cause: JaymillError): JaymillError {
    return cause
  }
}

const STEP_BY_STATE: Readonly<Record<RecoveryState, RecoveryStep>> = {
  [RecoveryState.Streaming]: RecoveryStep.Resume,
  [RecoveryState.Probing]: RecoveryStep.Probe,
  [RecoveryState.Resuming]: RecoveryStep.Resume,
  [RecoveryState.Moving]: RecoveryStep.Move,
  [RecoveryState.GivenUp]: RecoveryStep.GiveUp
}

const RAN_STATE_ORDER: readonly RanState[] = [RanState.No, RanState.Unknown, RanState.Yes]

function maxRanState (a: RanState, b: RanState): RanState {
  return RAN_STATE_ORDER[Math.max(RAN_STATE_ORDER.indexOf(a), RAN_STATE_ORDER.indexOf(b))] ?? RanState.Unknown
}
