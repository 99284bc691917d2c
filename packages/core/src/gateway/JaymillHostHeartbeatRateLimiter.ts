import {
  HOST_HEARTBEAT_COALESCE_MS, HOST_HEARTBEAT_DATAGRAMS_LARGE_PER_S, HOST_HEARTBEAT_DATAGRAMS_PER_S, HOST_HEARTBEAT_INTERVAL_MS,
  HOST_HEARTBEAT_TIMEOUT_INTERVALS, HOST_HEARTBEAT_TIMEOUT_MS, LARGE_FLEET_HOSTS
} from './constants.js'

const MS_PER_SECOND = 1_000

/**
 * Limits how often a host sends heartbeats. Every host reports its load to every other one, so the datagrams of one host grow
 * with the fleet. A fixed rate limit per host makes the hosts of a large fleet report less often, so that the cost per host
 * stays bounded.
 */
export class HostHeartbeatRateLimiter {
  private _lastSentMs = Number.NEGATIVE_INFINITY

  /**
   * @param peers - Hosts that each heartbeat goes to.
   * @returns Shortest interval between two heartbeats, in milliseconds.
   */
  minIntervalMs (peers: number): number {
    const datagramsPerSecond = peers < LARGE_FLEET_HOSTS ? HOST_HEARTBEAT_DATAGRAMS_PER_S : HOST_HEARTBEAT_DATAGRAMS_LARGE_PER_S
    return Math.max(HOST_HEARTBEAT_COALESCE_MS, peers * MS_PER_SECOND / datagramsPerSecond)
  }

  /**
   * @param peers - Hosts that each heartbeat goes to.
   * @returns Interval between two heartbeats of an idle host, in milliseconds.
   */
  idleIntervalMs (peers: number): number {
    return Math.max(HOST_HEARTBEAT_INTERVAL_MS, this.minIntervalMs(peers))
  }

  /**
   * @param peers - Hosts that send heartbeats.
   * @returns Time without a heartbeat after which a host counts as lost, in milliseconds.
   */
  peerTimeoutMs (peers: number): number {
    return Math.max(HOST_HEARTBEAT_TIMEOUT_MS, HOST_HEARTBEAT_TIMEOUT_INTERVALS * this.idleIntervalMs(peers))
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
   * @param peers - Hosts that each heartbeat goes to.
   * @param nowMs - Monotonic time in milliseconds.
   * @returns Time until a changed load may be reported, in milliseconds; changes within it are reported in one heartbeat.
   */
  untilNextMs (peers: number, nowMs: number): number {
    return Math.max(HOST_HEARTBEAT_COALESCE_MS, this._lastSentMs + this.minIntervalMs(peers) - nowMs)
  }

  /**
   * @param peers - Hosts that each heartbeat goes to.
   * @param nowMs - Monotonic time in milliseconds.
   * @returns Whether an idle host has to send its heartbeat now.
   */
  isDue (peers: number, nowMs: number): boolean {
    return nowMs - this._lastSentMs >= this.idleIntervalMs(peers)
  }
}
