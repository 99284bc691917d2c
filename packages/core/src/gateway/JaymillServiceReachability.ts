import { OUT_OF_REACH_ENDPOINTS } from './constants.js'

interface ServiceState {
  /** Endpoints that could not be reached since the last response of the service. */
  readonly failedIds: Set<string>
  outOfReach: boolean
}

/**
 * Decides whether a host has lost its paths to a whole service: several endpoints in a row can't be reached, and none has responded
 * in between. A single endpoint that fails says nothing about the others.
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
   * Records that an endpoint could not be reached.
   *
   * @param service - Service of the endpoint.
   * @param endpointId - The endpoint.
   * @param endpoints - Number of endpoints in use that serve the same requests.
   * @returns Whether the service is out of reach from now on.
   */
  recordFailure (service: string, endpointId: string, endpoints: number): boolean {
    const state = this._services.get(service) ?? { failedIds: new Set(), outOfReach: false }
    this._services.set(service, state)
    state.failedIds.add(endpointId)
    if (state.outOfReach || state.failedIds.size < Math.min(OUT_OF_REACH_ENDPOINTS, endpoints)) return false
    state.outOfReach = true
    return true
  }

  /**
   * Records that an endpoint has responded.
   *
   * @param service - Service of the endpoint.
   * @returns Whether the service was out of reach until now.
   */
  recordResponse (service: string): boolean {
    const wasOutOfReach = this.isOutOfReach(service)
    this._services.delete(service)
    return wasOutOfReach
  }
}
