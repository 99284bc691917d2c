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
}

/** Host list as the platform publishes it; it may be late. */
export interface HostList {
  /** Rises with every change. */
  readonly revision: number
  readonly hosts: readonly HostEntry[]
  /** Ids of endpoints that are leaving. */
  readonly leavingEndpoints: readonly string[]
}

/** Identity of a running host process. */
export interface HostIdentity {
  readonly id: string
  readonly zone: string
  readonly region: string
  /** Larger after every start of the process. */
  readonly incarnation: number
}
