import {
  Clock, EndpointHealth, EngineClient, FleetConfig, fleetIndex, HedgePolicy, HostIdentity, MOVE_BURST, ObservedPaceScorer, PercentileHedge,
  Quarantine, Random, RetryBudget, StragglerScorer
} from '@jaymill/core'
import type { Logger } from 'winston'
import { WEIGHTS_MS } from './constants.js'
import { decodeHealth, encodeHealth } from './JaymillHealthMessage.js'

/** What the health room needs of its host. */
export interface HostHealthParts {
  readonly clock: Clock
  readonly random: Random
  readonly log: Logger
  readonly identity: HostIdentity
  readonly engines: EngineClient
  /**
   * @returns The configuration in force.
   */
  readonly fleet: () => FleetConfig
}

interface CachedHealth {
  readonly atMs: number
  readonly byEndpoint: ReadonlyMap<string, EndpointHealth>
}

/** What a host knows of the health of endpoints, and what it shares of it with peers. */
export class HostHealth {
  readonly scorer: StragglerScorer = new ObservedPaceScorer()
  readonly quarantine = new Quarantine()
  readonly hedge: HedgePolicy = new PercentileHedge()
  readonly retries: RetryBudget
  /** Moves of answers to other endpoints. */
  readonly moves: RetryBudget
  private readonly _parts: HostHealthParts
  private readonly _cache = new Map<string, CachedHealth>()

  /**
   * @param parts - Parts of the host.
   */
  constructor (parts: HostHealthParts) {
    this._parts = parts
    this.retries = new RetryBudget(parts.random)
    this.moves = new RetryBudget(parts.random, MOVE_BURST)
  }

  /**
   * @param poolId - Pool of the configuration in force.
   * @returns Health by endpoint; at most `WEIGHTS_MS` old.
   */
  pool (poolId: string): ReadonlyMap<string, EndpointHealth> {
    const nowMs = this._parts.clock.nowMs()
    const cached = this._cache.get(poolId)
    if (cached !== undefined && nowMs - cached.atMs < WEIGHTS_MS) return cached.byEndpoint
    const ids = fleetIndex(this._parts.fleet()).pool(poolId).endpoints.map(({ id }) => id)
    const byEndpoint = new Map(this.scorer.health(ids, nowMs).map(health => [health.endpointId, health]))
    this._cache.set(poolId, { atMs: nowMs, byEndpoint })
    return byEndpoint
  }

  /**
   * @param poolId - Pool of the configuration in force.
   * @param endpointId - Endpoint of the pool.
   * @returns Share of work it should get, from 0 to 1; 0 while it is ejected.
   */
  weight (poolId: string, endpointId: string): number {
    return this.pool(poolId).get(endpointId)?.weight ?? 1
  }

  /**
   * Asks on a new connection whether an endpoint lives, after a call to it broke or went silent. A dead one makes all
   * that this host ran there suspect.
   *
   * @param endpointId - The endpoint.
   * @param url - Its base URL.
   * @param signal - Gives up.
   * @returns Whether it answered.
   */
  async probe (endpointId: string, url: string, signal: AbortSignal): Promise<boolean> {
    this.scorer.failed(endpointId)
    const alive = await this._parts.engines.probe(url, signal)
    signal.throwIfAborted()
    if (!alive) this.died(endpointId)
    return alive
  }

  /**
   * Notes that an endpoint died or lost what it ran.
   *
   * @param endpointId - The endpoint.
   */
  died (endpointId: string): void {
    this.quarantine.died(endpointId, this._parts.clock.nowMs())
    this._parts.log.warn('endpoint died', { endpointId })
  }

  /**
   * @returns The field of a heartbeat that carries health; bounded.
   */
  digest (): string {
    const nowMs = this._parts.clock.nowMs()
    const pace = this.scorer.digest(this._parts.identity.id, Math.floor(this._parts.clock.wallMs()), nowMs)
    return encodeHealth({ pace, quarantine: this.quarantine.digest(nowMs) })
  }

  /**
   * Takes in the field of a peer's heartbeat; anything unreadable is ignored.
   *
   * @param text - The field.
   */
  merge (text: string): void {
    const message = decodeHealth(text)
    if (message === undefined) return
    this.scorer.merge(message.pace, this._parts.clock.nowMs())
    this.quarantine.merge(message.quarantine, this._parts.clock.nowMs())
  }
}
