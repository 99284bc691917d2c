import { createMachine, getInitialSnapshot, SnapshotFrom, transition } from 'xstate'
import { PeerStatus } from '../ports/peers/JaymillHeartbeatHandler.js'

/** What can change the status of another host. */
export enum PeerEventKind {
  /** Proof that the host runs. */
  Heard = 'heard',
  /** Silence beyond the first limit, here or elsewhere. */
  Overdue = 'overdue',
  /** Silence beyond the last limit, here or elsewhere. */
  Lost = 'lost',
  /** The host has said that it stops. */
  Leaving = 'leaving',
  /** A later incarnation was heard of. */
  Restarted = 'restarted'
}

/** Event of the peer machine. */
export interface PeerEvent {
  readonly type: PeerEventKind
}

/** Lifecycle of another host; leaving holds for the rest of an incarnation. */
export const peerMachine = createMachine({
  types: {} as { events: PeerEvent },
  id: 'peer',
  initial: PeerStatus.Live,
  on: { [PeerEventKind.Restarted]: `.${PeerStatus.Live}` },
  states: {
    [PeerStatus.Live]: {
      on: {
        [PeerEventKind.Overdue]: PeerStatus.Suspect,
        [PeerEventKind.Lost]: PeerStatus.Gone,
        [PeerEventKind.Leaving]: PeerStatus.Leaving
      }
    },
    [PeerStatus.Suspect]: {
      on: {
        [PeerEventKind.Heard]: PeerStatus.Live,
        [PeerEventKind.Lost]: PeerStatus.Gone,
        [PeerEventKind.Leaving]: PeerStatus.Leaving
      }
    },
    [PeerStatus.Leaving]: {
      on: { [PeerEventKind.Lost]: PeerStatus.Gone }
    },
    [PeerStatus.Gone]: {
      on: {
        [PeerEventKind.Heard]: PeerStatus.Live,
        [PeerEventKind.Leaving]: PeerStatus.Leaving
      }
    }
  }
})

/** State of one peer machine. */
export type PeerSnapshot = SnapshotFrom<typeof peerMachine>

/** Snapshot of a host that the published list calls live. */
export const LIVE_SNAPSHOT: PeerSnapshot = getInitialSnapshot(peerMachine)

/**
 * @param snapshot - State before.
 * @param type - What happened.
 * @returns State after.
 */
export function nextPeerSnapshot (snapshot: PeerSnapshot, type: PeerEventKind): PeerSnapshot {
  return transition(peerMachine, snapshot, { type })[0]
}

/**
 * @param snapshot - State of the machine.
 * @returns The host's status.
 */
export function statusOf (snapshot: PeerSnapshot): PeerStatus {
  return snapshot.value as PeerStatus
}
