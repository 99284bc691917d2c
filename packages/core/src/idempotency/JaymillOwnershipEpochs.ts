import { CLOCK_SKEW_MS, LEASE_MS, MAX_EPOCHS } from './constants.js'
import { LeaseGroup, Instant, ownerIn } from './JaymillLeaseGroup.js'
import { RevisionHistory } from './JaymillRevisionHistory.js'

/** Period in which one revision was active for this host. */
interface ActiveEpoch {
  readonly group: LeaseGroup
  /** Groups that may have been active since the previous epoch; `undefined` if some are unknown. */
  readonly groupsBetween: readonly LeaseGroup[] | undefined
  /** Keys that this host owns only since this epoch run only if minted after this time, in wall-clock milliseconds. */
  mintFloorMs: number
  /** Whether the epoch began with a declared cold start, and this process was already running then. */
  readonly fromColdStart: boolean
  /** Last time at which this host held the lease of the epoch, in wall-clock milliseconds. */
  leaseHeldAtMs: number
}

/**
 * Mint-time rule: determines from which mint time on this host may run a key. A host that already owned the key under its
 * previous active revision, and under every revision that may have been active since, keeps its earlier mint-time floor.
 */
export class OwnershipEpochs {
  private readonly _skewMs: number
  private _epochs: ActiveEpoch[] = []

  /**
   * @param skewMs - Largest difference between the wall clocks of two hosts, in milliseconds.
   */
  constructor (skewMs = CLOCK_SKEW_MS) {
    this._skewMs = skewMs
  }

  /**
   * Begins an epoch.
   *
   * @param group - Group that has become active for this host.
   * @param history - Revisions that may have been active.
   * @param at - Time of activation.
   * @param fromColdStart - Whether this process was already running when the cold start of this revision was declared.
   */
  activate (group: LeaseGroup, history: RevisionHistory, at: Instant, fromColdStart: boolean): void {
    const last = this._epochs.at(-1)
    const groupsBetween = last === undefined ? undefined : history.between(last.group.revision, group.revision)
    const mintFloorMs = this._mintFloorAfter(at.wallMs + LEASE_MS)
    this._epochs.push({ group, groupsBetween, mintFloorMs, fromColdStart, leaseHeldAtMs: -Infinity })
    this._epochs = this._epochs.slice(-MAX_EPOCHS)
  }

  /**
   * Lowers the mint-time floor of the latest epoch once no other host can act under an earlier revision.
   *
   * @param at - Time at which this was established.
   */
  lowerMintFloor (at: Instant): void {
    const last = this._epochs.at(-1)
    if (last !== undefined) last.mintFloorMs = Math.min(last.mintFloorMs, this._mintFloorAfter(at.wallMs))
  }

  /**
   * Records that the lease of the latest epoch is held.
   *
   * @param at - Time at which it is held.
   */
  recordLeaseHeld (at: Instant): void {
    const last = this._epochs.at(-1)
    if (last !== undefined) last.leaseHeldAtMs = Math.max(last.leaseHeldAtMs, at.wallMs)
  }

  /** Removes all epochs. */
  clear (): void {
    this._epochs = []
  }

  /** Revision of the latest epoch, or 0. */
  get revision (): number {
    return this._epochs.at(-1)?.group.revision ?? 0
  }

  /** Mint time after which this host may run keys that it owns only since the latest epoch, in wall-clock milliseconds. */
  get mintFloorMs (): number {
    return this._epochs.at(-1)?.mintFloorMs ?? Infinity
  }

  /**
   * Checks by the mint time of a key that no other process can have run it.
   *
   * @param key - Key with its scope.
   * @param self - Id of this host.
   * @param mintMs - Mint time in wall-clock milliseconds; a key without a time (`undefined`) is accepted only by a host
   * that has owned it since a declared cold start.
   * @returns False for a key that this host does not own, or that an earlier owner may have run.
   */
  accepts (key: string, self: string, mintMs: number | undefined): boolean {
    const first = this._firstOwnedEpoch(key, self)
    if (first === undefined) return false
    return mintMs === undefined ? first.fromColdStart : mintMs > first.mintFloorMs
  }

  /**
   * Latest mint time of the keys that this host may have run under its latest epoch and that no later owner runs.
   *
   * @returns Wall-clock milliseconds.
   */
  get closedUntilMs (): number {
    return (this._epochs.at(-1)?.leaseHeldAtMs ?? -Infinity) + this._skewMs
  }

  /**
   * Computes the mint-time floor from the time at which earlier owners stop acting. An earlier owner accepts keys minted up
   * to the clock skew ahead of its clock, and that clock may itself differ by the skew; hence twice the skew.
   *
   * @param lastActMs - Wall-clock time after which no earlier owner acts, in milliseconds.
   * @returns Latest mint time that an earlier owner may have accepted, in wall-clock milliseconds.
   */
  protected _mintFloorAfter (lastActMs: number): number {
    return lastActMs + 2 * this._skewMs
  }

  private _firstOwnedEpoch (key: string, self: string): ActiveEpoch | undefined {
    const owns = (group: LeaseGroup) => ownerIn(key, group) === self
    const last = this._epochs.length - 1
    const ownsSince = (i: number): boolean => {
      const epoch = this._epochs[i]
      return epoch?.groupsBetween !== undefined && epoch.groupsBetween.every(owns) && this._owns(i - 1, owns)
    }
    if (!this._owns(last, owns)) return undefined
    const steps = this._epochs.map((_, i) => last - i).findIndex(i => !ownsSince(i))
    return this._epochs[last - Math.max(0, steps)]
  }

  private _owns (i: number, owns: (group: LeaseGroup) => boolean): boolean {
    const epoch = this._epochs[i]
    return epoch !== undefined && owns(epoch.group)
  }
}
