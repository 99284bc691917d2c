import { EndpointState, FleetConfig } from '../fleet/JaymillFleetConfig.js'
import type { HostList } from '../fleet/JaymillHostList.js'
import type { LeavingReport } from '../ports/peers/JaymillHeartbeatHandler.js'
import { LEAVING_REPORT_TTL_MS, MAX_LEAVING_REPORTS, MAX_LEAVING_REPORTS_PER_HEARTBEAT } from './JaymillMembershipConstants.js'

/** Tracks which endpoints accept new work, from the configuration, the host list and reports of endpoints that are leaving. */
export class EndpointAvailability {
  private readonly _expiryMs = new Map<string, number>()
  private _configLeaving: ReadonlySet<string> = new Set()
  private _listLeaving: ReadonlySet<string> = new Set()

  /**
   * Applies a fleet configuration. Endpoints that are newly marked as leaving are reported to other hosts.
   *
   * @param cfg - Adopted configuration.
   * @param nowMs - Monotonic time in milliseconds.
   * @returns Whether an endpoint is newly marked as leaving.
   */
  adoptConfig (cfg: FleetConfig, nowMs: number): boolean {
    const endpoints = cfg.pools.flatMap(pool => pool.endpoints)
    const before = this._configLeaving
    this._configLeaving = new Set(endpoints.filter(({ state }) => state === EndpointState.Leaving).map(({ id }) => id))
    return this._addReports([...this._configLeaving].filter(id => !before.has(id)), nowMs)
  }

  /**
   * Applies a host list. Endpoints that are newly marked as leaving are reported to other hosts.
   *
   * @param list - Adopted list.
   * @param nowMs - Monotonic time in milliseconds.
   * @returns Whether an endpoint is newly marked as leaving.
   */
  adoptList (list: HostList, nowMs: number): boolean {
    const before = this._listLeaving
    this._listLeaving = new Set(list.leavingEndpoints)
    return this._addReports(list.leavingEndpoints.filter(id => !before.has(id)), nowMs)
  }

  /**
   * Records that an endpoint has reported itself as leaving.
   *
   * @param endpointId - The endpoint.
   * @param nowMs - Monotonic time in milliseconds.
   * @returns Whether the endpoint was not known to be leaving.
   */
  observeLeaving (endpointId: string, nowMs: number): boolean {
    const wasLeaving = !this.accepts(endpointId, nowMs)
    this._addReports([endpointId], nowMs)
    return !wasLeaving
  }

  /**
   * Merges reports from another host. Forwarding never extends a report beyond the expiry set by its first observer.
   *
   * @param reports - Reports of the other host.
   * @param nowMs - Monotonic time in milliseconds.
   * @returns Whether a reported endpoint was not known to be leaving.
   */
  receive (reports: readonly LeavingReport[], nowMs: number): boolean {
    const newReports = reports.filter(({ endpointId, expiresInMs }) => expiresInMs > 0 && this.accepts(endpointId, nowMs))
    reports.forEach(({ endpointId, expiresInMs }) => this._extend(endpointId, nowMs + Math.min(expiresInMs, LEAVING_REPORT_TTL_MS)))
    this._expire(nowMs)
    return newReports.length > 0
  }

  /**
   * Decides whether an endpoint accepts new work.
   *
   * @param endpointId - The endpoint.
   * @param nowMs - Monotonic time in milliseconds.
   * @returns Whether it may get new work.
   */
  accepts (endpointId: string, nowMs: number): boolean {
    const reported = (this._expiryMs.get(endpointId) ?? 0) > nowMs
    return !reported && !this._configLeaving.has(endpointId) && !this._listLeaving.has(endpointId)
  }

  /**
   * Lists the endpoints that are leaving.
   *
   * @param nowMs - Monotonic time in milliseconds.
   * @returns Ids of all endpoints that must not get new work, sorted.
   */
  leaving (nowMs: number): string[] {
    const reported = [...this._expiryMs].filter(([, expiryMs]) => expiryMs > nowMs).map(([id]) => id)
    return [...new Set([...reported, ...this._configLeaving, ...this._listLeaving])].sort()
  }

  /**
   * Builds the reports for the next heartbeat.
   *
   * @param nowMs - Monotonic time in milliseconds.
   * @returns At most `MAX_LEAVING_REPORTS_PER_HEARTBEAT` reports, the latest to expire first.
   */
  reports (nowMs: number): LeavingReport[] {
    return [...this._expiryMs]
      .map(([endpointId, expiryMs]) => ({ endpointId, expiresInMs: expiryMs - nowMs }))
      .filter(({ expiresInMs }) => expiresInMs > 0)
      .sort((a, b) => b.expiresInMs - a.expiresInMs)
      .slice(0, MAX_LEAVING_REPORTS_PER_HEARTBEAT)
  }

  private _addReports (ids: readonly string[], nowMs: number): boolean {
    ids.forEach(id => this._extend(id, nowMs + LEAVING_REPORT_TTL_MS))
    this._expire(nowMs)
    return ids.length > 0
  }

  private _extend (id: string, expiryMs: number): void {
    if (!this._expiryMs.has(id) && this._expiryMs.size >= MAX_LEAVING_REPORTS) return
    this._expiryMs.set(id, Math.max(expiryMs, this._expiryMs.get(id) ?? 0))
  }

  private _expire (nowMs: number): void {
    const expired = [...this._expiryMs].filter(([, expiryMs]) => expiryMs <= nowMs)
    expired.forEach(([id]) => this._expiryMs.delete(id))
  }
}
