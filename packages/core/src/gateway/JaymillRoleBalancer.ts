import {
  BALANCE_COOLDOWN_MS, BALANCE_DECODE_WARMUP_MS, BALANCE_FIRST_SAMPLE_MS, BALANCE_MAX_MOVED_SHARE, BALANCE_MAX_REMAINING_SHARE,
  BALANCE_IDLE_UTILIZATION, BALANCE_MIN_UTILIZATION, BALANCE_MIN_UTILIZATION_FROM_IDLE, BALANCE_SMOOTH_MS, BALANCE_WARMUP_MS, PREFILL_UTILIZATION_WEIGHT, ROLE_MIN_ENGINES
} from './constants.js'
import { EngineRole } from './JaymillEndpointRecord.js'

/** Engine of a split pool, as input to the balancer. */
export interface BalancedEngine {
  readonly id: string
  readonly role: EngineRole
  /** Prefill time per prompt token, in milliseconds. */
  readonly tokenMs: number
}

/** Engines and demand of a pool at one moment. */
export interface PoolUsage {
  readonly engines: readonly BalancedEngine[]
  /** KV cache of one engine, in tokens. */
  readonly kvTokens: number
  /** Arrival rate of prompt tokens, per millisecond. */
  readonly promptRate: number
  /** Arrival rate of the KV cache tokens that requests will hold, per millisecond. */
  readonly kvRate: number
  /** Time for which a request holds KV cache, in milliseconds. */
  readonly holdingTimeMs: number
}

/** Change of one engine's role. */
export interface RoleChange {
  readonly engineId: string
  readonly to: EngineRole
}

/**
 * Adapts the ratio of prefill to decode engines to the demand. It computes the utilization of both roles; for KV cache by
 * Little's law, as arrival rate times holding time, because the occupied memory does not show excess demand on full engines.
 * Engines change their role, several at once in a large pool, when that clearly lowers the higher of both utilizations.
 */
export class RoleBalancer {
  private _promptRate = 0
  private _kvDemandTokens = 0
  private _sampleWeight = 0
  private _observedMs: number | undefined
  private _firstTrafficMs: number | undefined
  private _lastChangeMs = Number.NEGATIVE_INFINITY

  /**
   * Adds a sample of the demand to the moving averages.
   *
   * @param usage - Current usage of the pool.
   * @param nowMs - Monotonic time in milliseconds.
   */
  observe ({ promptRate, kvRate, holdingTimeMs }: PoolUsage, nowMs: number): void {
    if (promptRate > 0) this._firstTrafficMs ??= nowMs
    if (this._firstTrafficMs === undefined) return
    const decay = Math.exp(((this._observedMs ?? nowMs - BALANCE_FIRST_SAMPLE_MS) - nowMs) / BALANCE_SMOOTH_MS)
    this._promptRate = this._promptRate * decay + promptRate * (1 - decay)
    this._kvDemandTokens = this._kvDemandTokens * decay + kvRate * holdingTimeMs * (1 - decay)
    this._sampleWeight = this._sampleWeight * decay + (1 - decay)
    this._observedMs = nowMs
  }

  /**
   * Plans the role changes that are due now and starts the cooldown if there are any.
   *
   * @param usage - Current usage of the pool.
   * @param nowMs - Monotonic time in milliseconds.
   * @returns Role changes to make now; empty when none is worth its cost.
   */
  nextChanges (usage: PoolUsage, nowMs: number): readonly RoleChange[] {
    const trafficMs = this._firstTrafficMs === undefined ? 0 : nowMs - this._firstTrafficMs
    if (trafficMs < BALANCE_WARMUP_MS || nowMs - this._lastChangeMs < BALANCE_COOLDOWN_MS) return []
    const fromRoles = trafficMs < BALANCE_DECODE_WARMUP_MS ? [EngineRole.Prefill] : [EngineRole.Prefill, EngineRole.Decode]
    const current = this._maxUtilization(usage.engines, usage.kvTokens)
    const plans = fromRoles.map(from => this._planMoves(usage, from, current))
    const best = plans.reduce((a, b) => b.utilization < a.utilization ? b : a)
    if (best.utilization > current * BALANCE_MAX_REMAINING_SHARE || !this._isWorthIt(best, current, usage.kvTokens)) return []
    this._lastChangeMs = nowMs
    return best.changes
  }

