/** State of a host in the published list. */
export enum HostState {
  Live = 'live',
  Leaving = 'leaving'
}

/** One entry host of the system. */
export interface HostEntry {
  readonly id: string
  readonly zone: string
  readonly region: string
  /** Base URL of the peer listener, with an IP number. */
  readonly peerUrl: string
  readonly state: HostState
  /** Name by which keys are placed; a replacement that takes over the name moves no other host's keys. Default: the id. */
  readonly slot?: string
}

/** Operator's declaration that nothing acts any more that was started before a time. */
export interface ColdStart {
  /** Revision of the list that the declaration belongs to; it has no effect under other revisions. */
  readonly revision: number
  /** Time by which a majority of every earlier list had been stopped for the lease time, in wall-clock milliseconds. */
  readonly atMs: number
}

/** Host list as the platform publishes it; it may be late. */
export interface HostList {
  /** Rises with every change. */
  readonly revision: number
  readonly hosts: readonly HostEntry[]
  /** Ids of endpoints that are leaving. */
  readonly leavingEndpoints: readonly string[]
  /** Lets hosts take up non-idempotent work where too few are left that know the earlier lists. */
  readonly coldStart?: ColdStart
}

/** Identity of a running host process. */
export interface HostIdentity {
  readonly id: string
  readonly zone: string
  readonly region: string
  /** Larger after every start of the process. */
  readonly incarnation: number
}
