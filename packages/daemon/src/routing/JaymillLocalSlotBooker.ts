import {
  Booking, BookingRequest, EndpointConfig, EndpointState, ErrorKind, fleetIndex, FleetConfig, HostList, PoolConfig, RequestError, SlotBooker
} from '@jaymill/core'

import type { HostHealth } from '../health/JaymillHostHealth.js'

const TTL_MS = 5_000

/** Books from this host's own count of what it runs; right only when it is the only host. */
export class LocalSlotBooker extends SlotBooker {
  private readonly _used = new Map<string, Set<string>>()
  private readonly _fleet: () => FleetConfig
  private readonly _hosts: () => HostList
  private readonly _hostId: string
  private readonly _health: HostHealth
  private _sequence = 0

  /**
   * @param fleet - Configuration in force.
   * @param hosts - Host list in force.
   * @param hostId - Id of this host.
   * @param health - Weights of endpoints.
   */
  constructor (fleet: () => FleetConfig, hosts: () => HostList, hostId: string, health: HostHealth) {
    super()
    this._fleet = fleet
    this._hosts = hosts
    this._hostId = hostId
    this._health = health
  }

  /** {@inheritDoc @jaymill/core#SlotBooker.book} */
  async book (req: BookingRequest): Promise<Booking> {
    const pool = fleetIndex(this._fleet()).pool(req.poolId)
    const endpointId = this._leastUsed(pool, req)
    const id = `${this._hostId}/${++this._sequence}`
    this._usedOf(endpointId).add(id)
    return { id, endpointId, ownerId: this._hostId, ttlMs: TTL_MS }
  }

  /** {@inheritDoc @jaymill/core#SlotBooker.release} */
  release (booking: Booking): void {
    this._usedOf(booking.endpointId).delete(booking.id)
  }

  private _leastUsed (pool: PoolConfig, req: BookingRequest): string {
    const leaving = this._hosts().leavingEndpoints
    const open = pool.endpoints
      .filter(({ id, state }) => state === EndpointState.Active && !leaving.includes(id) && !req.exclude.includes(id))
      .filter(({ id, slots }) => this._usedOf(id).size < slots && this._health.weight(pool.id, id) > 0)
      .sort((a, b) => this._cost(pool, a) - this._cost(pool, b))
    if (open[0] === undefined) throw new RequestError(ErrorKind.Overloaded, `pool ${pool.id} has no free slot`, { retryAfterMs: 250 })
    return open[0].id
  }

  private _cost (pool: PoolConfig, { id, slots }: EndpointConfig): number {
    return (1 + this._usedOf(id).size) / (slots * this._health.weight(pool.id, id))
  }

  private _usedOf (endpointId: string): Set<string> {
    const used = this._used.get(endpointId) ?? new Set()
    this._used.set(endpointId, used)
    return used
  }
}
