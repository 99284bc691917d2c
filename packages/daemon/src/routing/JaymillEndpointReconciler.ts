import { AdapterKind, findOrphans, fleetIndex, LoadReport, ReservationState, RunningRequest } from '@jaymill/core'
import type { RoutingContext } from './JaymillRoutingContext.js'
import { REPORT_TIMEOUT_MS, SETTLED_REPORT_MS, TAKE_OVER_REPORT_MS, UNSETTLED_REPORT_MS } from './JaymillRoutingTimes.js'
import type { SlotOwner } from './JaymillSlotOwner.js'

const EMPTY_REPORT: LoadReport = { running: [], heldPieces: 0, ageMs: 0 }

/** Reads the running requests of endpoints, reconciles the ledgers of this host with them, and cancels orphans. */
export class EndpointReconciler {
  private readonly _ctx: RoutingContext
  private readonly _owner: SlotOwner
  private readonly _readAtMs = new Map<string, number>()

  /**
   * @param ctx - Components of the host that routing uses.
   * @param owner - Ledgers of this host.
   */
  constructor (ctx: RoutingContext, owner: SlotOwner) {
    this._ctx = ctx
    this._owner = owner
  }

  /**
   * Reads every load report that is due.
   *
   * @param signal - Cancels the reads.
   * @returns Resolves when all reads have ended; a failed read is repeated when it is next due.
   */
  async tick (signal: AbortSignal): Promise<void> {
    const nowMs = this._ctx.clock.nowMs()
    const due = this._owner.endpointIds.filter(id => this._isDue(id, nowMs))
    due.forEach(id => this._readAtMs.set(id, nowMs))
    await Promise.all(due.map(id => this._reconcile(id, signal)))
  }

  private _isDue (endpointId: string, nowMs: number): boolean {
    return nowMs - (this._readAtMs.get(endpointId) ?? Number.NEGATIVE_INFINITY) >= this._intervalMs(endpointId, nowMs)
  }

  private _intervalMs (endpointId: string, nowMs: number): number {
    if (this._owner.isHoldingOff(endpointId, nowMs)) return TAKE_OVER_REPORT_MS
    const unsettled = this._owner.reservationsOf(endpointId).some(({ state }) => state !== ReservationState.Held)
    return unsettled ? UNSETTLED_REPORT_MS : SETTLED_REPORT_MS
  }

  private async _reconcile (endpointId: string, signal: AbortSignal): Promise<void> {
    const index = fleetIndex(this._ctx.fleet())
    const { url } = index.endpoint(endpointId)
    const { adapter } = index.poolOfEndpoint(endpointId)
    const requestedAtMs = this._ctx.clock.nowMs()
    const timeoutSignal = AbortSignal.any([signal, AbortSignal.timeout(REPORT_TIMEOUT_MS)])
    const report = await this._ctx.engines.load(url, timeoutSignal)
      .catch(() => adapter === AdapterKind.Http ? EMPTY_REPORT : undefined)
    if (report === undefined || signal.aborted || !this._owner.endpointIds.includes(endpointId)) return
    const nowMs = this._ctx.clock.nowMs()
    this._owner.reconcile(endpointId, { ...report, ageMs: report.ageMs + nowMs - requestedAtMs }, nowMs)
    if (this._owner.owns(endpointId)) await this._cancelOrphans(endpointId, url, report.running, timeoutSignal)
  }

  private async _cancelOrphans (
    endpointId: string, url: string, running: readonly RunningRequest[], signal: AbortSignal
  ): Promise<void> {
    const reservationHosts = new Set(running.map(({ hostId }) => hostId))
    const liveness = this._owner.liveness.snapshot(this._ctx.hosts(), reservationHosts, this._ctx.clock.nowMs())
    await Promise.all(findOrphans(running, liveness).map(async ({ request, verdict }) => {
      this._ctx.log.warn('orphan cancelled', { endpointId, requestId: request.requestId, host: request.hostId, verdict })
      await this._ctx.engines.cancel(url, request.requestId, signal, request.attempt).catch(() => undefined)
    }))
  }
}
