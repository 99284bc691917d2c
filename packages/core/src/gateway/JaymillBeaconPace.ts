import {
  BEACON_DATAGRAMS_LARGE_PER_S, BEACON_DATAGRAMS_PER_S, BEACON_GATHER_MS, BEACON_INTERVAL_MS, BEACON_SILENT_INTERVALS, LARGE_FLEET_HOSTS, PEER_SILENT_MS
} from './constants.js'

const SECOND_MS = 1_000

/**
 * Answer to the growth of a fleet in which every host tells every other one of its work: the datagrams of one host stay
 * below a fixed rate, so that a host of a large fleet tells its work less often instead of spending its time on telling it.
 */
export class BeaconPace {
  private _lastMs = Number.NEGATIVE_INFINITY

  /**
   * @param peers - Hosts that each beacon goes to.
   * @returns Shortest time between two beacons, in milliseconds.
   */
  gapMs (peers: number): number {
    const rate = peers < LARGE_FLEET_HOSTS ? BEACON_DATAGRAMS_PER_S : BEACON_DATAGRAMS_LARGE_PER_S
    return Math.max(BEACON_GATHER_MS, peers * SECOND_MS / rate)
  }

  /**
   * @param peers - Hosts that each beacon goes to.
   * @returns Time between two beacons of an idle host, in milliseconds.
   */
  intervalMs (peers: number): number {
    return Math.max(BEACON_INTERVAL_MS, this.gapMs(peers))
  }

  /**
   * @param peers - Hosts that send beacons.
   * @returns Silence after which a host counts as gone, in milliseconds.
   */
  silentMs (peers: number): number {
    return Math.max(PEER_SILENT_MS, BEACON_SILENT_INTERVALS * this.intervalMs(peers))
  }

  /**
   * @param nowMs - Monotonic time at which a beacon was sent, in milliseconds.
   */
  sent (nowMs: number): void {
    this._lastMs = nowMs
  }

  /**
   * @param peers - Hosts that each beacon goes to.
   * @param nowMs - Monotonic time in milliseconds.
   * @returns Time until a changed load may be told, in milliseconds; changes within it go into one beacon.
   */
  untilNextMs (peers: number, nowMs: number): number {
    return Math.max(BEACON_GATHER_MS, this._lastMs + this.gapMs(peers) - nowMs)
  }

  /**
   * @param peers - Hosts that each beacon goes to.
   * @param nowMs - Monotonic time in milliseconds.
   * @returns Whether an idle host has to send its beacon now.
   */
  due (peers: number, nowMs: number): boolean {
    return nowMs - this._lastMs >= this.intervalMs(peers)
  }
}
