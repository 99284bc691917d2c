import { PACE_KEPT, PACE_MIN_SPREAD } from './constants.js'

/** Decayed sums of a linear fit of time over work. */
interface Fit {
  n: number
  x: number
  y: number
  xx: number
  xy: number
}

/** Time that work takes at each endpoint, as measured on this host's own calls: a fixed part and a part for each unit. */
export class EndpointPace {
  private readonly _fits = new Map<string, Fit>()

  /**
   * @param endpointId - Endpoint that did the work.
   * @param units - Units that it did, work of others that it did first included.
   * @param ms - Time that it took, in milliseconds.
   */
  note (endpointId: string, units: number, ms: number): void {
    const before = this._fits.get(endpointId) ?? { n: 0, x: 0, y: 0, xx: 0, xy: 0 }
    this._fits.set(endpointId, {
      n: before.n * PACE_KEPT + 1,
      x: before.x * PACE_KEPT + units,
      y: before.y * PACE_KEPT + ms,
      xx: before.xx * PACE_KEPT + units * units,
      xy: before.xy * PACE_KEPT + units * ms
    })
  }

  /**
   * @param endpointId - An endpoint.
   * @param units - Work, in units.
   * @param initialMs - Time for one unit at an endpoint without a measurement, in milliseconds.
   * @returns Time that the work takes, in milliseconds.
   */
  expectedMs (endpointId: string, units: number, initialMs: number): number {
    const line = this._line(endpointId)
    return line === undefined ? units * initialMs : Math.max(0, line.fixedMs + units * line.unitMs)
  }

  /**
   * @param endpointId - An endpoint.
   * @param initialMs - Time for one unit at an endpoint without a measurement, in milliseconds.
   * @returns Time for one more unit, in milliseconds.
   */
  unitMs (endpointId: string, initialMs: number): number {
    const unitMs = this._line(endpointId)?.unitMs ?? initialMs
    return unitMs > 0 ? unitMs : initialMs
  }

  /**
   * @param endpointId - Endpoint that is no longer published.
   */
  forget (endpointId: string): void {
    this._fits.delete(endpointId)
  }

  /** Least squares; through the origin while the measurements are too alike to tell the parts apart. */
  private _line (endpointId: string): { fixedMs: number, unitMs: number } | undefined {
    const fit = this._fits.get(endpointId)
    if (fit === undefined || fit.x === 0) return undefined
    const mean = fit.x / fit.n
    const variance = fit.xx / fit.n - mean * mean
    if (variance < (mean * PACE_MIN_SPREAD) ** 2) return { fixedMs: 0, unitMs: fit.y / fit.x }
    const slope = (fit.xy / fit.n - mean * (fit.y / fit.n)) / variance
    const unitMs = Math.max(0, slope)
    return { fixedMs: Math.max(0, fit.y / fit.n - unitMs * mean), unitMs }
  }
}
