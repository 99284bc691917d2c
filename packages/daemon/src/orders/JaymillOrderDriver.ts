import {
  Clock, endpointOwners, EngineReadTarget, FleetConfig, HostIdentity, HostList, OrderClient, OrderPlanner, OrderResult
} from '@jaymill/core'
import type { Logger } from 'winston'
import { MAX_ORDERS_IN_FLIGHT, ORDER_STEP_MS } from './constants.js'

/** Components of the host that the order driver uses. */
export interface OrderDriverOptions {
  readonly identity: HostIdentity
  readonly clock: Clock
  readonly log: Logger
  readonly client: OrderClient
  /** Active configuration; throws before the first one. */
  readonly fleet: () => FleetConfig
  /** Active host list; throws before the first one. */
  readonly hosts: () => HostList
  /** Returns whether this host is ready and its lease for the active host list is valid now. */
  readonly leaseValid: () => boolean
}

/** Reads the state of the engines that this host owns, and sends them orders. */
export class OrderDriver {
  private readonly _options: OrderDriverOptions
  private readonly _planner = new OrderPlanner()
  private readonly _inFlight = new Set<string>()
  private _adoptedVersion = ''

  /**
   * @param options - Components of the host.
   */
  constructor (options: OrderDriverOptions) {
    this._options = options
  }

  /**
   * Reads engines and sends orders periodically until the signal aborts.
   *
   * @param signal - Cancels reads and orders.
   */
  start (signal: AbortSignal): void {
    const timer = setInterval(() => this._step(signal), ORDER_STEP_MS)
    signal.addEventListener('abort', () => clearInterval(timer), { once: true })
  }

  private _step (signal: AbortSignal): void {
    const { leaseValid, clock, log } = this._options
    if (!leaseValid()) return
    this._adoptDocuments()
    this._planner.due(true, clock.nowMs())
      .filter(({ endpointId }) => !this._inFlight.has(endpointId))
      .slice(0, Math.max(0, MAX_ORDERS_IN_FLIGHT - this._inFlight.size))
      .forEach(target => {
        this._readAndOrder(target, signal)
          .catch(err => log.warn('engine order failed', { endpointId: target.endpointId, err }))
      })
  }

  private _adoptDocuments (): void {
    const { fleet, hosts, identity, clock } = this._options
    const [cfg, list] = [fleet(), hosts()]
    const version = `${cfg.revision}/${list.revision}`
    if (version === this._adoptedVersion) return
    this._adoptedVersion = version
    const endpoints = new Map(cfg.pools.flatMap(pool => pool.endpoints).map(endpoint => [endpoint.id, endpoint]))
    const owns = (id: string): boolean => {
      const endpoint = endpoints.get(id)
      return endpoint !== undefined && endpointOwners(endpoint, list).owner?.id === identity.id
    }
    this._planner.adopt(cfg, owns, clock.nowMs())
  }

  private async _readAndOrder ({ endpointId, url }: EngineReadTarget, signal: AbortSignal): Promise<void> {
    this._inFlight.add(endpointId)
    try {
      const report = await this._options.client.read(url, signal)
      await this._sendOrder(endpointId, url, report, signal)
    } finally {
      this._inFlight.delete(endpointId)
    }
  }

  private async _sendOrder (
    endpointId: string, url: string, report: Parameters<OrderPlanner['planOrder']>[1], signal: AbortSignal
  ): Promise<void> {
    const { client, clock, leaseValid, log } = this._options
    const order = this._planner.planOrder(endpointId, report, leaseValid(), clock.nowMs())
    if (order === undefined) return
    const result = await client.send(url, order, signal)
    const fields = { endpointId, order: order.kind, model: order.model, version: order.version, fencingToken: order.fencingToken }
    if (result === OrderResult.Stale) log.warn('engine order is stale', fields)
    else log.info('engine order sent', fields)
  }
}
