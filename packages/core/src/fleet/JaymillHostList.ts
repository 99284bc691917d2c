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
  /**
   * Name used to place keys by rendezvous hashing. A replacement host with the same name does not move the keys of other hosts.
   * Default: the id.
   */
  readonly slot?: string
}

/** Declaration of the operator that no host acts under an earlier host list any longer. */
export interface ColdStart {
  /** Revision of the host list to which the declaration applies; it has no effect with other revisions. */
  readonly revision: number
  /**
   * Time by which a majority of the hosts of every earlier list had been stopped for at least the lease time, in wall-clock
   * milliseconds.
   */
  readonly atMs: number
}

/** Host list from the configuration source; it may be outdated. */
export interface HostList {
  /** Increases with every change. */
  readonly revision: number
  readonly hosts: readonly HostEntry[]
  /** Ids of endpoints that are leaving. */
  readonly leavingEndpoints: readonly string[]
  /** Lets hosts accept non-idempotent work when too few hosts that have a record of the earlier lists remain. */
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
