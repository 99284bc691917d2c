import type { FleetConfig } from '../fleet/JaymillFleetConfig.js'
import { DesiredEndpoint, desiredEndpoints } from './JaymillDesiredState.js'
import { EngineOrder, EngineReport, nextOrder, OrderKind } from './JaymillEngineOrder.js'
import { ORDER_HOLD_OFF_MS, ORDER_RETRY_MS, READ_BACK_MS } from './JaymillOrderConstants.js'
import { WeightLoadLimiter } from './JaymillWeightLoadLimiter.js'

/** Engine to read now. */
export interface EngineReadTarget {
  readonly endpointId: string
  readonly url: string
}

interface OwnedEngine {
  readonly desired: DesiredEndpoint
  readonly ownedSinceMs: number
  nextReadMs: number
}

/**
 * Decides which engines this host reads and sends orders to: the ones that it owns, while it holds its lease. The state of an
 * engine is read before every order and again after it.
 */
export class OrderPlanner {
  private readonly _loadLimiter = new WeightLoadLimiter()
  private _owned = new Map<string, OwnedEngine>()
  private _revision = 0

  /** Revision of the configuration that orders are based on. */
  get revision (): number {
    return this._revision
  }

  /**
   * Adopts a configuration and the engines that this host owns; the hold-off of newly owned engines starts here.
   *
   * @param cfg - Active configuration.
   * @param owns - Returns whether this host owns an endpoint.
   * @param nowMs - Monotonic time in milliseconds.
   */
  adopt (cfg: FleetConfig, owns: (endpointId: string) => boolean, nowMs: number): void {
    const desired = desiredEndpoints(cfg)
    const owned = desired.filter(({ endpoint }) => owns(endpoint.id))
    const previous = this._owned
    const changed = cfg.revision !== this._revision
    this._revision = cfg.revision
    this._owned = new Map(owned.map(item => {
      const existing = previous.get(item.endpoint.id)
      const ownedSinceMs = existing?.ownedSinceMs ?? nowMs
      return [item.endpoint.id, { desired: item, ownedSinceMs, nextReadMs: changed ? nowMs : existing?.nextReadMs ?? nowMs }]
    }))
    this._loadLimiter.setShare(owned.length, desired.length)
  }

  /**
   * Finds the engines that are due for a read and schedules their next one.
   *
   * @param leaseValid - Whether this host holds its lease now.
   * @param nowMs - Monotonic time in milliseconds.
   * @returns Engines to read now.
   */
  due (leaseValid: boolean, nowMs: number): EngineReadTarget[] {
    if (!leaseValid) return []
    const due = [...this._owned.values()].filter(item => item.nextReadMs <= nowMs && this._mayOrder(item, nowMs))
    due.forEach(item => { item.nextReadMs = nowMs + ORDER_RETRY_MS })
    return due.map(({ desired: { endpoint } }) => ({ endpointId: endpoint.id, url: endpoint.url }))
  }

  /**
   * Plans the next order from the state that an engine reported.
   *
   * @param endpointId - Engine that was read.
   * @param report - State that it reported.
   * @param leaseValid - Whether this host holds its lease now.
   * @param nowMs - Monotonic time in milliseconds.
   * @returns Order to send at once; `undefined` if none is needed, or if the rate limit allows no weight load yet.
   */
  planOrder (endpointId: string, report: EngineReport, leaseValid: boolean, nowMs: number): EngineOrder | undefined {
    const item = this._owned.get(endpointId)
    if (item === undefined || !leaseValid) return undefined
    const { endpoint, state } = item.desired
    const order = nextOrder(state, report, this._revision, endpoint.checksFencing)
    if (order === undefined) item.nextReadMs = nowMs + READ_BACK_MS
    if (order?.kind === OrderKind.LoadModel && !this._loadLimiter.tryAcquire(nowMs)) return undefined
    return order
  }

  private _mayOrder ({ desired, ownedSinceMs }: OwnedEngine, nowMs: number): boolean {
    return desired.endpoint.checksFencing || nowMs - ownedSinceMs >= ORDER_HOLD_OFF_MS
  }
}
