import { assign, setup } from 'xstate'
import { RanState } from '../errors/JaymillError.js'
import { MAX_MOVES, MAX_RESUMES } from './constants.js'

/** Events in the recovery of a request. */
export enum RecoveryEventType {
  /** The stream stalled or its connection broke. */
  Broken = 'broken',
  /** The call broke in a phase that cannot be resumed. */
  Lost = 'lost',
  /** The endpoint has no record of the request. */
  Forgotten = 'forgotten',
  /** The endpoint did not start the request. */
  Refused = 'refused',
  /** Tokens arrived. */
  Progressed = 'progressed',
  /** The endpoint responded to a probe on a new connection. */
  ProbeSucceeded = 'alive',
  /** The endpoint did not respond to a probe on a new connection. */
  ProbeFailed = 'dead',
  /** The resumed or moved attempt has started. */
  Started = 'started'
}

/** States in the recovery of a request; each state names the action in progress. */
export enum RecoveryState {
  Streaming = 'streaming',
  Probing = 'probing',
  Resuming = 'resuming',
  Moving = 'moving',
  GivenUp = 'given-up'
}

/** Context of the state machine. */
export interface RecoveryContext {
  readonly resumes: number
  readonly moves: number
  readonly ran: RanState
}

/** Event of the state machine. */
export interface RecoveryEvent {
  readonly type: RecoveryEventType
}

const mayMove = { guard: 'mayMove', target: RecoveryState.Moving, actions: 'countMove' } as const
const moveOrGiveUp = [mayMove, { target: RecoveryState.GivenUp }] as const

/** Lifecycle of a stream: probe after a break, resume if the endpoint responds, else move to another endpoint. */
export const recoveryMachine = setup({
  types: { context: {} as RecoveryContext, events: {} as RecoveryEvent },
  guards: {
    mayMove: ({ context }) => context.moves < MAX_MOVES,
    mayResume: ({ context }) => context.resumes < MAX_RESUMES
  },
  actions: {
    countMove: assign({ moves: ({ context }) => context.moves + 1, resumes: 0 }),
    countResume: assign({ resumes: ({ context }) => context.resumes + 1 }),
    noteUnknown: assign({ ran: ({ context }) => context.ran === RanState.Yes ? RanState.Yes : RanState.Unknown }),
    noteRan: assign({ ran: RanState.Yes, resumes: 0 })
  }
}).createMachine({
  id: 'recovery',
  initial: RecoveryState.Streaming,
  context: { resumes: 0, moves: 0, ran: RanState.No },
  states: {
    [RecoveryState.Streaming]: {
      on: {
        [RecoveryEventType.Progressed]: { actions: 'noteRan' },
        [RecoveryEventType.Broken]: { target: RecoveryState.Probing, actions: 'noteUnknown' },
        [RecoveryEventType.Lost]: [
          { ...mayMove, actions: ['noteUnknown', 'countMove'] },
          { target: RecoveryState.GivenUp, actions: 'noteUnknown' }
        ],
        [RecoveryEventType.Forgotten]: moveOrGiveUp,
        [RecoveryEventType.Refused]: moveOrGiveUp
      }
    },
    [RecoveryState.Probing]: {
      on: {
        [RecoveryEventType.ProbeSucceeded]: [
          { guard: 'mayResume', target: RecoveryState.Resuming, actions: 'countResume' },
          ...moveOrGiveUp
        ],
        [RecoveryEventType.ProbeFailed]: moveOrGiveUp
      }
    },
    [RecoveryState.Resuming]: { on: { [RecoveryEventType.Started]: RecoveryState.Streaming } },
    [RecoveryState.Moving]: { on: { [RecoveryEventType.Started]: RecoveryState.Streaming } },
    [RecoveryState.GivenUp]: { type: 'final' }
  }
})
