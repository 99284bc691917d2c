import { LEASE_MS } from './constants.js'
import { GroupList, majorityOf } from './JaymillGroupList.js'
import { ListHistory } from './JaymillListHistory.js'
import { PeerEvidence } from './JaymillPeerEvidence.js'

/**
 * Chain rule: a revision becomes active for a host when a majority of every earlier list that may have been active
 * has adopted it. A host that skipped the revision for a later one does not count.
 */
export class Activation {
  /**
   * @param self - Id of this host.
   * @param history - Revisions that may have been active, closed over the answers received.
   * @param evidence - Answers of the other hosts.
   * @param nowMs - Monotonic time in milliseconds.
   * @returns Whether the highest adopted revision is active.
   */
  isActive (self: string, history: ListHistory, evidence: PeerEvidence, nowMs: number): boolean {
    const list = history.current
    if (list === undefined || history.floor > list.revision) return false
    return history.openBefore(list.revision)
      .every(old => this._adopters(old, list, self, evidence, nowMs) >= majorityOf(old))
  }

  /**
   * Tells whether no host can act under an earlier revision any more, without waiting for leases to run out.
   *
   * @param self - Id of this host.
   * @param history - Revisions that may have been active.
   * @param evidence - Answers of the other hosts.
   * @param nowMs - Monotonic time in milliseconds.
   * @returns Whether every owner in every list that may still carry a lease has adopted the current one or a later one.
   */
  allMoved (self: string, history: ListHistory, evidence: PeerEvidence, nowMs: number): boolean {
    const list = history.current
    if (list === undefined || history.gapAt + LEASE_MS > nowMs) return false
    return history.leasedBefore(list.revision, nowMs - LEASE_MS)
      .flatMap(old => old.owners)
      .every(id => id === self || this._highest(id, evidence, nowMs) >= list.revision)
  }

  private _adopters (old: GroupList, list: GroupList, self: string, evidence: PeerEvidence, nowMs: number): number {
    return old.members.filter(id => id === self || this._adopted(id, evidence, nowMs).includes(list.revision)).length
  }

  private _highest (id: string, evidence: PeerEvidence, nowMs: number): number {
    return this._adopted(id, evidence, nowMs).at(-1) ?? 0
  }

  private _adopted (id: string, evidence: PeerEvidence, nowMs: number): readonly number[] {
    const item = evidence.of(id)
    const counts = item !== undefined && item.answer.recovered && item.sentAtMs + LEASE_MS > nowMs
    return counts ? item.answer.adopted : []
  }
}
