import type { FleetConfig } from '../fleet/JaymillFleetConfig.js'
import { DesiredEndpoint, desiredEndpoints } from './JaymillDesiredState.js'
import { EngineOrder, EngineReport, nextOrder, OrderKind } from './JaymillEngineOrder.js'
import { ORDER_HOLD_OFF_MS, ORDER_RETRY_MS, READ_BACK_MS } from './JaymillOrderConstants.js'
import { WeightLoadPacer } from './JaymillWeightLoadPacer.js'

/** Engine that is to be read now. */
export interface EngineReading {
  readonly endpointId: string
  readonly url: string
}

interface Owned {
  readonly desired: DesiredEndpoint
  readonly sinceMs: number
  nextReadMs: number
}

/**
 * Decides which engines this host reads and orders: the ones that it owns, while its lease is fresh. Every order is preceded
 * by a reading and followed by another one.
 */
export class OrderPlanner {
  private readonly _pacer = new WeightLoadPacer()
  private _owned = new Map<string, Owned>()
  private _revision = 0

  /** Revision of the configuration that orders are of. */
  get revision (): number {
    return this._revision
  }

  /**
   * Takes in a configuration and the endpoints that this host owns; a new owner starts its hold-off here.
   *
   * @param cfg - Configuration in force.
   * @param owns - Whether this host owns an endpoint.
   * @param nowMs - Time in milliseconds.
   */
  adopt (cfg: FleetConfig, owns: (endpointId: string) => boolean, nowMs: number): void {
    const desired = desiredEndpoints(cfg)
    const owned = desired.filter(({ endpoint }) => owns(endpoint.id))
    const before = this._owned
    const changed = cfg.revision !== this._revision
    this._revision = cfg.revision
    this._owned = new Map(owned.map(item => {
      const known = before.get(item.endpoint.id)
      const sinceMs = known?.sinceMs ?? nowMs
      return [item.endpoint.id, { desired: item, sinceMs, nextReadMs: changed ? nowMs : known?.nextReadMs ?? nowMs }]
    }))
    this._pacer.share(owned.length, desired.length)
  }

  /**
   * @param leaseFresh - Whether this host's lease holds now.
   * @param nowMs - Time in milliseconds.
   * @returns Engines to be read now.
   */
  due (leaseFresh: boolean, nowMs: number): EngineReading[] {
    if (!leaseFresh) return []
    const due = [...this._owned.values()].filter(item => item.nextReadMs <= nowMs && this._mayOrder(item, nowMs))
    due.forEach(item => { item.nextReadMs = nowMs + ORDER_RETRY_MS })
    return due.map(({ desired: { endpoint } }) => ({ endpointId: endpoint.id, url: endpoint.url }))
  }

  /**
   * Takes in a reading.
   *
   * @param endpointId - Engine that was read.
   * @param report - What it says.
   * @param leaseFresh - Whether this host's lease holds now.
   * @param nowMs - Time in milliseconds.
   * @returns Order to be sent at once; `undefined` when there is none, or its turn at the weight store hasn't come.
   */
  read (endpointId: string, report: EngineReport, leaseFresh: boolean, nowMs: number): EngineOrder | undefined {
    const item = this._owned.get(endpointId)
    if (item === undefined || !leaseFresh) return undefined
    const { endpoint, state } = item.desired
    const order = nextOrder(state, report, this._revision, endpoint.checksFencing)
    if (order === undefined) item.nextReadMs = nowMs + READ_BACK_MS
    if (order?.kind === OrderKind.LoadModel && !this._pacer.take(nowMs)) return undefined
    return order
  }

  private _mayOrder ({ desired, sinceMs }: Owned, nowMs: number): boolean {
    return desired.endpoint.checksFencing || nowMs - sinceMs >= ORDER_HOLD_OFF_MS
  }
}
