import { LatencyMeasure, LatencyObservation, LatencySummary, StragglerScorer } from '@jaymill/core'
import type { EventLoop } from './JaymillEventLoop.js'

/** Time between two latency summaries of a host, in milliseconds. */
export const SUMMARY_INTERVAL_MS = 1_000

const WEIGHT_REFRESH_MS = 250
const OBSERVE_EVERY_TOKENS = 4
const EXPECTED_INTER_TOKEN_MS = 31

/** Endpoint latencies observed by a simulated host, and the routing weights derived from them. */
export class FakeHealth {
  private readonly _loop: EventLoop
  private readonly _scorer: StragglerScorer
  private readonly _hostId: string
  private readonly _pools: ReadonlyArray<readonly string[]>
  private _weights: ReadonlyMap<string, number> = new Map()
  private _refreshedAtMs = Number.NEGATIVE_INFINITY

  /**
   * @param loop - Event loop of the run.
   * @param scorer - Scorer that detects stragglers.
   * @param hostId - Id of this host.
   * @param pools - Endpoint ids of each pool; endpoints are compared only within their pool.
   */
  constructor (loop: EventLoop, scorer: StragglerScorer, hostId: string, pools: ReadonlyArray<readonly string[]>) {
    this._loop = loop
    this._scorer = scorer
    this._hostId = hostId
    this._pools = pools
  }

  /**
   * Returns the routing weight of an endpoint; weights are recomputed at most every `WEIGHT_REFRESH_MS`.
   *
   * @param endpointId - Endpoint id.
   * @returns Routing weight; 1 for an endpoint without observations.
   */
  weight (endpointId: string): number {
    const nowMs = this._loop.nowMs
    if (nowMs - this._refreshedAtMs >= WEIGHT_REFRESH_MS) this._refresh(nowMs)
    return this._weights.get(endpointId) ?? 1
  }

  /**
   * Summarizes the observed latencies for the other hosts.
   *
   * @returns The summary.
   */
  summarize (): LatencySummary {
    return this._scorer.summarize(this._hostId, this._loop.nowMs, this._loop.nowMs)
  }

  /**
   * Merges the summary of another host.
   *
   * @param summary - Received summary.
   */
  merge (summary: LatencySummary): void {
    this._scorer.merge(summary, this._loop.nowMs)
  }

  /**
   * Records the latency of a prefill.
   *
   * @param endpointId - Prefill endpoint.
   * @param observedMs - Observed duration, in milliseconds.
   * @param expectedMs - Expected duration, in milliseconds.
   */
  observePrefill (endpointId: string, observedMs: number, expectedMs: number): void {
    this._observe({ endpointId, measure: LatencyMeasure.FirstToken, observedMs, expectedMs })
  }

  /**
   * Creates an observer of the inter-token latency of one request.
   *
   * @param endpointId - Decode endpoint.
   * @returns Function to call on each token.
   */
  newTokenObserver (endpointId: string): () => void {
    let tokens = 0
    let sinceMs = this._loop.nowMs
    return () => {
      tokens += 1
      if (tokens % OBSERVE_EVERY_TOKENS !== 0) return
      const observedMs = (this._loop.nowMs - sinceMs) / OBSERVE_EVERY_TOKENS
      sinceMs = this._loop.nowMs
      this._observe({ endpointId, measure: LatencyMeasure.InterToken, observedMs, expectedMs: EXPECTED_INTER_TOKEN_MS })
    }
  }

  private _observe (observation: LatencyObservation): void {
    this._scorer.observe(observation, this._loop.nowMs)
  }

  private _refresh (nowMs: number): void {
    this._refreshedAtMs = nowMs
    const health = this._pools.flatMap(pool => this._scorer.health(pool, nowMs))
    this._weights = new Map(health.map(({ endpointId, weight }) => [endpointId, weight]))
  }
}
