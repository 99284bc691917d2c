import { describe, expect, test } from 'vitest'
import { ErrorKind, RanState } from '../../errors/JaymillError.js'
import { RequestError } from '../../errors/JaymillRequestError.js'
import { MAX_MOVES, MAX_RESUMES } from '../../streams/constants.js'
import { RecoveryStep, ResumeOrMovePlanner } from '../../streams/JaymillRecoveryPlanner.js'

const stalled = new RequestError(ErrorKind.Stalled, 'silent', { ran: RanState.Unknown })
const refused = new RequestError(ErrorKind.EndpointRefused, 'full')

describe('ResumeOrMovePlanner', () => {
  test('probes a stalled stream, resumes it if the endpoint responds and moves it otherwise', () => {
    const planner = new ResumeOrMovePlanner()
    expect([planner.onFailure(stalled, true), planner.onProbeResult(true)]).toEqual([RecoveryStep.Probe, RecoveryStep.Resume])
    planner.onAttemptStarted()
    expect([planner.onFailure(stalled, true), planner.onProbeResult(false)]).toEqual([RecoveryStep.Probe, RecoveryStep.Move])
  })

  test('bounds resumes without progress; progress resets the limit', () => {
    const planner = new ResumeOrMovePlanner()
    const stallAndProbe = (): RecoveryStep => {
      planner.onAttemptStarted()
      planner.onFailure(stalled, true)
      return planner.onProbeResult(true)
    }
    const steps = Array.from({ length: MAX_RESUMES }, stallAndProbe)
    expect(steps.every(step => step === RecoveryStep.Resume)).toBe(true)
    planner.onAttemptStarted()
    planner.onToken()
    expect(stallAndProbe()).toBe(RecoveryStep.Resume)
    expect(Array.from({ length: MAX_RESUMES }, stallAndProbe).at(-1)).toBe(RecoveryStep.Move)
  })

  test('bounds moves', () => {
    const planner = new ResumeOrMovePlanner()
    const steps = Array.from({ length: MAX_MOVES + 1 }, () => {
      planner.onAttemptStarted()
      return planner.onFailure(refused, true)
    })
    expect([steps.at(-2), steps.at(-1)]).toEqual([RecoveryStep.Move, RecoveryStep.GiveUp])
  })

  test('reports that the request did not run only if no attempt can have run', () => {
    const planner = new ResumeOrMovePlanner()
    planner.onFailure(refused, true)
    expect(planner.callerError(refused).ran).toBe(RanState.No)
    planner.onAttemptStarted()
    planner.onFailure(stalled, false)
    expect(planner.callerError(refused).ran).toBe(RanState.Unknown)
    planner.onAttemptStarted()
    planner.onToken()
    expect(planner.callerError(refused).ran).toBe(RanState.Yes)
  })

  test('fails the request at once when no other endpoint can recover from the failure', () => {
    const gone = new RequestError(ErrorKind.CallerGone, 'gone')
    expect(new ResumeOrMovePlanner().onFailure(gone, true)).toBe(RecoveryStep.GiveUp)
  })
})
