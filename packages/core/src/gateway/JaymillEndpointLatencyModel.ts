import { LATENCY_DECAY, LATENCY_MIN_SPREAD } from './constants.js'

/** Exponentially decayed sums for a linear fit of time over work. */
interface FitSums {
  n: number
  x: number
  y: number
  xx: number
  xy: number
}

/** Estimates the latency of each endpoint from this host's own calls, as a fixed time plus a time per unit of work. */
export class EndpointLatencyModel {
  private readonly _sums = new Map<string, FitSums>()

  /**
   * Adds one measurement.
   *
   * @param endpointId - Endpoint that did the work.
   * @param units - Units of work, including those queued ahead of the call.
   * @param ms - Duration, in milliseconds.
   */
  addMeasurement (endpointId: string, units: number, ms: number): void {
    const before = this._sums.get(endpointId) ?? { n: 0, x: 0, y: 0, xx: 0, xy: 0 }
    this._sums.set(endpointId, {
      n: before.n * LATENCY_DECAY + 1,
      x: before.x * LATENCY_DECAY + units,
      y: before.y * LATENCY_DECAY + ms,
      xx: before.xx * LATENCY_DECAY + units * units,
      xy: before.xy * LATENCY_DECAY + units * ms
    })
  }

  /**
   * @param endpointId - An endpoint.
   * @param units - Units of work.
   * @param initialUnitMs - Time per unit at an endpoint without measurements, in milliseconds.
   * @returns Expected duration of the work, in milliseconds.
   */
  expectedMs (endpointId: string, units: number, initialUnitMs: number): number {
    const coefficients = this._coefficients(endpointId)
    return coefficients === undefined ? units * initialUnitMs : Math.max(0, coefficients.fixedMs + units * coefficients.unitMs)
  }

  /**
   * @param endpointId - An endpoint.
   * @param initialUnitMs - Time per unit at an endpoint without measurements, in milliseconds.
   * @returns Expected time per unit of work, in milliseconds.
   */
  unitMs (endpointId: string, initialUnitMs: number): number {
    const unitMs = this._coefficients(endpointId)?.unitMs ?? initialUnitMs
    return unitMs > 0 ? unitMs : initialUnitMs
  }

  /**
   * Removes the measurements of an endpoint.
   *
   * @param endpointId - Endpoint that is no longer published.
   */
  forget (endpointId: string): void {
    this._sums.delete(endpointId)
  }

  /** Least-squares fit; a line through the origin while the measurements vary too little to separate the two parts. */
  private _coefficients (endpointId: string): { fixedMs: number, unitMs: number } | undefined {
    const sums = this._sums.get(endpointId)
    if (sums === undefined || sums.x === 0) return undefined
    const mean = sums.x / sums.n
    const variance = sums.xx / sums.n - mean * mean
    if (variance < (mean * LATENCY_MIN_SPREAD) ** 2) return { fixedMs: 0, unitMs: sums.y / sums.x }
    const slope = (sums.xy / sums.n - mean * (sums.y / sums.n)) / variance
    const unitMs = Math.max(0, slope)
    return { fixedMs: Math.max(0, sums.y / sums.n - unitMs * mean), unitMs }
  }
}
