/** Divides the quota of an account among the hosts. */
export abstract class QuotaShare {
  /** Whether the use that other hosts report counts against the part of a host. */
  abstract readonly countsOthers: boolean

  /**
   * @param inTouch - Hosts that this one is in touch with, itself included.
   * @param known - Hosts that may be serving requests, whether or not this one is in touch with them.
   * @returns Share of the quota that a host counts use against, from 0 to 1.
   */
  abstract part (inTouch: number, known: number): number
}

/** Each host has an equal part of the quota, whatever callers ask it for. */
export class EqualQuotaShare extends QuotaShare {
  readonly countsOthers = false

  /** {@inheritDoc QuotaShare.part} */
  part (_inTouch: number, known: number): number {
    return 1 / Math.max(1, known)
  }
}

/**
 * Hosts count their use together, so that each gets what its callers ask for until the quota is used up, and from then on the part
 * that corresponds to their demand. For accounts that send many times their usual over an uneven balancer. Hosts that are out of touch
 * with each other use no more than their parts by number and half of the overage; the other half is left to late reports.
 */
export class CountedQuotaShare extends QuotaShare {
  readonly countsOthers: boolean = true
  private readonly _overage: number

  /**
   * @param overage - Share by which a quota may be exceeded.
   */
  constructor (overage: number) {
    super()
    this._overage = overage
  }

  /** {@inheritDoc QuotaShare.part} */
  part (inTouch: number, known: number): number {
    return Math.min(1, (1 + this._overage / 2) * inTouch / Math.max(1, known))
  }
}
