import { invariant } from '../JaymillInvariant.js'
import { MAX_ENDED_LISTS } from './constants.js'
import { GroupList } from './JaymillGroupList.js'
import { LeaseAnswer } from './JaymillLeaseMessages.js'

/**
 * Revisions that this host adopted, and all that may have been active as far as any answer told.
 * A revision below the floor has ended: a later one was active, so no majority confirms it any more.
 */
export class ListHistory {
  private _lists = new Map<number, GroupList>()
  private _endedAt = new Map<number, number>()
  private _adopted: number[] = []
  private _floor = 0
  private _completeFrom = Infinity
  private _gapAt = -Infinity

  /** Highest revision that this host adopted, or `undefined`. */
  get current (): GroupList | undefined {
    const revision = this._adopted.at(-1)
    return revision === undefined ? undefined : this._lists.get(revision)
  }

  /** Revisions that this process adopted, ascending. */
  get adopted (): readonly number[] {
    return this._adopted
  }

  /** Highest revision known to have been active. */
  get floor (): number {
    return this._floor
  }

  /** First revision from which the history holds all that may have been active. */
  get completeFrom (): number {
    return this._completeFrom
  }

  /** Monotonic time at which the history last lost sight of older revisions, in milliseconds. */
  get gapAt (): number {
    return this._gapAt
  }

  /** Revisions that may have been active, ascending. */
  get revisions (): number[] {
    return [...this._lists.keys()].sort((a, b) => a - b)
  }

  /**
   * @param revision - Revision of the published list.
   * @returns Its list when this host holds it.
   */
  list (revision: number): GroupList | undefined {
    return this._lists.get(revision)
  }

  /**
   * Adopts a revision; never goes down.
   *
   * @param list - Published list.
   * @returns Whether the revision is new.
   */
  adopt (list: GroupList): boolean {
    if (list.revision <= (this._adopted.at(-1) ?? 0)) return false
    this._lists.set(list.revision, this._lists.get(list.revision) ?? list)
    this._adopted.push(list.revision)
    return true
  }

  /**
   * Starts over from a list under which the operator declared a cold start.
   *
   * @param list - Declared list.
   */
  restart (list: GroupList): void {
    this._lists = new Map([...this._lists, [list.revision, list] as const].filter(([revision]) => revision >= list.revision))
    this._endedAt.clear()
    this._adopted = [list.revision]
    this._floor = list.revision
    this._completeFrom = list.revision
    this._gapAt = -Infinity
  }

  /**
   * @param answer - Answer of a recovered host.
   * @returns Whether the lists it left out are still held here.
   */
  canMerge (answer: LeaseAnswer): boolean {
    const given = new Set(answer.lists.map(list => list.revision))
    return answer.revisions
      .filter(revision => revision >= this._floor)
      .every(revision => given.has(revision) || this._lists.has(revision))
  }

  /**
   * Takes over what another host knows.
   *
   * @param answer - Answer of a recovered host.
   * @param nowMs - Monotonic time in milliseconds.
   */
  merge (answer: LeaseAnswer, nowMs: number): void {
    this._joinSpans(answer, nowMs)
    answer.lists
      .filter(list => list.revision >= this._completeFrom && !this._lists.has(list.revision))
      .forEach(list => this._lists.set(list.revision, list))
    this.raiseFloor(Math.max(this._floor, answer.floor), nowMs)
  }

  /**
   * Marks all revisions below an active one as ended.
   *
   * @param revision - Revision that was active for some host.
   * @param nowMs - Monotonic time in milliseconds.
   */
  raiseFloor (revision: number, nowMs: number): void {
    invariant(revision >= this._floor, 'a floor never goes down')
    this._floor = revision
    this._ended().filter(old => !this._endedAt.has(old)).forEach(old => this._endedAt.set(old, nowMs))
    this._prune()
  }

  /**
   * Lists below a revision that may still be active.
   *
   * @param revision - Revision that wants to become active.
   * @returns Lists from the floor up to the revision, without it.
   */
  openBefore (revision: number): GroupList[] {
    return [...this._lists.values()].filter(list => list.revision >= this._floor && list.revision < revision)
  }

  /**
   * Lists under which a lease may still be held.
   *
   * @param revision - Revision that is active for this host.
   * @param sinceMs - Monotonic time; lists that ended before it hold no lease.
   * @returns Lists below the revision.
   */
  leasedBefore (revision: number, sinceMs: number): GroupList[] {
    return [...this._lists.values()]
      .filter(list => list.revision < revision && (this._endedAt.get(list.revision) ?? Infinity) > sinceMs)
  }

  /**
   * Lists that may have been active between two revisions.
   *
   * @param after - Revision that was active for this host before.
   * @param before - Revision that is active now.
   * @returns Lists in between, or `undefined` when the history does not reach back far enough.
   */
  between (after: number, before: number): GroupList[] | undefined {
    if (after < this._completeFrom) return undefined
    return [...this._lists.values()].filter(list => list.revision > after && list.revision < before)
  }

  private _joinSpans (answer: LeaseAnswer, nowMs: number): void {
    const joined = answer.completeFrom <= this._floor && this._completeFrom <= answer.floor
    if (joined) this._completeFrom = Math.min(this._completeFrom, answer.completeFrom)
    else if (answer.floor > this._floor) this._leaveGap(answer.completeFrom, nowMs)
  }

  private _leaveGap (completeFrom: number, nowMs: number): void {
    this._completeFrom = completeFrom
    this._gapAt = nowMs
  }

  private _ended (): number[] {
    return this.revisions.filter(revision => revision < this._floor)
  }

  private _prune (): void {
    const ended = this._ended()
    const surplus = ended.length - MAX_ENDED_LISTS
    if (surplus <= 0) return
    const first = ended[surplus]
    invariant(first !== undefined, 'a surplus leaves the newest ended lists')
    this._completeFrom = Math.max(this._completeFrom, first)
    this._gapAt = Math.max(this._gapAt, ...ended.slice(0, surplus).map(old => this._endedAt.get(old) ?? -Infinity))
    ended.slice(0, surplus).forEach(old => { this._lists.delete(old); this._endedAt.delete(old) })
    this._adopted = this._adopted.filter((revision, i, all) => revision >= first || i === all.length - 1)
  }
}
