import { CONNECT_FAILURE_MEMORY_MS, DOUBTFUL_ENDPOINTS, OUT_OF_REACH_CONNECT_FAILURES, OUT_OF_REACH_ENDPOINTS } from './constants.js'

/** What a failed call shows about the paths to its service. */
export enum PathEvidence {
  /** Nothing new. */
  None = 'none',
  /** Several endpoints accept no new connections, although others may respond over open ones: new connections to others would tell. */
  Doubt = 'doubt',
  /** The host has lost its paths. */
  Loss = 'loss'
}

/** A call that failed without a response. */
export interface FailedCall {
  readonly service: string
  readonly endpointId: string
  /** Whether no connection could be made. */
  readonly connecting: boolean
  /** Number of endpoints in use that serve the same requests. */
  readonly alike: number
  /** Number of endpoints in use of the whole service. */
  readonly endpoints: number
}

interface ServiceState {
  /** Endpoints that could not be reached since the last response of the service. */
  readonly failedIds: Set<string>
  /** Times at which endpoints accepted no connection, by id, since a response over a new connection, in milliseconds. */
  readonly connectFailedMs: Map<string, number>
  outOfReach: boolean
}

/**
 * Decides whether a host has lost its paths to a whole service. Either several endpoints in a row can't be reached, and none has
 * responded in between; or more of them accept no new connection, and no other one does. Responses over open connections don't
 * count against the latter: these may live on while new ones are refused. A single endpoint that fails says nothing about the others.
 */
export class ServiceReachability {
  private readonly _services = new Map<string, ServiceState>()

  /** Services that are out of reach. */
  get outOfReach (): readonly string[] {
    return [...this._services].filter(([, state]) => state.outOfReach).map(([service]) => service)
  }

  /**
   * @param service - Name of a service.
   * @returns Whether the host has lost its paths to the endpoints of the service.
   */
  isOutOfReach (service: string): boolean {
    return this._services.get(service)?.outOfReach === true
  }

  /**
   * @param service - Name of a service.
   * @returns Endpoints that have accepted no connection of late.
   */
  refusing (service: string): readonly string[] {
    return [...this._services.get(service)?.connectFailedMs.keys() ?? []]
  }

  /**
   * Records that an endpoint could not be reached.
   *
   * @param call - The call.
   * @param nowMs - Monotonic time in milliseconds.
   * @returns What it shows.
   */
  recordFailure ({ service, endpointId, connecting, alike, endpoints }: FailedCall, nowMs: number): PathEvidence {
    const state = this._services.get(service) ?? { failedIds: new Set(), connectFailedMs: new Map(), outOfReach: false }
    this._services.set(service, state)
    state.failedIds.add(endpointId)
    if (connecting) state.connectFailedMs.set(endpointId, nowMs)
    state.connectFailedMs.forEach((ms, id) => { if (nowMs - ms > CONNECT_FAILURE_MEMORY_MS) state.connectFailedMs.delete(id) })
    if (state.outOfReach) return PathEvidence.None
    const refusing = state.connectFailedMs.size
    state.outOfReach = state.failedIds.size >= Math.min(OUT_OF_REACH_ENDPOINTS, alike) || refusing >= Math.min(OUT_OF_REACH_CONNECT_FAILURES, endpoints)
    if (state.outOfReach) return PathEvidence.Loss
    return refusing >= DOUBTFUL_ENDPOINTS ? PathEvidence.Doubt : PathEvidence.None
  }

  /**
   * Records that an endpoint has responded. While the service is out of reach, only a response over a new connection counts.
   *
   * @param service - Service of the endpoint.
   * @param newConnection - Whether the connection was made for this call.
   * @returns Whether the service was out of reach until now.
   */
  recordResponse (service: string, newConnection: boolean): boolean {
    const wasOutOfReach = this.isOutOfReach(service)
    if (newConnection) this._services.delete(service)
    else if (!wasOutOfReach) this._services.get(service)?.failedIds.clear()
    return wasOutOfReach && newConnection
  }
}
