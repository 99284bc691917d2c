import { CLOCK_SKEW_MS, LEASE_MS, MAX_EPOCHS } from './constants.js'
import { GroupList, Instant, ownerIn } from './JaymillGroupList.js'
import { ListHistory } from './JaymillListHistory.js'

/** A revision that was active for this host. */
interface ActiveEpoch {
  readonly list: GroupList
  /** Lists that may have been active since the epoch before; `undefined` when some are not known. */
  readonly between: readonly GroupList[] | undefined
  /** Keys minted before this time are never run under the epoch alone, in wall-clock milliseconds. */
  fromMs: number
  /** Whether the epoch began with a declared cold start that this process has lived through. */
  readonly fromColdStart: boolean
  /** Last time at which this host held the lease of the epoch, in wall-clock milliseconds. */
  heldAtMs: number
}

/**
 * Mint-time rule and kept ranges: from which mint time on a key may be run by this host.
 * A host that owned a key in its last active revision, and in all that may have been active since, keeps its time.
 */
export class TakeOver {
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
   * @param list - List that has become active for this host.
   * @param history - Revisions that may have been active.
   * @param at - Time of activation.
   * @param fromColdStart - Whether this process has lived through the list's declared cold start.
   */
  activate (list: GroupList, history: ListHistory, at: Instant, fromColdStart: boolean): void {
    const last = this._epochs.at(-1)
    const between = last === undefined ? undefined : history.between(last.list.revision, list.revision)
    const fromMs = this._mintFloorMs(at.wallMs + LEASE_MS)
    this._epochs.push({ list, between, fromMs, fromColdStart, heldAtMs: -Infinity })
    this._epochs = this._epochs.slice(-MAX_EPOCHS)
  }

  /**
   * Brings the latest epoch's time forward once no other host can act under an earlier revision.
   *
   * @param at - Time at which that became known.
   */
  allMoved (at: Instant): void {
    const last = this._epochs.at(-1)
    if (last !== undefined) last.fromMs = Math.min(last.fromMs, this._mintFloorMs(at.wallMs))
  }

  /**
   * Records that the lease of the latest epoch is held.
   *
   * @param at - Time at which it is held.
   */
  held (at: Instant): void {
    const last = this._epochs.at(-1)
    if (last !== undefined) last.heldAtMs = Math.max(last.heldAtMs, at.wallMs)
  }

  /** Forgets all epochs. */
  clear (): void {
    this._epochs = []
  }

  /** Revision of the latest epoch, or 0. */
  get revision (): number {
    return this._epochs.at(-1)?.list.revision ?? 0
  }

  /** Mint time from which the latest epoch runs keys that this host did not own before, in wall-clock milliseconds. */
  get fromMs (): number {
    return this._epochs.at(-1)?.fromMs ?? Infinity
  }

  /**
   * Tells whether no other process can have run a key, as its mint time shows.
   *
   * @param key - Key with its scope.
   * @param self - Id of this host.
   * @param mintMs - Mint time in wall-clock milliseconds; a key without a time (`undefined`) is accepted only by a host
   * that has owned it since a declared cold start.
   * @returns False for a key that this host does not own, or that an earlier owner may have run.
   */
  accepts (key: string, self: string, mintMs: number | undefined): boolean {
    const first = this._firstOwned(key, self)
    if (first === undefined) return false
    return mintMs === undefined ? first.fromColdStart : mintMs > first.fromMs
  }

  /**
   * Latest mint time that this host could have run under its latest epoch, and that no later owner runs.
   *
   * @returns Wall-clock milliseconds.
   */
  get closedMs (): number {
    return (this._epochs.at(-1)?.heldAtMs ?? -Infinity) + this._skewMs
  }

  /**
   * An earlier owner accepts keys minted up to the skew ahead of its clock, which itself differs by the skew.
   *
   * @param lastActMs - Wall-clock time after which no earlier owner acts, in milliseconds.
   * @returns Earliest mint time that only a later owner accepts, in wall-clock milliseconds.
   */
  protected _mintFloorMs (lastActMs: number): number {
    return lastActMs + 2 * this._skewMs
  }

  private _firstOwned (key: string, self: string): ActiveEpoch | undefined {
    const owns = (list: GroupList) => ownerIn(key, list) === self
    const last = this._epochs.length - 1
    const ownsSince = (i: number): boolean => {
      const epoch = this._epochs[i]
      return epoch?.between !== undefined && epoch.between.every(owns) && this._owns(i - 1, owns)
    }
    if (!this._owns(last, owns)) return undefined
    const steps = this._epochs.map((_, i) => last - i).findIndex(i => !ownsSince(i))
    return this._epochs[last - Math.max(0, steps)]
  }

  private _owns (i: number, owns: (list: GroupList) => boolean): boolean {
    const epoch = this._epochs[i]
    return epoch !== undefined && owns(epoch.list)
  }
}
