import { GrantHandler, HostList, SlotAllocator, SlotOwnership } from '@jaymill/core'
import { AccountGate } from './JaymillAccountGate.js'
import { EndpointWatch } from './JaymillEndpointWatch.js'
import { GrantKeeper } from './JaymillGrantKeeper.js'
import { ownedEndpoints } from './JaymillOwnedEndpoints.js'
import { PeerSlotBooker } from './JaymillPeerSlotBooker.js'
import { QueuedSlotBooker } from './JaymillQueuedSlotBooker.js'
import type { RoutingParts } from './JaymillRoutingParts.js'
import { OWNER_TICK_MS, READY_AFTER_MS } from './JaymillRoutingTimes.js'
import { SlotOwner } from './JaymillSlotOwner.js'

/** Capacity decisions of one host: its own books, and bookings at the other hosts. */
export class Routing {
  readonly booker: SlotAllocator
  readonly handler: GrantHandler
  private readonly _parts: RoutingParts
  private readonly _owner: SlotOwner
  private readonly _watch: EndpointWatch
  private readonly _keeper: GrantKeeper
  private _placed: { list: HostList, fleetRevision: number, ownership: SlotOwnership } | undefined
  private _adoptedAtMs: number | undefined
  private _ready = false

  /**
   * @param parts - Parts of the host.
   */
  constructor (parts: RoutingParts) {
    this._parts = parts
    this._owner = new SlotOwner(parts)
    this.handler = this._owner
    this._watch = new EndpointWatch(parts, this._owner)
    const ownership = (): SlotOwnership => this._ownership()
    this._keeper = new GrantKeeper(parts, this._owner, ownership)
    const direct = new PeerSlotBooker(parts, this._owner, this._keeper, ownership)
    this.booker = new QueuedSlotBooker(parts, direct, new AccountGate(parts, this._owner))
  }

  /** Whether the first take-over of this host's endpoints is over; stays true. */
  get ready (): boolean {
    return this._ready
  }

  /**
   * Keeps books, renewals and reports going until the signal aborts.
   *
   * @param documentsKnown - Whether configuration and host list are in force.
   * @param signal - Ends it.
   */
  follow (documentsKnown: () => boolean, signal: AbortSignal): void {
    const tick = (): void => { this.tick(signal).catch(err => this._parts.log.error('looking after bookings failed', { err })) }
    const timer = setInterval(() => { if (documentsKnown()) tick() }, OWNER_TICK_MS)
    signal.addEventListener('abort', () => clearInterval(timer), { once: true })
  }

  /**
   * Looks once at configuration, grants and due reports.
   *
   * @param signal - Gives up.
   * @returns When the reports that were due have been read.
   */
  async tick (signal: AbortSignal): Promise<void> {
    const nowMs = this._parts.clock.nowMs()
    this._owner.adopt(nowMs)
    this._owner.expire(nowMs)
    this._keeper.tick()
    this._noteReady(nowMs)
    await this._watch.tick(signal)
  }

  private _noteReady (nowMs: number): void {
    this._adoptedAtMs ??= nowMs
    const waiting = this._owner.endpointIds.some(id => this._owner.isHoldingOff(id, nowMs))
    this._ready ||= !waiting || nowMs - this._adoptedAtMs >= READY_AFTER_MS
  }

  private _ownership (): SlotOwnership {
    const [list, fleet] = [this._parts.hosts(), this._parts.fleet()]
    if (this._placed?.list !== list || this._placed.fleetRevision !== fleet.revision) {
      this._placed = { list, fleetRevision: fleet.revision, ownership: new SlotOwnership(ownedEndpoints(fleet), list) }
    }
    return this._placed.ownership
  }
}
