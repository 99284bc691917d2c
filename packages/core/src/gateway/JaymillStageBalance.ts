import { BALANCE_FIRST_MS, BALANCE_GAIN, BALANCE_MIN_USE, BALANCE_MOVED_SHARE, BALANCE_PAUSE_MS, BALANCE_SETTLE_MS, BALANCE_SMOOTH_MS, BALANCE_WARM_MS, PREFILL_USE_WEIGHT, STAGE_MIN_ENGINES } from './constants.js'
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
 * don't hide demand), and moves engines, several at once in a large pool, when that lowers the larger of both shares clearly.
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
   * @returns Changes to be made now; none when none pays.
   */
  due (use: PoolUse, nowMs: number): readonly StageChange[] {
    const warmMs = this._sinceMs === undefined ? 0 : nowMs - this._sinceMs
    if (warmMs < BALANCE_WARM_MS || nowMs - this._changedMs < BALANCE_PAUSE_MS) return []
    const stages = warmMs < BALANCE_SETTLE_MS ? [EngineStage.Prefill] : [EngineStage.Prefill, EngineStage.Decode]
    const now = this._largerUse(use.engines, use.kvTokens)
    const plans = stages.map(from => this._plan(use, from, now))
    const best = plans.reduce((a, b) => b.use < a.use ? b : a)
    if (now < BALANCE_MIN_USE || best.use > now * BALANCE_GAIN) return []
    this._changedMs = nowMs
    return best.changes
  }

  /**
   * Tells that a stage was changed, here or by another host.
   *
   * @param nowMs - Monotonic time in milliseconds.
   */
  changed (nowMs: number): void {
    this._changedMs = nowMs
  }

  /** Moves engines of one stage, one after the other, as long as each lowers the larger use. */
  private _plan ({ engines, kvTokens }: PoolUse, from: EngineStage, now: number): MovePlan {
    const movable = engines.filter(({ stage }) => stage === from).sort((a, b) => this._pays(a, b, from))
    const most = Math.max(1, Math.floor(movable.length * BALANCE_MOVED_SHARE))
    return movable.slice(0, most).reduce<MovePlan>((plan, engine) => {
      const after = moved(plan.engines, engine)
      const use = this._largerUse(after, kvTokens)
      if (use >= plan.use || !keepsEnough(after)) return plan
      return { engines: after, use, changes: [...plan.changes, { engineId: engine.id, to: otherStage(from) }] }
    }, { engines, use: now, changes: [] })
  }

  /** Engines that read slowly are the first to stop reading prompts, and the last to begin. */
  private _pays (a: BalancedEngine, b: BalancedEngine, from: EngineStage): number {
    return from === EngineStage.Prefill ? b.tokenMs - a.tokenMs : a.tokenMs - b.tokenMs
  }

  private _largerUse (engines: readonly BalancedEngine[], kvTokens: number): number {
    const decode = engines.filter(({ stage }) => stage === EngineStage.Decode)
    const rate = engines.filter(({ stage }) => stage === EngineStage.Prefill).reduce((sum, { tokenMs }) => sum + 1 / tokenMs, 0)
    if (decode.length === 0 || rate === 0) return Number.POSITIVE_INFINITY
    return Math.max(this._kvTokens / (decode.length * kvTokens), PREFILL_USE_WEIGHT * this._promptRate / rate) / this._weight
  }
}

interface MovePlan {
  readonly engines: readonly BalancedEngine[]
  /** Larger use of both stages after the changes. */
  readonly use: number
  readonly changes: readonly StageChange[]
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
