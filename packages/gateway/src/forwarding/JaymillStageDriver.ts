import { EngineStage, StageBalance, type EndpointRecord, type EngineTraits, type PoolUse, type StageChange } from '@jaymill/core'
import { ExchangeError } from '../endpoints/JaymillExchangeError.js'
import { PREFILL_INITIAL_TOKEN_MS, STAGE_CHECK_MS, STAGE_ORDER_TIMEOUT_MS, STAGE_RUNNING_MS } from './constants.js'
import type { ForwardingParts } from './JaymillForwardingParts.js'

/** What the driver works with. */
export interface StageDriverParts extends ForwardingParts {
  readonly hostId: string
  /** Whether this host gives orders: the same one for all hosts that hear each other. */
  readonly leads: () => boolean
}

/** Changes stages of engines when the pools' proportion does not fit what callers ask for. Every host watches, one orders. */
export class StageDriver {
  private readonly _parts: StageDriverParts
  private readonly _balances = new Map<string, StageBalance>()
  private _ordering = false

  /**
   * @param parts - State of the host.
   */
  constructor (parts: StageDriverParts) {
    this._parts = parts
  }

  /**
   * Runs until the signal aborts.
   *
   * @param signal - Ends it.
   */
  start (signal: AbortSignal): void {
    const timer = setInterval(() => this._check(signal), STAGE_CHECK_MS)
    signal.addEventListener('abort', () => clearInterval(timer), { once: true })
  }

  /**
   * Tells that an engine has another stage now.
   *
   * @param engine - The engine.
   */
  stageChanged ({ id, service }: EndpointRecord): void {
    this._parts.changes.end(id)
    this._balance(service).changed(this._parts.clock.nowMs())
  }

  private _check (signal: AbortSignal): void {
    const services = this._parts.state.config?.services ?? []
    services.filter(({ engine }) => engine !== undefined).forEach(({ name, engine }) => {
      if (engine === undefined) return
      const use = this._use(name, engine.kvTokens)
      const nowMs = this._parts.clock.nowMs()
      const balance = this._balance(name)
      balance.observe(use, nowMs)
      if (!this._parts.leads() || this._ordering) return
      const changes = balance.due(use, nowMs)
      if (changes.length > 0) this._orderAll(changes, use, engine, signal)
    })
  }

  private _use (service: string, kvTokens: number): PoolUse {
    const { state, pace, demand, clock, reliability } = this._parts
    const nowMs = clock.nowMs()
    const reachable = state.directory.usable(service).filter(({ id }) => !reliability.isSuspect(id, nowMs))
    const engines = reachable.map(({ id, stage }) => ({
      id, stage: stage ?? EngineStage.Decode, tokenMs: pace.unitMs(id, PREFILL_INITIAL_TOKEN_MS)
    }))
    const { promptRate, kvRate } = demand.total(service, nowMs)
    return { engines, kvTokens, promptRate, kvRate, heldMs: demand.heldMs(service) }
  }

  private _orderAll (stageChanges: readonly StageChange[], use: PoolUse, { stageChangeMs }: EngineTraits, signal: AbortSignal): void {
    const { clock, changes, tellNow } = this._parts
    const untilMs = clock.nowMs() + stageChangeMs + STAGE_RUNNING_MS
    this._ordering = true
    stageChanges.forEach(({ engineId }) => changes.begin(engineId, untilMs))
    tellNow()
    stageChanges.reduce(async (before, change) => { await before; await this._order(change, use, signal) }, Promise.resolve())
      .catch((err: Error) => this._parts.log.warn('stage order failed', { reason: err.message }))
      .finally(() => { this._ordering = false })
  }

  private async _order ({ engineId, to }: StageChange, { promptRate }: PoolUse, signal: AbortSignal): Promise<void> {
    const { state, engines, hostId, log, clock, changes } = this._parts
    const endpoint = state.directory.get(engineId)
    if (endpoint === undefined) return
    const startMs = clock.nowMs()
    const limit = AbortSignal.any([signal, AbortSignal.timeout(STAGE_ORDER_TIMEOUT_MS)])
    const outcome = await engines.changeStage({ endpoint, stage: to, holder: hostId, fence: changes.nextFence(clock.wallMs()) }, limit)
      .then(accepted => accepted ? 'accepted' : 'refused', err => err instanceof ExchangeError ? err.failure : String(err))
    log.belief('stage ordered', {
      endpoint: engineId,
      to,
      outcome,
      promptRate: Math.round(promptRate * 10) / 10,
      directory: state.directory.revision,
      ms: Math.round(clock.nowMs() - startMs)
    })
  }

  private _balance (service: string): StageBalance {
    const balance = this._balances.get(service) ?? new StageBalance()
    this._balances.set(service, balance)
    return balance
  }
}