  /**
   * Restarts the cooldown after a role change by this or another host.
   *
   * @param nowMs - Monotonic time in milliseconds.
   */
  recordChange (nowMs: number): void {
    this._lastChangeMs = nowMs
  }

  /** At low utilization, an engine is moved only from a role that is nearly idle without it. */
  private _isWorthIt ({ engines }: MovePlan, current: number, kvTokens: number): boolean {
    if (current >= BALANCE_MIN_UTILIZATION) return true
    const { prefill, decode } = this._utilizations(engines, kvTokens)
    return current >= BALANCE_MIN_UTILIZATION_FROM_IDLE && Math.min(prefill, decode) <= BALANCE_IDLE_UTILIZATION
  }

  /** Moves engines out of one role one by one, as long as each move lowers the higher utilization. */
  private _planMoves ({ engines, kvTokens }: PoolUsage, from: EngineRole, current: number): MovePlan {
    const movable = engines.filter(({ role }) => role === from).sort((a, b) => this._compareForMove(a, b, from))
    const maxMoves = Math.max(1, Math.floor(movable.length * BALANCE_MAX_MOVED_SHARE))
    return movable.slice(0, maxMoves).reduce<MovePlan>((plan, engine) => {
      const after = withMoved(plan.engines, engine)
      const utilization = this._maxUtilization(after, kvTokens)
      if (utilization >= plan.utilization || !hasMinimumPerRole(after)) return plan
      return { engines: after, utilization, changes: [...plan.changes, { engineId: engine.id, to: otherRole(from) }] }
    }, { engines, utilization: current, changes: [] })
  }

  /** Orders engines so that those with slow prefill leave the prefill role first and join it last. */
  private _compareForMove (a: BalancedEngine, b: BalancedEngine, from: EngineRole): number {
    return from === EngineRole.Prefill ? b.tokenMs - a.tokenMs : a.tokenMs - b.tokenMs
  }

  private _maxUtilization (engines: readonly BalancedEngine[], kvTokens: number): number {
    const { prefill, decode } = this._utilizations(engines, kvTokens)
    return Math.max(prefill, decode)
  }

  /** Returns the utilization of both roles; infinite without an engine. */
  private _utilizations (engines: readonly BalancedEngine[], kvTokens: number): { readonly prefill: number, readonly decode: number } {
    const decodeEngines = engines.filter(({ role }) => role === EngineRole.Decode).length
    const prefillRate = engines.filter(({ role }) => role === EngineRole.Prefill).reduce((sum, { tokenMs }) => sum + 1 / tokenMs, 0)
    return {
      prefill: prefillRate === 0 ? Number.POSITIVE_INFINITY : PREFILL_UTILIZATION_WEIGHT * this._promptRate / prefillRate / this._sampleWeight,
      decode: decodeEngines === 0 ? Number.POSITIVE_INFINITY : this._kvDemandTokens / (decodeEngines * kvTokens) / this._sampleWeight
    }
  }
}

interface MovePlan {
  readonly engines: readonly BalancedEngine[]
  /** Higher utilization of both roles after the changes. */
  readonly utilization: number
  readonly changes: readonly RoleChange[]
}

function withMoved (engines: readonly BalancedEngine[], { id }: BalancedEngine): readonly BalancedEngine[] {
  return engines.map(engine => engine.id === id ? { ...engine, role: otherRole(engine.role) } : engine)
}

function hasMinimumPerRole (engines: readonly BalancedEngine[]): boolean {
  const decode = engines.filter(({ role }) => role === EngineRole.Decode).length
  return Math.min(decode, engines.length - decode) >= Math.min(ROLE_MIN_ENGINES, Math.floor(engines.length / 2))
}

function otherRole (role: EngineRole): EngineRole {
  return role === EngineRole.Prefill ? EngineRole.Decode : EngineRole.Prefill
}
