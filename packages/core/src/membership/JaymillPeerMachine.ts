import { createMachine, getInitialSnapshot, SnapshotFrom, transition } from 'xstate'
import { PeerStatus } from '../ports/peers/JaymillHeartbeatHandler.js'

/** Events that change the status of another host. */
export enum PeerEventKind {
  /** A heartbeat or update shows that the host is running. */
  Alive = 'heard',
  /** This or another host received no heartbeat within the suspicion timeout. */
  Overdue = 'overdue',
  /** This or another host received no heartbeat until the last timeout had passed. */
  Lost = 'lost',
  /** The host has announced that it is leaving. */
  Leaving = 'leaving',
  /** A higher incarnation was reported. */
  Restarted = 'restarted'
}

/** Event of the peer machine. */
export interface PeerEvent {
  readonly type: PeerEventKind
}

/** State machine of another host. A leaving host stays leaving until it is gone or restarts. */
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
        [PeerEventKind.Alive]: PeerStatus.Live,
        [PeerEventKind.Lost]: PeerStatus.Gone,
        [PeerEventKind.Leaving]: PeerStatus.Leaving
      }
    },
    [PeerStatus.Leaving]: {
      on: { [PeerEventKind.Lost]: PeerStatus.Gone }
    },
    [PeerStatus.Gone]: {
      on: {
        [PeerEventKind.Alive]: PeerStatus.Live,
        [PeerEventKind.Leaving]: PeerStatus.Leaving
      }
    }
  }
})

/** State of one peer machine. */
export type PeerSnapshot = SnapshotFrom<typeof peerMachine>

/** Initial snapshot: a listed host is assumed to be live. */
export const LIVE_SNAPSHOT: PeerSnapshot = getInitialSnapshot(peerMachine)

/**
 * Applies an event.
 *
 * @param snapshot - State before the event.
 * @param type - Kind of the event.
 * @returns State after the event.
 */
export function nextPeerSnapshot (snapshot: PeerSnapshot, type: PeerEventKind): PeerSnapshot {
  return transition(peerMachine, snapshot, { type })[0]
}

/**
 * Returns the status that a snapshot represents.
 *
 * @param snapshot - State of the machine.
 * @returns Status of the host.
 */
export function statusOf (snapshot: PeerSnapshot): PeerStatus {
  return snapshot.value as PeerStatus
}
