import { HostList, ReservationHandler, SlotAllocator, SlotOwnership } from '@jaymill/core'
import { AccountRateLimiter } from './JaymillAccountRateLimiter.js'
import { EndpointReconciler } from './JaymillEndpointReconciler.js'
import { ownedEndpoints } from './JaymillOwnedEndpoints.js'
import { PeerSlotAllocator } from './JaymillPeerSlotAllocator.js'
import { QueuedSlotAllocator } from './JaymillQueuedSlotAllocator.js'
import { ReservationManager } from './JaymillReservationManager.js'
import type { RoutingContext } from './JaymillRoutingContext.js'
import { OWNER_TICK_MS, READY_AFTER_MS } from './JaymillRoutingTimes.js'
import { SlotOwner } from './JaymillSlotOwner.js'

/** Reserves endpoint capacity for the requests of one host, and handles reservation requests for the endpoints that it owns. */
export class Routing {
  readonly slotAllocator: SlotAllocator
  readonly handler: ReservationHandler
  private readonly _ctx: RoutingContext
  private readonly _owner: SlotOwner
  private readonly _reconciler: EndpointReconciler
  private readonly _reservations: ReservationManager
  private _ownershipCache: { list: HostList, fleetRevision: number, ownership: SlotOwnership } | undefined
  private _startedAtMs: number | undefined
  private _ready = false

  /**
   * @param ctx - Components of the host that routing uses.
   */
  constructor (ctx: RoutingContext) {
    this._ctx = ctx
    this._owner = new SlotOwner(ctx)
    this.handler = this._owner
    this._reconciler = new EndpointReconciler(ctx, this._owner)
    const ownership = (): SlotOwnership => this._ownership()
    this._reservations = new ReservationManager(ctx, this._owner, ownership)
    const allocator = new PeerSlotAllocator(ctx, this._owner, this._reservations, ownership)
    this.slotAllocator = new QueuedSlotAllocator(ctx, allocator, new AccountRateLimiter(ctx, this._owner))
  }

  /** Whether the first takeover of this host's endpoints has ended or timed out; once true, it stays true. */
  get ready (): boolean {
    return this._ready
  }

  /**
   * Runs `tick` periodically until the signal aborts.
   *
   * @param documentsComplete - Returns whether a configuration and a host list are active.
   * @param signal - Stops the periodic runs.
   */
  start (documentsComplete: () => boolean, signal: AbortSignal): void {
    const tick = (): void => { this.tick(signal).catch(err => this._ctx.log.error('reservation maintenance failed', { err })) }
    const timer = setInterval(() => { if (documentsComplete()) tick() }, OWNER_TICK_MS)
    signal.addEventListener('abort', () => clearInterval(timer), { once: true })
  }

  /**
   * Updates ownership, expires and renews reservations, and reads the load reports that are due.
   *
   * @param signal - Cancels the reads.
   * @returns Resolves when the reports that were due have been read.
   */
  async tick (signal: AbortSignal): Promise<void> {
    const nowMs = this._ctx.clock.nowMs()
    this._owner.updateOwnership(nowMs)
    this._owner.expire(nowMs)
    this._reservations.tick()
    this._updateReady(nowMs)
    await this._reconciler.tick(signal)
  }

  private _updateReady (nowMs: number): void {
    this._startedAtMs ??= nowMs
    const waiting = this._owner.endpointIds.some(id => this._owner.isHoldingOff(id, nowMs))
    this._ready ||= !waiting || nowMs - this._startedAtMs >= READY_AFTER_MS
  }

  private _ownership (): SlotOwnership {
    const [list, fleet] = [this._ctx.hosts(), this._ctx.fleet()]
    if (this._ownershipCache?.list !== list || this._ownershipCache.fleetRevision !== fleet.revision) {
      this._ownershipCache = { list, fleetRevision: fleet.revision, ownership: new SlotOwnership(ownedEndpoints(fleet), list) }
    }
    return this._ownershipCache.ownership
  }
}
