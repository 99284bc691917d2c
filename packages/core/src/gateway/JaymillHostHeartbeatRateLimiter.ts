import {
  HOST_HEARTBEAT_COALESCE_MS, HOST_HEARTBEAT_DATAGRAMS_PER_S, HOST_HEARTBEAT_INTERVAL_MS, HOST_HEARTBEAT_TIMEOUT_MS,
  LARGE_FLEET_HOSTS, RELAYED_HOST_TIMEOUT_MS, REPORT_IDLE_INTERVAL_MS, REPORT_INTERVAL_MS
} from './constants.js'

const MS_PER_SECOND = 1_000

/**
 * Limits how often a host reports its work. In a small fleet it reports to every other host, at a limited rate of datagrams; in
 * a large one to its relays, at a fixed interval, so that the cost of a host does not grow with the fleet.
 */
export class HostHeartbeatRateLimiter {
  private _lastSentMs = Number.NEGATIVE_INFINITY

  /**
   * @param peers - Number of other hosts.
   * @returns Whether a host reports to relays instead of to all other hosts.
   */
  usesRelays (peers: number): boolean {
    return peers >= LARGE_FLEET_HOSTS
  }

  /**
   * @param peers - Number of other hosts.
   * @returns Shortest interval between two reports, in milliseconds.
   */
  minIntervalMs (peers: number): number {
    if (this.usesRelays(peers)) return REPORT_INTERVAL_MS
    return Math.max(HOST_HEARTBEAT_COALESCE_MS, peers * MS_PER_SECOND / HOST_HEARTBEAT_DATAGRAMS_PER_S)
  }

  /**
   * @param peers - Number of other hosts.
   * @returns Interval between two reports of an idle host, in milliseconds.
   */
  idleIntervalMs (peers: number): number {
    return this.usesRelays(peers) ? REPORT_IDLE_INTERVAL_MS : HOST_HEARTBEAT_INTERVAL_MS
  }

  /**
   * @param peers - Number of other hosts.
   * @returns Time without a sign of a host after which it counts as lost, in milliseconds.
   */
  peerTimeoutMs (peers: number): number {
    return this.usesRelays(peers) ? RELAYED_HOST_TIMEOUT_MS : HOST_HEARTBEAT_TIMEOUT_MS
  }

  /**
   * Records that a heartbeat was sent.
   *
   * @param nowMs - Monotonic time of the heartbeat, in milliseconds.
   */
  recordSent (nowMs: number): void {
    this._lastSentMs = nowMs
  }

  /**
   * @param peers - Number of other hosts.
   * @param nowMs - Monotonic time in milliseconds.
   * @returns Time until a changed load may be reported, in milliseconds; changes within it are reported in one heartbeat.
   */
  untilNextMs (peers: number, nowMs: number): number {
    return Math.max(HOST_HEARTBEAT_COALESCE_MS, this._lastSentMs + this.minIntervalMs(peers) - nowMs)
  }

  /**
   * @param peers - Number of other hosts.
   * @param nowMs - Monotonic time in milliseconds.
   * @returns Whether an idle host has to send its heartbeat now.
   */
  isDue (peers: number, nowMs: number): boolean {
    return nowMs - this._lastSentMs >= this.idleIntervalMs(peers)
  }
}
