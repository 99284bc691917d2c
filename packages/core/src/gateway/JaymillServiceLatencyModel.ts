import {
  LATENCY_FACTOR_DECAY_MS, LATENCY_FACTOR_MAX, LATENCY_FACTOR_MIN, LATENCY_FACTOR_PRIOR_CALLS, REPORTED_FACTOR_DEVIATION, REPORTED_FACTOR_MIN_CALLS
} from './constants.js'
import { EndpointLatencyModel } from './JaymillEndpointLatencyModel.js'

/** Decayed sums of how long the calls of an endpoint took, relative to the expectation for its group. */
interface FactorSums {
  readonly calls: number
  readonly factors: number
  readonly atMs: number
}

/** How long the calls of an endpoint took, relative to those of its group, as one host or several have measured. */
export interface FactorShare {
  readonly endpointId: string
  /** Number of calls, of which older ones count less. */
  readonly calls: number
  /** Sum of their factors. */
  readonly factors: number
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
 * notice that an endpoint is slow, and the factor returns to 1 with time, so that an endpoint that was slow is tried again. Factors
 * that other hosts report count like own calls.
 */
export class ServiceLatencyModel {
  private readonly _groups = new EndpointLatencyModel()
  private readonly _factors = new Map<string, FactorSums>()
  /** Factors reported by each source, by endpoint. */
  private readonly _reported = new Map<string, ReadonlyMap<string, FactorShare>>()
  /** Sums over all sources, by endpoint. */
  private _reportedTotals: ReadonlyMap<string, FactorShare> = new Map()

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
    if (expectedMs > 0) this.addFactor(endpointId, ms / expectedMs, nowMs)
  }

  /**
   * Adds what an endpoint has reported about its speed.
   *
   * @param endpointId - The endpoint.
   * @param factor - Duration of its work relative to that of similar endpoints.
   * @param nowMs - Monotonic time in milliseconds.
   */
  addFactor (endpointId: string, factor: number, nowMs: number): void {
    const { calls, factors } = this._decayed(endpointId, nowMs)
    const bounded = Math.min(LATENCY_FACTOR_MAX, Math.max(LATENCY_FACTOR_MIN, factor))
    this._factors.set(endpointId, { calls: calls + 1, factors: factors + bounded, atMs: nowMs })
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
    const { calls, factors } = plus(this._ownShare(endpointId, nowMs), this._reportedTotals.get(endpointId))
    return (factors + LATENCY_FACTOR_PRIOR_CALLS) / (calls + LATENCY_FACTOR_PRIOR_CALLS)
  }

  /**
   * Adds up what this host has measured and some reports.
   *
   * @param sources - Sources of the reports.
   * @param nowMs - Monotonic time in milliseconds.
   * @returns Factors of the endpoints that differ from their group.
   */
  shares (sources: readonly string[], nowMs: number): readonly FactorShare[] {
    const own = [...this._factors.keys()].map(endpointId => this._ownShare(endpointId, nowMs))
    return [...totalsOf([own, ...sources.map(source => [...this._reported.get(source)?.values() ?? []])]).values()].filter(differs)
  }

  /**
   * Replaces the factors reported by another host, or by a relay for several hosts.
   *
   * @param source - Source of the report.
   * @param shares - All factors that it reports.
   */
  update (source: string, shares: readonly FactorShare[]): void {
    if (shares.length === 0 && !this._reported.has(source)) return
    if (shares.length === 0) this._reported.delete(source)
    else this._reported.set(source, new Map(shares.map(share => [share.endpointId, share])))
    this._reportedTotals = totalsOf([...this._reported.values()].map(reported => [...reported.values()]))
  }

  /**
   * Removes the measurements of an endpoint.
   *
   * @param endpointId - Endpoint that is no longer published.
   */
  forget (endpointId: string): void {
    this._factors.delete(endpointId)
  }

  private _ownShare (endpointId: string, nowMs: number): FactorShare {
    const { calls, factors } = this._decayed(endpointId, nowMs)
    return { endpointId, calls, factors }
  }

  private _decayed (endpointId: string, nowMs: number): FactorSums {
    const sums = this._factors.get(endpointId)
    if (sums === undefined) return { calls: 0, factors: 0, atMs: nowMs }
    const decay = Math.exp((sums.atMs - nowMs) / LATENCY_FACTOR_DECAY_MS)
    return { calls: sums.calls * decay, factors: sums.factors * decay, atMs: nowMs }
  }
}

function totalsOf (reports: ReadonlyArray<readonly FactorShare[]>): ReadonlyMap<string, FactorShare> {
  const totals = new Map<string, FactorShare>()
  reports.flat().forEach(share => totals.set(share.endpointId, plus(share, totals.get(share.endpointId))))
  return totals
}

function plus ({ endpointId, calls, factors }: FactorShare, other: FactorShare | undefined): FactorShare {
  return { endpointId, calls: calls + (other?.calls ?? 0), factors: factors + (other?.factors ?? 0) }
}

function differs ({ calls, factors }: FactorShare): boolean {
  return calls >= REPORTED_FACTOR_MIN_CALLS && Math.abs(factors / calls - 1) > REPORTED_FACTOR_DEVIATION
}
