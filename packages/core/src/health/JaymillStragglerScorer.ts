import { EjectionState } from './JaymillEjection.js'
import { LatencyObservation } from './JaymillLatencyMeasure.js'
import { LatencySummary } from './JaymillLatencySummary.js'

/** Health of one endpoint as judged by a scorer. */
export interface EndpointHealth {
  readonly endpointId: string
  /** Share of work relative to a healthy endpoint, from 0 to 1; 0 while ejected. */
  readonly weight: number
  readonly state: EjectionState
  /** Latency relative to the median of the pool; 1 if they are equal. */
  readonly slowness: number
}

/** Detects stragglers among the endpoints of a pool. */
export abstract class StragglerScorer {
  /**
   * Records an observed latency.
   *
   * @param observation - Latency of a request of this host.
   * @param nowMs - Monotonic time in milliseconds.
   */
  abstract observe (observation: LatencyObservation, nowMs: number): void

  /**
   * Records that an endpoint failed a request or a probe.
   *
   * @param endpointId - The endpoint.
   */
  abstract recordFailure (endpointId: string): void

  /**
   * Ejects and restores endpoints of a pool and returns their health.
   *
   * @param pool - Ids of all endpoints of one pool.
   * @param nowMs - Monotonic time in milliseconds.
   * @returns Health per endpoint, in the order of the ids.
   */
  abstract health (pool: readonly string[], nowMs: number): readonly EndpointHealth[]

  /**
   * Builds the summary for peers.
   *
   * @param hostId - Id of this host.
   * @param seq - Sequence number, larger than that of any earlier summary.
   * @param nowMs - Monotonic time in milliseconds.
   * @returns Observations of this host for at most `MAX_SUMMARY_ENTRIES` endpoints, those that deviate most.
   */
  abstract summarize (hostId: string, seq: number, nowMs: number): LatencySummary

  /**
   * Merges the summary of a peer.
   *
   * @param summary - Observations of the peer.
   * @param nowMs - Monotonic time in milliseconds.
   */
  abstract merge (summary: LatencySummary, nowMs: number): void
}

/** Baseline that gives all endpoints the same weight. */
export class NoStragglerScorer extends StragglerScorer {
  /** {@inheritDoc StragglerScorer.observe} */
  observe (): void {}

  /** {@inheritDoc StragglerScorer.recordFailure} */
  recordFailure (): void {}

  /** {@inheritDoc StragglerScorer.health} */
  health (pool: readonly string[], _nowMs: number): readonly EndpointHealth[] {
    return pool.map(endpointId => ({ endpointId, weight: 1, state: EjectionState.Active, slowness: 1 }))
  }

  /** {@inheritDoc StragglerScorer.summarize} */
  summarize (hostId: string, seq: number): LatencySummary {
    return { hostId, seq, entries: [] }
  }

  /** {@inheritDoc StragglerScorer.merge} */
  merge (): void {}
}

/** Baseline that weights endpoints by their own load reports, which lag; busier endpoints get less weight. */
export class LaggingReportScorer extends NoStragglerScorer {
  private readonly _running = new Map<string, number>()

  /**
   * Records the load report of an endpoint.
   *
   * @param endpointId - The endpoint.
   * @param running - Number of running requests in the report.
   */
  recordLoadReport (endpointId: string, running: number): void {
    this._running.set(endpointId, running)
  }

  /** {@inheritDoc StragglerScorer.health} */
  override health (pool: readonly string[], nowMs: number): readonly EndpointHealth[] {
    const least = Math.min(...pool.map(id => this._running.get(id) ?? 0))
    const weight = (id: string): number => (1 + least) / (1 + (this._running.get(id) ?? 0))
    return super.health(pool, nowMs).map(health => ({ ...health, weight: weight(health.endpointId) }))
  }
}
