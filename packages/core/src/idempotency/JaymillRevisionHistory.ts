import { invariant } from '../JaymillInvariant.js'
import { MAX_ENDED_REVISIONS } from './constants.js'
import { LeaseGroup } from './JaymillLeaseGroup.js'
import { LeaseResponse } from './JaymillLeaseMessages.js'

/**
 * Revisions that this host adopted, and all revisions that may have been active according to the responses received.
 * A revision below the floor has ended: a later one was active, so no majority confirms it any more.
 */
export class RevisionHistory {
  private _groups = new Map<number, LeaseGroup>()
  private _endedAtMs = new Map<number, number>()
  private _adopted: number[] = []
  private _floor = 0
  private _completeFrom = Infinity
  private _gapAtMs = -Infinity

  /** Group of the highest revision that this host adopted, or `undefined`. */
  get current (): LeaseGroup | undefined {
    const revision = this._adopted.at(-1)
    return revision === undefined ? undefined : this._groups.get(revision)
  }

  /** Revisions that this process adopted, ascending. */
  get adopted (): readonly number[] {
    return this._adopted
  }

  /** Highest revision known to have been active. */
  get floor (): number {
    return this._floor
  }

  /** From this revision on, the history contains every revision that may have been active. */
  get completeFrom (): number {
    return this._completeFrom
  }

  /** Monotonic time up to which revisions missing from the history may have been active, in milliseconds. */
  get gapAtMs (): number {
    return this._gapAtMs
  }

  /** Revisions that may have been active, ascending. */
  get revisions (): number[] {
    return [...this._groups.keys()].sort((a, b) => a - b)
  }

  /**
   * Finds the group of a revision.
   *
   * @param revision - Revision of the published list.
   * @returns Its group, or `undefined` if this host does not have it.
   */
  group (revision: number): LeaseGroup | undefined {
    return this._groups.get(revision)
  }

  /**
   * Adopts a revision unless it is lower than the highest one adopted.
   *
   * @param group - Group of the published list.
   * @returns Whether the revision is new.
   */
  adopt (group: LeaseGroup): boolean {
    if (group.revision <= (this._adopted.at(-1) ?? 0)) return false
    this._groups.set(group.revision, this._groups.get(group.revision) ?? group)
    this._adopted.push(group.revision)
    return true
  }

  /**
   * Discards everything before a cold start that the operator declared.
   *
   * @param group - Group under which the cold start was declared.
   */
  resetTo (group: LeaseGroup): void {
    this._groups = new Map([...this._groups, [group.revision, group] as const].filter(([revision]) => revision >= group.revision))
    this._endedAtMs.clear()
    this._adopted = [group.revision]
    this._floor = group.revision
    this._completeFrom = group.revision
    this._gapAtMs = -Infinity
  }

  /**
   * Checks whether a response can be merged.
   *
   * @param response - Response of a recovered host.
   * @returns Whether this host still has the groups that the response omits.
   */
  canMerge (response: LeaseResponse): boolean {
    const included = new Set(response.lists.map(group => group.revision))
    return response.revisions
      .filter(revision => revision >= this._floor)
      .every(revision => included.has(revision) || this._groups.has(revision))
  }

  /**
   * Merges the history of another host.
   *
   * @param response - Response of a recovered host.
   * @param nowMs - Monotonic time in milliseconds.
   */
  merge (response: LeaseResponse, nowMs: number): void {
    this._mergeCompleteRange(response, nowMs)
    response.lists
      .filter(group => group.revision >= this._completeFrom && !this._groups.has(group.revision))
      .forEach(group => this._groups.set(group.revision, group))
    this.raiseFloor(Math.max(this._floor, response.floor), nowMs)
  }

  /**
   * Marks all revisions below an active one as ended.
   *
   * @param revision - Revision that was active for some host.
   * @param nowMs - Monotonic time in milliseconds.
   */
  raiseFloor (revision: number, nowMs: number): void {
    invariant(revision >= this._floor, 'the floor must not decrease')
    this._floor = revision
    this._endedRevisions().filter(old => !this._endedAtMs.has(old)).forEach(old => this._endedAtMs.set(old, nowMs))
    this._prune()
  }

  /**
   * Finds the earlier revisions that may still be active.
   *
   * @param revision - Revision to activate.
   * @returns Groups from the floor up to the revision, exclusive.
   */
  possiblyActiveBefore (revision: number): LeaseGroup[] {
    return [...this._groups.values()].filter(group => group.revision >= this._floor && group.revision < revision)
  }

  /**
   * Finds the earlier revisions under which a lease may still be held.
   *
   * @param revision - Revision that is active for this host.
   * @param sinceMs - Monotonic time in milliseconds; leases under revisions that ended by then have expired.
   * @returns Groups below the revision.
   */
  possiblyLeasedBefore (revision: number, sinceMs: number): LeaseGroup[] {
    return [...this._groups.values()]
      .filter(group => group.revision < revision && (this._endedAtMs.get(group.revision) ?? Infinity) > sinceMs)
  }

  /**
   * Finds the revisions that may have been active between two others.
   *
   * @param after - Revision that was active for this host before.
   * @param before - Revision that is active now.
   * @returns Groups in between, or `undefined` if the history does not reach back far enough.
   */
  between (after: number, before: number): LeaseGroup[] | undefined {
    if (after < this._completeFrom) return undefined
    return [...this._groups.values()].filter(group => group.revision > after && group.revision < before)
  }

  private _mergeCompleteRange (response: LeaseResponse, nowMs: number): void {
    const overlapping = response.completeFrom <= this._floor && this._completeFrom <= response.floor
    if (overlapping) this._completeFrom = Math.min(this._completeFrom, response.completeFrom)
    else if (response.floor > this._floor) this._recordGap(response.completeFrom, nowMs)
  }

  private _recordGap (completeFrom: number, nowMs: number): void {
    this._completeFrom = completeFrom
    this._gapAtMs = nowMs
  }

  private _endedRevisions (): number[] {
    return this.revisions.filter(revision => revision < this._floor)
  }

  private _prune (): void {
    const ended = this._endedRevisions()
    const surplus = ended.length - MAX_ENDED_REVISIONS
    if (surplus <= 0) return
    const first = ended[surplus]
    invariant(first !== undefined, 'pruning must keep the newest ended revisions')
    this._completeFrom = Math.max(this._completeFrom, first)
    this._gapAtMs = Math.max(this._gapAtMs, ...ended.slice(0, surplus).map(old => this._endedAtMs.get(old) ?? -Infinity))
    ended.slice(0, surplus).forEach(old => { this._groups.delete(old); this._endedAtMs.delete(old) })
    this._adopted = this._adopted.filter((revision, i, adoptedRevisions) => revision >= first || i === adoptedRevisions.length - 1)
  }
}
