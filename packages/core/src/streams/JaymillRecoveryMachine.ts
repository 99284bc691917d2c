import { assign, setup } from 'xstate'
import { RanState } from '../errors/JaymillError.js'
import { MAX_MOVES, MAX_RESUMES } from './constants.js'

/** Events of a request's recovery. */
export enum RecoveryEvent {
  /** The stream went silent or broke. */
  Broken = 'broken',
  /** The call broke at a stage that can't be resumed. */
  Lost = 'lost',
  /** The endpoint no longer knows the request. */
  Forgotten = 'forgotten',
  /** The endpoint did not start the request. */
  Refused = 'refused',
  /** Tokens arrived. */
  Progressed = 'progressed',
  /** The endpoint answered a probe on a new connection. */
  Alive = 'alive',
  /** The endpoint did not answer a probe on a new connection. */
  Dead = 'dead',
  /** The resumed or moved attempt begins. */
  Started = 'started'
}

/** States of a request's recovery; each names what is to be done. */
export enum RecoveryState {
  Streaming = 'streaming',
  Probing = 'probing',
  Resuming = 'resuming',
  Moving = 'moving',
  GivenUp = 'given-up'
}

/** Facts that the recovery remembers. */
export interface RecoveryContext {
  readonly resumes: number
  readonly moves: number
  readonly ran: RanState
}

/** One event. */
export interface RecoveryFact {
  readonly type: RecoveryEvent
}

const mayMove = { guard: 'mayMove', target: RecoveryState.Moving, actions: 'countMove' } as const
const moveOrGiveUp = [mayMove, { target: RecoveryState.GivenUp }] as const

/** Lifecycle of a stream: probe after a break, resume where the endpoint lives, move where it does not. */
export const recoveryMachine = setup({
  types: { context: {} as RecoveryContext, events: {} as RecoveryFact },
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
        [RecoveryEvent.Progressed]: { actions: 'noteRan' },
        [RecoveryEvent.Broken]: { target: RecoveryState.Probing, actions: 'noteUnknown' },
        [RecoveryEvent.Lost]: [
          { ...mayMove, actions: ['noteUnknown', 'countMove'] },
          { target: RecoveryState.GivenUp, actions: 'noteUnknown' }
        ],
        [RecoveryEvent.Forgotten]: moveOrGiveUp,
        [RecoveryEvent.Refused]: moveOrGiveUp
      }
    },
    [RecoveryState.Probing]: {
      on: {
        [RecoveryEvent.Alive]: [
          { guard: 'mayResume', target: RecoveryState.Resuming, actions: 'countResume' },
          ...moveOrGiveUp
        ],
        [RecoveryEvent.Dead]: moveOrGiveUp
      }
    },
    [RecoveryState.Resuming]: { on: { [RecoveryEvent.Started]: RecoveryState.Streaming } },
    [RecoveryState.Moving]: { on: { [RecoveryEvent.Started]: RecoveryState.Streaming } },
    [RecoveryState.GivenUp]: { type: 'final' }
  }
})
