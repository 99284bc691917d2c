/** State of a host in the published list. */
export enum HostState {
  Live = 'live',
  Leaving = 'leaving'
}

/** One host that runs the router. */
export interface HostEntry {
  readonly id: string
  readonly zone: string
  readonly region: string
  /** Base URL of the peer listener, with an IP address. */
  readonly peerUrl: string
  readonly state: HostState
  /** Name used to place keys. A replacement host with the same name does not move keys of other hosts. Default: the id. */
  readonly slot?: string
}

/** Declaration of the operator that no process started before a given time is still active. */
export interface ColdStart {
  /** Revision of the host list to which the declaration applies; it has no effect with other revisions. */
  readonly revision: number
  /** Time by which a majority of every earlier list had been stopped for at least the lease time, in wall-clock milliseconds. */
  readonly atMs: number
}

/** Host list from the configuration source; it may be outdated. */
export interface HostList {
  /** Increases with every change. */
  readonly revision: number
  readonly hosts: readonly HostEntry[]
  /** Ids of endpoints that are leaving. */
  readonly leavingEndpoints: readonly string[]
  /** Lets hosts accept non-idempotent work when too few hosts that know the earlier lists are left. */
  readonly coldStart?: ColdStart
}

/** Identity of a running host process. */
export interface HostIdentity {
  readonly id: string
  readonly zone: string
  readonly region: string
  /** Increases with every start of the process. */
  readonly incarnation: number
}
