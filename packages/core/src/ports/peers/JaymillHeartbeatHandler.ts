import type { HostState } from '../../fleet/JaymillHostList.js'
import type { DocumentKey } from '../JaymillConfigSource.js'

/** Identifies the version of a published document that is active on a host. */
export interface DocumentVersion {
  readonly key: DocumentKey
  /** Revision that is active on the host. */
  readonly revision: number
  /** SHA-256 of the document's text, in hexadecimal. */
  readonly digest: string
}

/** Status of a host as gossiped between hosts. */
export enum PeerStatus {
  Live = 'live',
  Suspect = 'suspect',
  Leaving = 'leaving',
  Gone = 'gone'
}

/** Status change of one host. Updates are ordered by incarnation, sequence number and severity (as in SWIM). */
export interface PeerUpdate {
  readonly id: string
  readonly incarnation: number
  /** Heartbeat sequence number to which the status refers. */
  readonly seq: number
  readonly status: PeerStatus
}

/** Report that an endpoint is leaving. The expiry is relative, so the clocks of the hosts need not be synchronized. */
export interface LeavingReport {
  readonly endpointId: string
  /** Time until the report expires, in milliseconds; forwarding does not extend it. */
  readonly expiresInMs: number
}

/** Periodic message from one host to another; the response has the same format. */
export interface Heartbeat {
  readonly from: string
  readonly incarnation: number
  /** Increases with every heartbeat of one incarnation. */
  readonly seq: number
  readonly state: HostState
  /** Versions of the published documents that are active on the sender. */
  readonly documents: readonly DocumentVersion[]
  /** Recent status changes of other hosts; bounded. */
  readonly updates: readonly PeerUpdate[]
  /** Reports of endpoints that are leaving; bounded. */
  readonly leavingEndpoints: readonly LeavingReport[]
  /** Opaque health summary; bounded. */
  readonly health: string
}

/** Handles heartbeats of other hosts. */
export abstract class HeartbeatHandler {
  /**
   * Processes a heartbeat and responds with one.
   *
   * @param heartbeat - Validated heartbeat of another host.
   * @param signal - Aborted when the requesting host disconnects.
   * @returns Heartbeat of this host.
   */
  abstract heartbeat (heartbeat: Heartbeat, signal: AbortSignal): Promise<Heartbeat>
}
