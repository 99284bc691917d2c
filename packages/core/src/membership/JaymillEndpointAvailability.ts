import { EndpointState, FleetConfig } from '../fleet/JaymillFleetConfig.js'
import type { HostList } from '../fleet/JaymillHostList.js'
import type { LeavingMark } from '../ports/peers/JaymillHeartbeatHandler.js'
import { LEAVING_MARK_MS, MAX_MARKS, MAX_MARKS_PER_BEAT } from './JaymillMembershipConstants.js'

/** This host's own view of which endpoints may get new work. */
export class EndpointAvailability {
  private readonly _expiryMs = new Map<string, number>()
  private _configLeaving: ReadonlySet<string> = new Set()
  private _listLeaving: ReadonlySet<string> = new Set()

  /**
   * Takes in a fleet configuration; endpoints that newly leave are reported to other hosts.
   *
   * @param cfg - Adopted configuration.
   * @param nowMs - Time in milliseconds.
   * @returns Whether an endpoint newly leaves.
   */
  adoptConfig (cfg: FleetConfig, nowMs: number): boolean {
    const endpoints = cfg.pools.flatMap(pool => pool.endpoints)
    const before = this._configLeaving
    this._configLeaving = new Set(endpoints.filter(({ state }) => state === EndpointState.Leaving).map(({ id }) => id))
    return this._report([...this._configLeaving].filter(id => !before.has(id)), nowMs)
  }

  /**
   * Takes in a host list; endpoints that newly leave are reported to other hosts.
   *
   * @param list - Adopted list.
   * @param nowMs - Time in milliseconds.
   * @returns Whether an endpoint newly leaves.
   */
  adoptList (list: HostList, nowMs: number): boolean {
    const before = this._listLeaving
    this._listLeaving = new Set(list.leavingEndpoints)
    return this._report(list.leavingEndpoints.filter(id => !before.has(id)), nowMs)
  }

  /**
   * Records that an endpoint itself has said that it is leaving.
   *
   * @param endpointId - The endpoint.
   * @param nowMs - Time in milliseconds.
   * @returns Whether this was not known yet.
   */
  observeLeaving (endpointId: string, nowMs: number): boolean {
    const known = !this.accepts(endpointId, nowMs)
    this._report([endpointId], nowMs)
    return !known
  }

  /**
   * Takes in other hosts' reports. A report never outlives the time that its first observer gave it.
   *
   * @param marks - Reports.
   * @param nowMs - Time in milliseconds.
   * @returns Whether a report was not known yet.
   */
  receive (marks: readonly LeavingMark[], nowMs: number): boolean {
    const news = marks.filter(({ endpointId, expiresInMs }) => expiresInMs > 0 && this.accepts(endpointId, nowMs))
    marks.forEach(({ endpointId, expiresInMs }) => this._extend(endpointId, nowMs + Math.min(expiresInMs, LEAVING_MARK_MS)))
    this._expire(nowMs)
    return news.length > 0
  }

  /**
   * @param endpointId - An endpoint.
   * @param nowMs - Time in milliseconds.
   * @returns Whether the endpoint may get new work.
   */
  accepts (endpointId: string, nowMs: number): boolean {
    const marked = (this._expiryMs.get(endpointId) ?? 0) > nowMs
    return !marked && !this._configLeaving.has(endpointId) && !this._listLeaving.has(endpointId)
  }

  /**
   * @param nowMs - Time in milliseconds.
   * @returns Ids of all endpoints that may not get new work.
   */
  leaving (nowMs: number): string[] {
    const marked = [...this._expiryMs].filter(([, expiryMs]) => expiryMs > nowMs).map(([id]) => id)
    return [...new Set([...marked, ...this._configLeaving, ...this._listLeaving])].sort()
  }

  /**
   * @param nowMs - Time in milliseconds.
   * @returns Reports to be passed on, the freshest first.
   */
  marks (nowMs: number): LeavingMark[] {
    return [...this._expiryMs]
      .map(([endpointId, expiryMs]) => ({ endpointId, expiresInMs: expiryMs - nowMs }))
      .filter(({ expiresInMs }) => expiresInMs > 0)
      .sort((a, b) => b.expiresInMs - a.expiresInMs)
      .slice(0, MAX_MARKS_PER_BEAT)
  }

  private _report (ids: readonly string[], nowMs: number): boolean {
    ids.forEach(id => this._extend(id, nowMs + LEAVING_MARK_MS))
    this._expire(nowMs)
    return ids.length > 0
  }

  private _extend (id: string, expiryMs: number): void {
    if (!this._expiryMs.has(id) && this._expiryMs.size >= MAX_MARKS) return
    this._expiryMs.set(id, Math.max(expiryMs, this._expiryMs.get(id) ?? 0))
  }

  private _expire (nowMs: number): void {
    const expired = [...this._expiryMs].filter(([, expiryMs]) => expiryMs <= nowMs)
    expired.forEach(([id]) => this._expiryMs.delete(id))
  }
}
