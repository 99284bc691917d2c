import {
  Clock, EndpointHealth, EngineClient, FleetConfig, fleetIndex, HedgePolicy, HostIdentity, LatencyRatioScorer, MOVE_BURST,
  PercentileHedge, Quarantine, Random, RetryBudget, StragglerScorer
} from '@jaymill/core'
import type { Logger } from 'winston'
import { WEIGHT_CACHE_MS } from './constants.js'
import { decodeHealth, encodeHealth } from './JaymillHealthMessage.js'

/** Components of the host that `HostHealth` uses. */
export interface HostHealthOptions {
  readonly clock: Clock
  readonly random: Random
  readonly log: Logger
  readonly identity: HostIdentity
  readonly engines: EngineClient
  /**
   * @returns The active fleet configuration.
   */
  readonly fleet: () => FleetConfig
}

interface CachedHealth {
  readonly atMs: number
  readonly byEndpoint: ReadonlyMap<string, EndpointHealth>
}

/** Endpoint health as measured by a host and shared with its peers, and the budgets for retries, hedges and moves. */
export class HostHealth {
  readonly scorer: StragglerScorer = new LatencyRatioScorer()
  readonly quarantine = new Quarantine()
  readonly hedge: HedgePolicy = new PercentileHedge()
  readonly retries: RetryBudget
  /** Budget for moving running completions to other endpoints. */
  readonly moves: RetryBudget
  private readonly _options: HostHealthOptions
  private readonly _cache = new Map<string, CachedHealth>()

  /**
   * @param options - Components of the host.
   */
  constructor (options: HostHealthOptions) {
    this._options = options
    this.retries = new RetryBudget(options.random)
    this.moves = new RetryBudget(options.random, MOVE_BURST)
  }

  /**
   * Returns the health of the endpoints of a pool.
   *
   * @param poolId - Pool of the active configuration.
   * @returns Health by endpoint; at most `WEIGHT_CACHE_MS` old.
   */
  pool (poolId: string): ReadonlyMap<string, EndpointHealth> {
    const nowMs = this._options.clock.nowMs()
    const cached = this._cache.get(poolId)
    if (cached !== undefined && nowMs - cached.atMs < WEIGHT_CACHE_MS) return cached.byEndpoint
    const ids = fleetIndex(this._options.fleet()).pool(poolId).endpoints.map(({ id }) => id)
    const byEndpoint = new Map(this.scorer.health(ids, nowMs).map(health => [health.endpointId, health]))
    this._cache.set(poolId, { atMs: nowMs, byEndpoint })
    return byEndpoint
  }

  /**
   * Returns the weight of an endpoint.
   *
   * @param poolId - Pool of the active configuration.
   * @param endpointId - Endpoint of the pool.
   * @returns Share of work it should get, from 0 to 1; 0 while it is ejected.
   */
  weight (poolId: string, endpointId: string): number {
    return this.pool(poolId).get(endpointId)?.weight ?? 1
  }

  /**
   * Checks on a new connection whether an endpoint is alive, after a call to it failed or stalled. If it does not respond, all
   * requests that this host was running on it become suspect.
   *
   * @param endpointId - Id of the endpoint.
   * @param url - Its base URL.
   * @param signal - Cancels the probe.
   * @returns Whether it responded.
   */
  async probe (endpointId: string, url: string, signal: AbortSignal): Promise<boolean> {
    this.scorer.recordFailure(endpointId)
    const alive = await this._options.engines.probe(url, signal)
    signal.throwIfAborted()
    if (!alive) this.recordCrash(endpointId)
    return alive
  }

  /**
   * Records that an endpoint crashed or lost the requests it was running.
   *
   * @param endpointId - Id of the endpoint.
   */
  recordCrash (endpointId: string): void {
    this.quarantine.recordCrash(endpointId, this._options.clock.nowMs())
    this._options.log.warn('endpoint died', { endpointId })
  }

  /**
   * Encodes the health summary for peers.
   *
   * @returns Health field of a heartbeat, at most `MAX_HEALTH_SUMMARY_CHARS` long.
   */
  summarize (): string {
    const nowMs = this._options.clock.nowMs()
    const pace = this.scorer.summarize(this._options.identity.id, Math.floor(this._options.clock.wallMs()), nowMs)
    return encodeHealth({ pace, quarantine: this.quarantine.summarize(nowMs) })
  }

  /**
   * Merges the health field of a peer's heartbeat; ignores malformed content.
   *
   * @param text - Health field.
   */
  merge (text: string): void {
    const message = decodeHealth(text)
    if (message === undefined) return
    this.scorer.merge(message.pace, this._options.clock.nowMs())
    this.quarantine.merge(message.quarantine, this._options.clock.nowMs())
  }
}
