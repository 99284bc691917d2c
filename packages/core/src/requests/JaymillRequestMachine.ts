import { setup, transition, type SnapshotFrom } from 'xstate'

/** States of one request. */
export enum RequestState {
  Received = 'received',
  Admitted = 'admitted',
  Reserved = 'reserved',
  Prefilling = 'prefilling',
  Decoding = 'decoding',
  Executing = 'executing',
  Forwarded = 'forwarded',
  Completed = 'completed',
  Failed = 'failed',
  Cancelled = 'cancelled'
}

/** Events in the lifecycle of a request. */
export enum RequestEvent {
  Admit = 'admit',
  Reserve = 'reserve',
  Prefill = 'prefill',
  Decode = 'decode',
  Execute = 'execute',
  Forward = 'forward',
  Retry = 'retry',
  Complete = 'complete',
  Fail = 'fail',
  Cancel = 'cancel'
}

const ABORT_TRANSITIONS = {
  [RequestEvent.Fail]: RequestState.Failed,
  [RequestEvent.Cancel]: RequestState.Cancelled
}

/** Lifecycle of a request on the host that serves its caller or owns its key. */
export const requestMachine = setup({
  types: { events: {} as { type: RequestEvent } }
}).createMachine({
  id: 'request',
  initial: RequestState.Received,
  states: {
    [RequestState.Received]: {
      on: {
        ...ABORT_TRANSITIONS,
        [RequestEvent.Admit]: RequestState.Admitted,
        [RequestEvent.Forward]: RequestState.Forwarded,
        [RequestEvent.Complete]: RequestState.Completed
      }
    },
    [RequestState.Admitted]: {
      on: {
        ...ABORT_TRANSITIONS,
        [RequestEvent.Reserve]: RequestState.Reserved,
        [RequestEvent.Execute]: RequestState.Executing,
        [RequestEvent.Complete]: RequestState.Completed
      }
    },
    [RequestState.Reserved]: {
      on: {
        ...ABORT_TRANSITIONS,
        [RequestEvent.Prefill]: RequestState.Prefilling,
        [RequestEvent.Decode]: RequestState.Decoding,
        [RequestEvent.Execute]: RequestState.Executing,
        [RequestEvent.Retry]: RequestState.Admitted
      }
    },
    [RequestState.Prefilling]: {
      on: { ...ABORT_TRANSITIONS, [RequestEvent.Decode]: RequestState.Decoding, [RequestEvent.Retry]: RequestState.Admitted }
    },
    [RequestState.Decoding]: {
      on: { ...ABORT_TRANSITIONS, [RequestEvent.Complete]: RequestState.Completed, [RequestEvent.Retry]: RequestState.Admitted }
    },
    [RequestState.Executing]: {
      on: { ...ABORT_TRANSITIONS, [RequestEvent.Complete]: RequestState.Completed, [RequestEvent.Retry]: RequestState.Admitted }
    },
    [RequestState.Forwarded]: {
      on: { ...ABORT_TRANSITIONS, [RequestEvent.Complete]: RequestState.Completed, [RequestEvent.Retry]: RequestState.Received }
    },
    [RequestState.Completed]: { type: 'final' },
    [RequestState.Failed]: { type: 'final' },
    [RequestState.Cancelled]: { type: 'final' }
  }
})

/** Snapshot of a request's lifecycle. */
export type RequestSnapshot = SnapshotFrom<typeof requestMachine>

/**
 * Applies one event.
 *
 * @param snapshot - Current snapshot.
 * @param event - Event.
 * @returns The next snapshot; an event without a transition from the current state has no effect.
 */
export function advanceRequest (snapshot: RequestSnapshot, event: RequestEvent): RequestSnapshot {
  return transition(requestMachine, snapshot, { type: event })[0]
}
