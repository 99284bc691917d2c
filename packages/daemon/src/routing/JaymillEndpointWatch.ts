import { AdapterKind, findOrphans, fleetIndex, ReservationState, LoadReport, RunningRequest } from '@jaymill/core'
import type { RoutingParts } from './JaymillRoutingParts.js'
import { REPORT_TIMEOUT_MS, SETTLED_REPORT_MS, TAKE_OVER_REPORT_MS, UNSETTLED_REPORT_MS } from './JaymillRoutingTimes.js'
import type { SlotOwner } from './JaymillSlotOwner.js'

const NOTHING_RUNS: LoadReport = { running: [], heldPieces: 0, ageMs: 0 }

/** Reads the lists of running requests that the owner's books need, and cancels orphans. */
export class EndpointWatch {
  private readonly _parts: RoutingParts
  private readonly _owner: SlotOwner
  private readonly _readAtMs = new Map<string, number>()

  /**
   * @param parts - Parts of the host.
   * @param owner - Books of this host.
   */
  constructor (parts: RoutingParts, owner: SlotOwner) {
    this._parts = parts
    this._owner = owner
  }

  /**
   * Reads every report that is due.
   *
   * @param signal - Gives up.
   * @returns When all reads have ended; failed ones are tried again when next due.
   */
  async tick (signal: AbortSignal): Promise<void> {
    const nowMs = this._parts.clock.nowMs()
    const due = this._owner.endpointIds.filter(id => this._isDue(id, nowMs))
    due.forEach(id => this._readAtMs.set(id, nowMs))
    await Promise.all(due.map(id => this._read(id, signal)))
  }

  private _isDue (endpointId: string, nowMs: number): boolean {
    return nowMs - (this._readAtMs.get(endpointId) ?? Number.NEGATIVE_INFINITY) >= this._periodMs(endpointId, nowMs)
  }

  private _periodMs (endpointId: string, nowMs: number): number {
    if (this._owner.isHoldingOff(endpointId, nowMs)) return TAKE_OVER_REPORT_MS
    const unsettled = this._owner.grantsOf(endpointId).some(({ state }) => state !== ReservationState.Held)
    return unsettled ? UNSETTLED_REPORT_MS : SETTLED_REPORT_MS
  }

  private async _read (endpointId: string, signal: AbortSignal): Promise<void> {
    const index = fleetIndex(this._parts.fleet())
    const { url } = index.endpoint(endpointId)
    const { adapter } = index.poolOfEndpoint(endpointId)
    const askedAtMs = this._parts.clock.nowMs()
    const limited = AbortSignal.any([signal, AbortSignal.timeout(REPORT_TIMEOUT_MS)])
    const report = await this._parts.engines.load(url, limited)
      .catch(() => adapter === AdapterKind.Http ? NOTHING_RUNS : undefined)
    if (report === undefined || signal.aborted || !this._owner.endpointIds.includes(endpointId)) return
    const nowMs = this._parts.clock.nowMs()
    this._owner.reconcile(endpointId, { ...report, ageMs: report.ageMs + nowMs - askedAtMs }, nowMs)
    if (this._owner.owns(endpointId)) await this._cancelOrphans(endpointId, url, report.running, limited)
  }

  private async _cancelOrphans (
    endpointId: string, url: string, running: readonly RunningRequest[], signal: AbortSignal
  ): Promise<void> {
    const holders = new Set(running.map(({ hostId }) => hostId))
    const facts = this._owner.facts.all(this._parts.hosts(), holders, this._parts.clock.nowMs())
    await Promise.all(findOrphans(running, facts).map(async ({ request, verdict }) => {
      this._parts.log.warn('orphan cancelled', { endpointId, requestId: request.requestId, host: request.hostId, verdict })
      await this._parts.engines.cancel(url, request.requestId, signal, request.attempt).catch(() => undefined)
    }))
  }
}
