import { Clock, endpointOwners, EngineReading, FleetConfig, HostIdentity, HostList, OrderAnswer, OrderClient, OrderPlanner } from '@jaymill/core'
import type { Logger } from 'winston'
import { MAX_ORDERS_IN_FLIGHT, ORDER_STEP_MS } from './constants.js'

/** What the order driver works with. */
export interface OrderDriverOptions {
  readonly identity: HostIdentity
  readonly clock: Clock
  readonly log: Logger
  readonly client: OrderClient
  /** Configuration in force; throws before the first one. */
  readonly fleet: () => FleetConfig
  /** Host list in force; throws before the first one. */
  readonly hosts: () => HostList
  /** Whether this host serves, and its lease under the list in force holds now. */
  readonly leaseFresh: () => boolean
}

/** Reads and orders the engines that this host owns. */
export class OrderDriver {
  private readonly _options: OrderDriverOptions
  private readonly _planner = new OrderPlanner()
  private readonly _busy = new Set<string>()
  private _adopted = ''

  /**
   * @param options - Parts of the host.
   */
  constructor (options: OrderDriverOptions) {
    this._options = options
  }

  /**
   * Runs until the signal aborts.
   *
   * @param signal - Ends readings and orders.
   */
  start (signal: AbortSignal): void {
    const timer = setInterval(() => this._step(signal), ORDER_STEP_MS)
    signal.addEventListener('abort', () => clearInterval(timer), { once: true })
  }

  private _step (signal: AbortSignal): void {
    const { leaseFresh, clock, log } = this._options
    if (!leaseFresh()) return
    this._adopt()
    this._planner.due(true, clock.nowMs())
      .filter(({ endpointId }) => !this._busy.has(endpointId))
      .slice(0, Math.max(0, MAX_ORDERS_IN_FLIGHT - this._busy.size))
      .forEach(reading => { this._visit(reading, signal).catch(err => log.warn('engine order failed', { endpointId: reading.endpointId, err })) })
  }

  private _adopt (): void {
    const { fleet, hosts, identity, clock } = this._options
    const [cfg, list] = [fleet(), hosts()]
    const version = `${cfg.revision}/${list.revision}`
    if (version === this._adopted) return
    this._adopted = version
    const endpoints = new Map(cfg.pools.flatMap(pool => pool.endpoints).map(endpoint => [endpoint.id, endpoint]))
    const owns = (id: string): boolean => {
      const endpoint = endpoints.get(id)
      return endpoint !== undefined && endpointOwners(endpoint, list).owner?.id === identity.id
    }
    this._planner.adopt(cfg, owns, clock.nowMs())
  }

  private async _visit ({ endpointId, url }: EngineReading, signal: AbortSignal): Promise<void> {
    this._busy.add(endpointId)
    try {
      const report = await this._options.client.read(url, signal)
      await this._order(endpointId, url, report, signal)
    } finally {
      this._busy.delete(endpointId)
    }
  }

  private async _order (endpointId: string, url: string, report: Parameters<OrderPlanner['read']>[1], signal: AbortSignal): Promise<void> {
    const { client, clock, leaseFresh, log } = this._options
    const order = this._planner.read(endpointId, report, leaseFresh(), clock.nowMs())
    if (order === undefined) return
    const answer = await client.send(url, order, signal)
    const fields = { endpointId, order: order.kind, model: order.model, version: order.version, fencingToken: order.fencingToken }
    if (answer === OrderAnswer.Stale) log.warn('engine order is stale', fields)
    else log.info('engine order sent', fields)
  }
}
