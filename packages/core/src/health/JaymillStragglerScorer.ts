import { EjectionState } from './JaymillEjection.js'
import { PaceDigest } from './JaymillHealthDigest.js'
import { PaceObservation } from './JaymillPaceMeasure.js'

/** What the scorer makes of one endpoint. */
export interface EndpointHealth {
  readonly endpointId: string
  /** Share of work relative to a healthy endpoint, from 0 to 1; 0 while ejected. */
  readonly weight: number
  readonly state: EjectionState
  /** Slowness against the pool's median; 1 when it is as fast. */
  readonly slowness: number
}

/** Judges which endpoints of a pool are stragglers. */
export abstract class StragglerScorer {
  /**
   * @param observation - A time of an own request.
   * @param nowMs - Monotonic time in milliseconds.
   */
  abstract observe (observation: PaceObservation, nowMs: number): void

  /**
   * Notes that an endpoint failed a request or a probe.
   *
   * @param endpointId - The endpoint.
   */
  abstract failed (endpointId: string): void

  /**
   * @param pool - Ids of all endpoints of one pool.
   * @param nowMs - Monotonic time in milliseconds.
   * @returns Health by endpoint, in the order of the ids.
   */
  abstract health (pool: readonly string[], nowMs: number): readonly EndpointHealth[]

  /**
   * @param hostId - This host.
   * @param seq - Larger than in each digest before.
   * @param nowMs - Monotonic time in milliseconds.
   * @returns Own observations of endpoints that stand out, bounded.
   */
  abstract digest (hostId: string, seq: number, nowMs: number): PaceDigest

  /**
   * @param digest - Observations of a peer.
   * @param nowMs - Monotonic time in milliseconds.
   */
  abstract merge (digest: PaceDigest, nowMs: number): void
}

/** Baseline: all endpoints count alike. */
export class NoStragglerScorer extends StragglerScorer {
  /** {@inheritDoc StragglerScorer.observe} */
  observe (): void {}

  /** {@inheritDoc StragglerScorer.failed} */
  failed (): void {}

  /** {@inheritDoc StragglerScorer.health} */
  health (pool: readonly string[], _nowMs: number): readonly EndpointHealth[] {
    return pool.map(endpointId => ({ endpointId, weight: 1, state: EjectionState.Active, slowness: 1 }))
  }

  /** {@inheritDoc StragglerScorer.digest} */
  digest (hostId: string, seq: number): PaceDigest {
    return { hostId, seq, entries: [] }
  }

  /** {@inheritDoc StragglerScorer.merge} */
  merge (): void {}
}

/** Baseline: less weight for what the endpoints' own lagging load reports call busy. */
export class LaggingReportScorer extends NoStragglerScorer {
  private readonly _running = new Map<string, number>()

  /**
   * @param endpointId - The endpoint.
   * @param running - Requests that its last report names.
   */
  reported (endpointId: string, running: number): void {
    this._running.set(endpointId, running)
  }

  /** {@inheritDoc StragglerScorer.health} */
  override health (pool: readonly string[], nowMs: number): readonly EndpointHealth[] {
    const least = Math.min(...pool.map(id => this._running.get(id) ?? 0))
    const weight = (id: string): number => (1 + least) / (1 + (this._running.get(id) ?? 0))
    return super.health(pool, nowMs).map(health => ({ ...health, weight: weight(health.endpointId) }))
  }
}
