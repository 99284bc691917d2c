import { PaceDigest, PaceMeasure, PaceObservation, StragglerScorer } from '@jaymill/core'
import type { EventLoop } from './JaymillEventLoop.js'

/** Time between two digests of a host, in milliseconds. */
export const DIGEST_EVERY_MS = 1_000

const WEIGHTS_MS = 250
const OBSERVE_EVERY_TOKENS = 4
const TARGET_STEP_MS = 31

/** What a fake host knows of the pace of endpoints. */
export class FakeHealth {
  private readonly _loop: EventLoop
  private readonly _scorer: StragglerScorer
  private readonly _hostId: string
  private readonly _pools: ReadonlyArray<readonly string[]>
  private _weights: ReadonlyMap<string, number> = new Map()
  private _atMs = Number.NEGATIVE_INFINITY

  constructor (loop: EventLoop, scorer: StragglerScorer, hostId: string, pools: ReadonlyArray<readonly string[]>) {
    this._loop = loop
    this._scorer = scorer
    this._hostId = hostId
    this._pools = pools
  }

  weight (endpointId: string): number {
    const nowMs = this._loop.nowMs
    if (nowMs - this._atMs >= WEIGHTS_MS) this._refresh(nowMs)
    return this._weights.get(endpointId) ?? 1
  }

  digest (): PaceDigest {
    return this._scorer.digest(this._hostId, this._loop.nowMs, this._loop.nowMs)
  }

  merge (digest: PaceDigest): void {
    this._scorer.merge(digest, this._loop.nowMs)
  }

  prefilled (endpointId: string, observedMs: number, expectedMs: number): void {
    this._observe({ endpointId, measure: PaceMeasure.FirstToken, observedMs, expectedMs })
  }

  /**
   * @param endpointId - Decode endpoint.
   * @returns Called on each token.
   */
  tokenWatch (endpointId: string): () => void {
    let tokens = 0
    let sinceMs = this._loop.nowMs
    return () => {
      tokens += 1
      if (tokens % OBSERVE_EVERY_TOKENS !== 0) return
      const observedMs = (this._loop.nowMs - sinceMs) / OBSERVE_EVERY_TOKENS
      sinceMs = this._loop.nowMs
      this._observe({ endpointId, measure: PaceMeasure.InterToken, observedMs, expectedMs: TARGET_STEP_MS })
    }
  }

  private _observe (observation: PaceObservation): void {
    this._scorer.observe(observation, this._loop.nowMs)
  }

  private _refresh (nowMs: number): void {
    this._atMs = nowMs
    const health = this._pools.flatMap(pool => this._scorer.health(pool, nowMs))
    this._weights = new Map(health.map(({ endpointId, weight }) => [endpointId, weight]))
  }
}
