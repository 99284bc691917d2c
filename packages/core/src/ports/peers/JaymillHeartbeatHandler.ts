import type { HostState } from '../../fleet/JaymillHostList.js'
import type { PlatformKey } from '../JaymillPlatformReader.js'

/** What a host knows of one published document, without the document. */
export interface DocumentMark {
  readonly key: PlatformKey
  /** Highest revision in force on the host. */
  readonly revision: number
  /** SHA-256 of the document's text, in hexadecimal. */
  readonly digest: string
}

/** State of another host that a host passes on. */
export enum PeerStatus {
  Live = 'live',
  Suspect = 'suspect',
  Leaving = 'leaving',
  Gone = 'gone'
}

/** Change of one host's state, ordered by incarnation, sequence number and severity (as in SWIM). */
export interface PeerUpdate {
  readonly id: string
  readonly incarnation: number
  /** Heartbeat sequence number that the state refers to. */
  readonly seq: number
  readonly status: PeerStatus
}

/** Report that an endpoint is leaving; ages are relative, so clocks need not agree. */
export interface LeavingMark {
  readonly endpointId: string
  /** Time until the report lapses, in milliseconds; never extended by passing it on. */
  readonly expiresInMs: number
}

/** Periodic message from one host to another; the answer has the same shape. */
export interface Heartbeat {
  readonly from: string
  readonly incarnation: number
  /** Rises with every heartbeat of one incarnation. */
  readonly seq: number
  readonly state: HostState
  /** Marks of the published documents in force on the sender. */
  readonly documents: readonly DocumentMark[]
  /** Recent changes of other hosts' states; bounded. */
  readonly updates: readonly PeerUpdate[]
  /** Endpoints that the sender knows to be leaving; bounded. */
  readonly leavingEndpoints: readonly LeavingMark[]
  /** Opaque health digest; bounded. */
  readonly health: string
}

/** Answers heartbeats of other hosts. */
export abstract class HeartbeatHandler {
  /**
   * @param beat - Checked heartbeat of another host.
   * @param signal - Aborts when the caller has gone.
   * @returns This host's own heartbeat.
   */
  abstract heartbeat (beat: Heartbeat, signal: AbortSignal): Promise<Heartbeat>
}
