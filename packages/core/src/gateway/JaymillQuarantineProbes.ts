import { PROBE_INTERVAL_MS, PROBE_MIN_SHARE, PROBE_WINDOW_REQUESTS } from './constants.js'

/**
 * Lets a request through from time to time while one quarantined key refuses a large share of all requests. Such a key is more
 * likely to be shared by harmless requests than to be the cause, and while all of them are refused, none could prove it sound.
 */
export class QuarantineProbes {
  /** Keys that refused the latest requests; `undefined` for those that were accepted. */
  private _latest: ReadonlyArray<string | undefined> = []
  private readonly _probedMs = new Map<string, number>()

  /** Records a request that was accepted. */
  accepted (): void {
    this._record(undefined)
  }

  /**
   * Decides whether a quarantined request is let through.
   *
   * @param key - Key because of which it would be refused.
   * @param hosts - Number of hosts, which share the rate of probes.
   * @param nowMs - Monotonic time in milliseconds.
   * @returns Whether it is a probe.
   */
  tryProbe (key: string, hosts: number, nowMs: number): boolean {
    this._record(key)
    const refused = this._latest.filter(other => other === key).length
    if (this._latest.length < PROBE_WINDOW_REQUESTS || refused < PROBE_MIN_SHARE * PROBE_WINDOW_REQUESTS) return false
    if (nowMs - (this._probedMs.get(key) ?? Number.NEGATIVE_INFINITY) < PROBE_INTERVAL_MS * Math.max(1, hosts)) return false
    this._probedMs.clear()
    this._probedMs.set(key, nowMs)
    return true
  }

  private _record (key: string | undefined): void {
    this._latest = [...this._latest, key].slice(-PROBE_WINDOW_REQUESTS)
  }
}
