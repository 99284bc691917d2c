import { BALANCE_GAIN, BALANCE_MIN_USE, BALANCE_PAUSE_MS, BALANCE_SETTLE_MS, BALANCE_SMOOTH_MS, BALANCE_WARM_MS, PREFILL_USE_WEIGHT } from './constants.js'
import { EngineStage } from './JaymillEndpointRecord.js'

/** One engine of a split pool, as the balance sees it. */
export interface BalancedEngine {
  readonly id: string
  readonly stage: EngineStage
  /** Work under way there, in tokens. */
  readonly tokens: number
  /** Time for one prompt token, in milliseconds. */
  readonly tokenMs: number
}

/** What the pool is used for at one moment. */
export interface PoolUse {
  readonly engines: readonly BalancedEngine[]
  /** KV cache of one engine, in tokens. */
  readonly kvTokens: number
  /** KV cache that waiting requests need, in tokens. */
  readonly waitingTokens: number
  /** Prompt tokens that arrive in a millisecond. */
  readonly promptRate: number
}

/** A change of one engine's stage. */
export interface StageChange {
  readonly engineId: string
  readonly to: EngineStage
}

/**
 * Answer to prompts and answers that need the two stages in another proportion than the pool has: compares how much of
 * each stage is in use over some seconds, and moves one engine when that lowers the larger of both shares clearly.
 */
export class StageBalance {
  private _promptRate = 0
  private _kvTokens = 0
  private _atMs: number | undefined
  private _sinceMs: number | undefined
  private _changedMs = Number.NEGATIVE_INFINITY

  /**
   * Takes in what the pool is used for.
   *
   * @param use - Use at this moment.
   * @param nowMs - Monotonic time in milliseconds.
   */
  observe (use: PoolUse, nowMs: number): void {
    const held = use.engines.filter(({ stage }) => stage === EngineStage.Decode).reduce((sum, { tokens }) => sum + tokens, 0)
    if (use.promptRate > 0) this._sinceMs ??= nowMs
    if (this._sinceMs === undefined) return
    const kept = this._atMs === undefined ? 0 : Math.exp((this._atMs - nowMs) / BALANCE_SMOOTH_MS)
    this._promptRate = this._promptRate * kept + use.promptRate * (1 - kept)
    this._kvTokens = this._kvTokens * kept + (held + use.waitingTokens) * (1 - kept)
    this._atMs = nowMs
  }

  /**
   * @param use - Use at this moment.
   * @param nowMs - Monotonic time in milliseconds.
   * @returns The change to be made now, or `undefined`.
   */
  due (use: PoolUse, nowMs: number): StageChange | undefined {
    const warmMs = this._sinceMs === undefined ? 0 : nowMs - this._sinceMs
    if (warmMs < BALANCE_WARM_MS || nowMs - this._changedMs < BALANCE_PAUSE_MS) return undefined
    const now = this._largerUse(use.engines, use.kvTokens)
    const best = use.engines
      .filter(({ stage }) => stage === EngineStage.Prefill || warmMs >= BALANCE_SETTLE_MS)
      .map(engine => ({ engine, use: this._largerUse(moved(use.engines, engine), use.kvTokens) }))
      .sort((a, b) => a.use - b.use || b.engine.tokenMs - a.engine.tokenMs)[0]
    if (best === undefined || now < BALANCE_MIN_USE || best.use > now * BALANCE_GAIN) return undefined
    this._changedMs = nowMs
    return { engineId: best.engine.id, to: otherStage(best.engine.stage) }
  }

  /**
   * Tells that a stage was changed, here or by another host.
   *
   * @param nowMs - Monotonic time in milliseconds.
   */
  changed (nowMs: number): void {
    this._changedMs = nowMs
  }

  private _largerUse (engines: readonly BalancedEngine[], kvTokens: number): number {
    const decode = engines.filter(({ stage }) => stage === EngineStage.Decode)
    const rate = engines.filter(({ stage }) => stage === EngineStage.Prefill).reduce((sum, { tokenMs }) => sum + 1 / tokenMs, 0)
    if (decode.length === 0 || rate === 0) return Number.POSITIVE_INFINITY
    return Math.max(this._kvTokens / (decode.length * kvTokens), PREFILL_USE_WEIGHT * this._promptRate / rate)
  }
}

function moved (engines: readonly BalancedEngine[], { id }: BalancedEngine): readonly BalancedEngine[] {
  return engines.map(engine => engine.id === id ? { ...engine, stage: otherStage(engine.stage) } : engine)
}

function otherStage (stage: EngineStage): EngineStage {
  return stage === EngineStage.Prefill ? EngineStage.Decode : EngineStage.Prefill
}
