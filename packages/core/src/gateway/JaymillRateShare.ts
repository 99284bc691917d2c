import { fingerprint } from '../health/JaymillFingerprint.js'
import { ASSIGNED_RATE_SHARE } from './constants.js'

/** Part of the limit of an endpoint that one host may use. */
export interface HostShare {
  /** Requests per second; 0 for none. */
  readonly perS: number
  /** Whether what other hosts have sent counts against the rate. */
  readonly countOthers: boolean
}

/** Divides the rate that an endpoint accepts among the hosts. */
export abstract class RateShare {
  /**
   * @param endpointId - An endpoint.
   * @param limitPerS - Requests per second that it accepts from all hosts together.
   * @returns The part of this host.
   */
  abstract of (endpointId: string, limitPerS: number): HostShare
}

/** Each host may use the whole rate, less what the others report to have sent. For fleets in which reports arrive at once. */
export class CountedRateShare extends RateShare {
  /** {@inheritDoc RateShare.of} */
  of (_endpointId: string, limitPerS: number): HostShare {
    return { perS: limitPerS, countOthers: true }
  }
}

/**
 * A few hosts use equal parts of the rate, the others none. For fleets in which reports are late: equal parts for all hosts would
 * be so small that each saves up a whole request, and all of them could send it at once. The hosts are chosen by rendezvous hashing
 * (Thaler and Ravishankar 1998), so that different endpoints are used by different hosts.
 */
export class AssignedRateShare extends RateShare {
  private readonly _own: string
  private readonly _hosts: readonly string[]
  private readonly _ranks = new Map<string, number>()

  /**
   * @param own - Address of this host.
   * @param peers - Addresses of the other live hosts.
   */
  constructor (own: string, peers: readonly string[]) {
    super()
    this._own = own
    this._hosts = [own, ...peers]
  }

  /** {@inheritDoc RateShare.of} */
  of (endpointId: string, limitPerS: number): HostShare {
    const users = Math.min(this._hosts.length, Math.max(1, Math.ceil(limitPerS)))
    return { perS: this._rank(endpointId) < users ? ASSIGNED_RATE_SHARE * limitPerS / users : 0, countOthers: false }
  }

  /** Number of hosts that are chosen before this one. */
  private _rank (endpointId: string): number {
    const known = this._ranks.get(endpointId)
    if (known !== undefined) return known
    const own = fingerprint([endpointId, this._own])
    const rank = this._hosts.filter(host => host !== this._own && fingerprint([endpointId, host]) < own).length
    this._ranks.set(endpointId, rank)
    return rank
  }
}
