import { BALANCE_FIRST_MS, BALANCE_GAIN, BALANCE_MIN_USE, BALANCE_PAUSE_MS, BALANCE_SETTLE_MS, BALANCE_SMOOTH_MS, BALANCE_WARM_MS, PREFILL_USE_WEIGHT, STAGE_MIN_ENGINES } from './constants.js'
import { EngineStage } from './JaymillEndpointRecord.js'

/** One engine of a split pool, as the balance sees it. */
export interface BalancedEngine {
  readonly id: string
  readonly stage: EngineStage
  /** Time for one prompt token, in milliseconds. */
  readonly tokenMs: number
}

/** What the pool is used for at one moment. */
export interface PoolUse {
  readonly engines: readonly BalancedEngine[]
  /** KV cache of one engine, in tokens. */
  readonly kvTokens: number
  /** Prompt tokens that arrive in a millisecond. */
  readonly promptRate: number
  /** KV cache that requests which arrive in a millisecond will hold, in tokens. */
  readonly kvRate: number
  /** Time for which a request holds KV cache, in milliseconds. */
  readonly heldMs: number
}

/** A change of one engine's stage. */
export interface StageChange {
  readonly engineId: string
  readonly to: EngineStage
}

/**
 * Answer to prompts and answers that need the two stages in another proportion than the pool has: works out which share of
 * each stage the demand takes (by Little's law for the KV cache: what arrives times how long it stays, so that full engines
 * don't hide demand), and moves one engine when that lowers the larger of both shares clearly.
 */
export class StageBalance {
  private _promptRate = 0
  private _kvTokens = 0
  private _weight = 0
  private _atMs: number | undefined
  private _sinceMs: number | undefined
  private _changedMs = Number.NEGATIVE_INFINITY

  /**
   * Takes in what the pool is used for.
   *
   * @param use - Use at this moment.
   * @param nowMs - Monotonic time in milliseconds.
   */
  observe ({ promptRate, kvRate, heldMs }: PoolUse, nowMs: number): void {
    if (promptRate > 0) this._sinceMs ??= nowMs
    if (this._sinceMs === undefined) return
    const kept = Math.exp(((this._atMs ?? nowMs - BALANCE_FIRST_MS) - nowMs) / BALANCE_SMOOTH_MS)
    this._promptRate = this._promptRate * kept + promptRate * (1 - kept)
    this._kvTokens = this._kvTokens * kept + kvRate * heldMs * (1 - kept)
    this._weight = this._weight * kept + (1 - kept)
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
      .filter(engine => engine.stage === EngineStage.Prefill || warmMs >= BALANCE_SETTLE_MS)
      .filter(engine => keepsEnough(moved(use.engines, engine)))
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
    return Math.max(this._kvTokens / (decode.length * kvTokens), PREFILL_USE_WEIGHT * this._promptRate / rate) / this._weight
  }
}

function moved (engines: readonly BalancedEngine[], { id }: BalancedEngine): readonly BalancedEngine[] {
  return engines.map(engine => engine.id === id ? { ...engine, stage: otherStage(engine.stage) } : engine)
}

function keepsEnough (engines: readonly BalancedEngine[]): boolean {
  const decode = engines.filter(({ stage }) => stage === EngineStage.Decode).length
  return Math.min(decode, engines.length - decode) >= Math.min(STAGE_MIN_ENGINES, Math.floor(engines.length / 2))
}

function otherStage (stage: EngineStage): EngineStage {
  return stage === EngineStage.Prefill ? EngineStage.Decode : EngineStage.Prefill
}
