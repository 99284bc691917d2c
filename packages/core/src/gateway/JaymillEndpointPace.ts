import { PACE_WEIGHT } from './constants.js'

/** Time that a unit of work takes at each endpoint, as measured on this host's own calls (exponentially weighted mean). */
export class EndpointPace {
  private readonly _unitMs = new Map<string, number>()

  /**
   * @param endpointId - Endpoint that did the work.
   * @param units - Units that it did, work of others that it did first included; greater than 0.
   * @param ms - Time that it took, in milliseconds.
   */
  note (endpointId: string, units: number, ms: number): void {
    const measured = ms / units
    const before = this._unitMs.get(endpointId) ?? measured
    this._unitMs.set(endpointId, before + (measured - before) * PACE_WEIGHT)
  }

  /**
   * @param endpointId - An endpoint.
   * @param initialMs - Value for an endpoint without a measurement, in milliseconds.
   * @returns Time for one unit, in milliseconds.
   */
  unitMs (endpointId: string, initialMs: number): number {
    return this._unitMs.get(endpointId) ?? initialMs
  }

  /**
   * @param endpointId - Endpoint that is no longer published.
   */
  forget (endpointId: string): void {
    this._unitMs.delete(endpointId)
  }
}
