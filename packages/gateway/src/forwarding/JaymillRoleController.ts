import { EngineRole, RoleBalancer, type EndpointRecord, type EngineTraits, type PoolUsage, type RoleChange } from '@jaymill/core'
import { ExchangeError } from '../endpoints/JaymillExchangeError.js'
import { PREFILL_INITIAL_TOKEN_MS, ROLE_CHANGE_DRAIN_MS, ROLE_CHECK_MS, ROLE_ORDER_TIMEOUT_MS } from './constants.js'
import type { ForwardingContext } from './JaymillForwardingContext.js'
import { prefillGroup } from './JaymillLatencyGroups.js'

/** Components of the host that the role controller uses. */
export interface RoleControllerContext extends ForwardingContext {
  readonly hostId: string
  /** Whether this host sends role change orders. Hosts that receive each other's heartbeats agree on one leader. */
  readonly isLeader: () => boolean
}

/**
 * Changes roles of engines when the ratio of prefill to decode engines does not match demand. Every host observes usage;
 * only the leader sends orders.
 */
export class RoleController {
  private readonly _context: RoleControllerContext
  private readonly _balancers = new Map<string, RoleBalancer>()
  private _changing = false

  /**
   * @param context - Components of the host.
   */
  constructor (context: RoleControllerContext) {
    this._context = context
  }

  /**
   * Starts periodic checks.
   *
   * @param signal - Stops them.
   */
  start (signal: AbortSignal): void {
    const timer = setInterval(() => this._check(signal), ROLE_CHECK_MS)
    signal.addEventListener('abort', () => clearInterval(timer), { once: true })
  }

  /**
   * Records that an engine has changed its role.
   *
   * @param engine - Record of the engine.
   */
  roleChanged ({ id, service }: EndpointRecord): void {
    this._context.roleChanges.end(id)
    this._balancer(service).recordChange(this._context.clock.nowMs())
  }

  private _check (signal: AbortSignal): void {
    const services = this._context.state.config?.services ?? []
    services.filter(({ engine }) => engine !== undefined).forEach(({ name, engine }) => {
      if (engine === undefined) return
      const usage = this._poolUsage(name, engine.kvTokens)
      const nowMs = this._context.clock.nowMs()
      const balancer = this._balancer(name)
      balancer.observe(usage, nowMs)
      if (!this._context.isLeader() || this._changing) return
      const changes = balancer.nextChanges(usage, nowMs)
      if (changes.length > 0) this._applyChanges(changes, usage, engine, signal)
    })
  }

  private _poolUsage (service: string, kvTokens: number): PoolUsage {
    const { state, latencyModel, demand, clock, reliability } = this._context
    const nowMs = clock.nowMs()
    const reachable = state.directory.usable(service).filter(({ id }) => !reliability.isSuspect(id, nowMs))
    const tokenMsOf = (endpointId: string): number => latencyModel.unitMs({ group: prefillGroup(service), endpointId }, PREFILL_INITIAL_TOKEN_MS, nowMs)
    const engines = reachable.map(({ id, stage }) => ({ id, role: stage ?? EngineRole.Decode, tokenMs: tokenMsOf(id) }))
    const { promptRate, kvRate } = demand.total(service, nowMs)
    return { engines, kvTokens, promptRate, kvRate, holdingTimeMs: demand.holdingTimeMs(service) }
  }

  private _applyChanges (changes: readonly RoleChange[], usage: PoolUsage, { stageChangeMs }: EngineTraits, signal: AbortSignal): void {
    const { clock, roleChanges, sendHeartbeatNow } = this._context
    const untilMs = clock.nowMs() + stageChangeMs + ROLE_CHANGE_DRAIN_MS
    this._changing = true
    changes.forEach(({ engineId }) => roleChanges.begin(engineId, untilMs))
    sendHeartbeatNow()
    changes.reduce(async (previous, change) => { await previous; await this._changeRole(change, usage, signal) }, Promise.resolve())
      .catch((err: Error) => this._context.log.warn('role change order failed', { reason: err.message }))
      .finally(() => { this._changing = false })
  }

  private async _changeRole ({ engineId, to }: RoleChange, { promptRate }: PoolUsage, signal: AbortSignal): Promise<void> {
    const { state, engines, hostId, log, clock, roleChanges } = this._context
    const endpoint = state.directory.get(engineId)
    if (endpoint === undefined) return
    const startMs = clock.nowMs()
    const limit = AbortSignal.any([signal, AbortSignal.timeout(ROLE_ORDER_TIMEOUT_MS)])
    const outcome = await engines.changeRole({ endpoint, role: to, holder: hostId, fence: roleChanges.nextFencingToken(clock.wallMs()) }, limit)
      .then(accepted => accepted ? 'accepted' : 'refused', err => err instanceof ExchangeError ? err.failure : String(err))
    log.stateChange('stage ordered', {
      endpoint: engineId,
      to,
      outcome,
      promptRate: Math.round(promptRate * 10) / 10,
      directory: state.directory.revision,
      ms: Math.round(clock.nowMs() - startMs)
    })
  }

  private _balancer (service: string): RoleBalancer {
    const balancer = this._balancers.get(service) ?? new RoleBalancer()
    this._balancers.set(service, balancer)
    return balancer
  }
}
