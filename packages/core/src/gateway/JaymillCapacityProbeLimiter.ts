import {
  FULL_ENGINE_PROBE_INTERVAL_MS, FULL_ENGINE_PROBE_INTERVAL_PER_ENGINE_MS, REFUSAL_BACKOFF_PER_ENGINE_MS
} from './constants.js'

/**
 * Limits the reservation requests that a host sends while many hosts wait for capacity at the same full engines, so that their
 * rate does not grow with the pool. An engine that has refused a reservation is not probed for some time, even if the hosts
 * report a low load for it. An engine that seems full is still probed at an interval, since load reports may be late or lost.
 */
export class CapacityProbeLimiter {
  private readonly _probedMs = new Map<string, number>()
  private readonly _refusedMs = new Map<string, number>()

  /**
   * Records a reservation request.
   *
   * @param engineId - Engine that was probed.
   * @param nowMs - Monotonic time in milliseconds.
   */
  recordProbe (engineId: string, nowMs: number): void {
    this._probedMs.set(engineId, nowMs)
  }

  /**
   * Records a refused reservation.
   *
   * @param engineId - Engine without free capacity.
   * @param nowMs - Monotonic time in milliseconds.
   */
  recordRefusal (engineId: string, nowMs: number): void {
    this._refusedMs.set(engineId, nowMs)
  }

  /**
   * Allows an engine to be probed again at once.
   *
   * @param engineId - Engine at which a request of this host has ended.
   */
  recordRelease (engineId: string): void {
    this._refusedMs.delete(engineId)
    this._probedMs.delete(engineId)
  }

  /**
   * @param engineId - An engine.
   * @param hasCapacity - Whether it has enough free capacity for the request according to the reported load.
   * @param engines - Number of engines in the pool.
   * @param nowMs - Monotonic time in milliseconds.
   * @returns Whether to send it a reservation request now.
   */
  shouldProbe (engineId: string, hasCapacity: boolean, engines: number, nowMs: number): boolean {
    const sinceRefusedMs = nowMs - (this._refusedMs.get(engineId) ?? Number.NEGATIVE_INFINITY)
    if (sinceRefusedMs < engines * REFUSAL_BACKOFF_PER_ENGINE_MS) return false
    const sinceProbedMs = nowMs - (this._probedMs.get(engineId) ?? Number.NEGATIVE_INFINITY)
    return hasCapacity || sinceProbedMs >= Math.max(FULL_ENGINE_PROBE_INTERVAL_MS, engines * FULL_ENGINE_PROBE_INTERVAL_PER_ENGINE_MS)
  }
}
