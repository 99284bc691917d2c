import { LATENCY_FACTOR_DECAY_MS, LATENCY_FACTOR_MAX, LATENCY_FACTOR_MIN, LATENCY_FACTOR_PRIOR_CALLS } from './constants.js'
import { EndpointLatencyModel } from './JaymillEndpointLatencyModel.js'

/** Decayed sums of how long the calls of an endpoint took, relative to the expectation for its group. */
interface FactorSums {
  readonly calls: number
  readonly factors: number
  readonly atMs: number
}

/** One kind of work at one endpoint. */
export interface LatencyKey {
  /** Name of the endpoints that do the same kind of work, such as the prefill engines of a service. */
  readonly group: string
  readonly endpointId: string
}

/**
 * Estimates the latency of endpoints from this host's own calls: a fit over the calls to all endpoints of a group, times a factor
 * for each endpoint. A host of a large fleet sees few calls of each endpoint, but enough of the group; one call is enough to
 * notice that an endpoint is slow, and the factor returns to 1 with time, so that an endpoint that was slow is tried again.
 */
export class ServiceLatencyModel {
  private readonly _groups = new EndpointLatencyModel()
  private readonly _factors = new Map<string, FactorSums>()

  /**
   * Adds one measurement.
   *
   * @param key - Endpoint and kind of work.
   * @param units - Units of work, including those queued ahead of the call.
   * @param ms - Duration, in milliseconds.
   * @param nowMs - Monotonic time in milliseconds.
   */
  addMeasurement ({ group, endpointId }: LatencyKey, units: number, ms: number, nowMs: number): void {
    const expectedMs = this._groups.expectedMs(group, units, 0)
    this._groups.addMeasurement(group, units, ms)
    if (expectedMs <= 0) return
    const { calls, factors } = this._decayed(endpointId, nowMs)
    const factor = Math.min(LATENCY_FACTOR_MAX, Math.max(LATENCY_FACTOR_MIN, ms / expectedMs))
    this._factors.set(endpointId, { calls: calls + 1, factors: factors + factor, atMs: nowMs })
  }

  /**
   * @param key - Endpoint and kind of work.
   * @param units - Units of work.
   * @param initialUnitMs - Time per unit in a group without measurements, in milliseconds.
   * @param nowMs - Monotonic time in milliseconds.
   * @returns Expected duration of the work, in milliseconds.
   */
  expectedMs ({ group, endpointId }: LatencyKey, units: number, initialUnitMs: number, nowMs: number): number {
    return this._groups.expectedMs(group, units, initialUnitMs) * this.factor(endpointId, nowMs)
  }

  /**
   * @param key - Endpoint and kind of work.
   * @param initialUnitMs - Time per unit in a group without measurements, in milliseconds.
   * @param nowMs - Monotonic time in milliseconds.
   * @returns Expected time per unit of work, without the fixed time of a call, in milliseconds.
   */
  unitMs ({ group, endpointId }: LatencyKey, initialUnitMs: number, nowMs: number): number {
    return this._groups.unitMs(group, initialUnitMs) * this.factor(endpointId, nowMs)
  }

  /**
   * @param endpointId - An endpoint.
   * @param nowMs - Monotonic time in milliseconds.
   * @returns How long its calls take relative to those of its group; 1 without recent calls.
   */
  factor (endpointId: string, nowMs: number): number {
    const { calls, factors } = this._decayed(endpointId, nowMs)
    return (factors + LATENCY_FACTOR_PRIOR_CALLS) / (calls + LATENCY_FACTOR_PRIOR_CALLS)
  }

  /**
   * Removes the measurements of an endpoint.
   *
   * @param endpointId - Endpoint that is no longer published.
   */
  forget (endpointId: string): void {
    this._factors.delete(endpointId)
  }

  private _decayed (endpointId: string, nowMs: number): FactorSums {
    const sums = this._factors.get(endpointId)
    if (sums === undefined) return { calls: 0, factors: 0, atMs: nowMs }
    const decay = Math.exp((sums.atMs - nowMs) / LATENCY_FACTOR_DECAY_MS)
    return { calls: sums.calls * decay, factors: sums.factors * decay, atMs: nowMs }
  }
}
