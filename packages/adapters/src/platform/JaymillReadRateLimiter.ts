import type { Clock } from '@jaymill/core'
import { READ_BURST, MS_PER_SECOND } from './constants.js'

/** Rate limits for reads from the configuration source. */
export interface ReadRateLimits {
  /** Limit for one host, in reads per second. */
  readonly hostReadsPerSecond: number
  /** Limit for all listed hosts together, in reads per second. */
  readonly fleetReadsPerSecond: number
}

/**
 * Limits the read rate of one host (generic cell rate algorithm, ITU-T I.371) so that all hosts together stay under a
 * fleet-wide rate: the share of a host shrinks as the host list grows.
 */
export class ReadRateLimiter {
  private readonly _limits: ReadRateLimits
  private readonly _clock: Clock
  private readonly _hostCount: () => number
  private _theoreticalArrivalMs = Number.NEGATIVE_INFINITY

  /**
   * @param limits - Rate limits.
   * @param clock - Source of time.
   * @param hostCount - Returns the number of hosts in the current list; 0 before the first list.
   */
  constructor (limits: ReadRateLimits, clock: Clock, hostCount: () => number) {
    this._limits = limits
    this._clock = clock
    this._hostCount = hostCount
  }

  /**
   * Computes the rate limit for this host from the current host count.
   *
   * @returns Current limit for this host, in reads per second.
   */
  ratePerSecond (): number {
    const share = this._limits.fleetReadsPerSecond / Math.max(1, this._hostCount())
    return Math.min(this._limits.hostReadsPerSecond, share)
  }

  /**
   * Reserves one read.
   *
   * @returns Time to wait before the read may be sent, in milliseconds.
   */
  reserve (): number {
    const intervalMs = MS_PER_SECOND / this.ratePerSecond()
    const now = this._clock.nowMs()
    const arrival = Math.max(this._theoreticalArrivalMs, now)
    this._theoreticalArrivalMs = arrival + intervalMs
    return Math.max(0, arrival - (READ_BURST - 1) * intervalMs - now)
  }
}
