import { describe, expect, test } from 'vitest'
import { ErrorKind, RanState } from '../../errors/JaymillError.js'
import { RequestError } from '../../errors/JaymillRequestError.js'
import { MAX_MOVES, MAX_RESUMES } from '../../streams/constants.js'
import { RecoveryStep, ResumeOrMovePlanner } from '../../streams/JaymillRecoveryPlanner.js'

const stalled = new RequestError(ErrorKind.Stalled, 'silent', { ran: RanState.Unknown })
const refused = new RequestError(ErrorKind.EndpointRefused, 'full')

describe('ResumeOrMovePlanner', () => {
  test('probes a silent stream, resumes where the endpoint lives and moves where it is dead', () => {
    const planner = new ResumeOrMovePlanner()
    expect([planner.failed(stalled, true), planner.probed(true)]).toEqual([RecoveryStep.Probe, RecoveryStep.Resume])
    planner.started()
    expect([planner.failed(stalled, true), planner.probed(false)]).toEqual([RecoveryStep.Probe, RecoveryStep.Move])
  })

  test('resumes without progress are bounded, progress allows them again', () => {
    const planner = new ResumeOrMovePlanner()
    const again = (): RecoveryStep => {
      planner.started()
      planner.failed(stalled, true)
      return planner.probed(true)
    }
    const steps = Array.from({ length: MAX_RESUMES }, again)
    expect(steps.every(step => step === RecoveryStep.Resume)).toBe(true)
    planner.started()
    planner.progressed()
    expect(again()).toBe(RecoveryStep.Resume)
    expect(Array.from({ length: MAX_RESUMES }, again).at(-1)).toBe(RecoveryStep.Move)
  })

  test('moves are bounded', () => {
    const planner = new ResumeOrMovePlanner()
    const steps = Array.from({ length: MAX_MOVES + 1 }, () => {
      planner.started()
      return planner.failed(refused, true)
    })
    expect([steps.at(-2), steps.at(-1)]).toEqual([RecoveryStep.Move, RecoveryStep.GiveUp])
  })

  test('"not run" is only said when no attempt can have run', () => {
    const planner = new ResumeOrMovePlanner()
    planner.failed(refused, true)
    expect(planner.failure(refused).ran).toBe(RanState.No)
    planner.started()
    planner.failed(stalled, false)
    expect(planner.failure(refused).ran).toBe(RanState.Unknown)
    planner.started()
    planner.progressed()
    expect(planner.failure(refused).ran).toBe(RanState.Yes)
  })

  test('what no other endpoint can mend ends at once', () => {
    const gone = new RequestError(ErrorKind.CallerGone, 'gone')
    expect(new ResumeOrMovePlanner().failed(gone, true)).toBe(RecoveryStep.GiveUp)
  })
})
