import type { Clock } from '@jaymill/core'
import { READ_BURST, SECOND_MS } from './constants.js'

/** Rates that bound reads of the platform. */
export interface ReadRates {
  /** Reads that one host may send, per second. */
  readonly hostReadsPerSecond: number
  /** Reads that all listed hosts together may send, per second. */
  readonly fleetReadsPerSecond: number
}

/**
 * Spaces the reads of one host (generic cell rate algorithm, ITU-T I.371), so that all hosts together stay under a
 * fleet-wide rate: the share of a host shrinks as the host list grows.
 */
export class ReadBudget {
  private readonly _rates: ReadRates
  private readonly _clock: Clock
  private readonly _hostCount: () => number
  private _theoreticalArrivalMs = Number.NEGATIVE_INFINITY

  /**
   * @param rates - Bounds of the rate.
   * @param clock - Source of time.
   * @param hostCount - Hosts in the list now; 0 before the first list.
   */
  constructor (rates: ReadRates, clock: Clock, hostCount: () => number) {
    this._rates = rates
    this._clock = clock
    this._hostCount = hostCount
  }

  /**
   * @returns Reads this host may send now, per second.
   */
  ratePerSecond (): number {
    const share = this._rates.fleetReadsPerSecond / Math.max(1, this._hostCount())
    return Math.min(this._rates.hostReadsPerSecond, share)
  }

  /**
   * Takes one read out of the budget.
   *
   * @returns Time to wait before it may be sent, in milliseconds.
   */
  reserve (): number {
    const intervalMs = SECOND_MS / this.ratePerSecond()
    const now = this._clock.nowMs()
    const arrival = Math.max(this._theoreticalArrivalMs, now)
    this._theoreticalArrivalMs = arrival + intervalMs
    return Math.max(0, arrival - (READ_BURST - 1) * intervalMs - now)
  }
}
