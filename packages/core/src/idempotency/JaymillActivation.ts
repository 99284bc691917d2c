import { LEASE_MS } from './constants.js'
import { LeaseGroup, majorityOf } from './JaymillLeaseGroup.js'
import { RevisionHistory } from './JaymillRevisionHistory.js'
import { PeerResponses } from './JaymillPeerResponses.js'

/**
 * Chain rule: a revision becomes active for a host when a majority of every earlier group that may have been active
 * has adopted it. A host that skipped the revision for a later one does not count.
 */
export class Activation {
  /**
   * Checks the chain rule for the highest adopted revision.
   *
   * @param self - Id of this host.
   * @param history - Revisions that may have been active, merged with all responses received.
   * @param responses - Latest responses of the other hosts.
   * @param nowMs - Monotonic time in milliseconds.
   * @returns Whether the highest adopted revision is active.
   */
  isActive (self: string, history: RevisionHistory, responses: PeerResponses, nowMs: number): boolean {
    const group = history.current
    if (group === undefined || history.floor > group.revision) return false
    return history.possiblyActiveBefore(group.revision)
      .every(earlier => this._countAdopters(earlier, group, self, responses, nowMs) >= majorityOf(earlier))
  }

  /**
   * Checks whether no host can act under an earlier revision any more, without waiting for leases to expire.
   *
   * @param self - Id of this host.
   * @param history - Revisions that may have been active.
   * @param responses - Latest responses of the other hosts.
   * @param nowMs - Monotonic time in milliseconds.
   * @returns Whether every owner in every earlier group that may still hold a lease has adopted the current or a later revision.
   */
  allOwnersAdopted (self: string, history: RevisionHistory, responses: PeerResponses, nowMs: number): boolean {
    const group = history.current
    if (group === undefined || history.gapAtMs + LEASE_MS > nowMs) return false
    return history.possiblyLeasedBefore(group.revision, nowMs - LEASE_MS)
      .flatMap(earlier => earlier.owners)
      .every(id => id === self || this._highestAdopted(id, responses, nowMs) >= group.revision)
  }

  private _countAdopters (earlier: LeaseGroup, group: LeaseGroup, self: string, responses: PeerResponses, nowMs: number): number {
    return earlier.members.filter(id => id === self || this._adoptedBy(id, responses, nowMs).includes(group.revision)).length
  }

  private _highestAdopted (id: string, responses: PeerResponses, nowMs: number): number {
    return this._adoptedBy(id, responses, nowMs).at(-1) ?? 0
  }

  private _adoptedBy (id: string, responses: PeerResponses, nowMs: number): readonly number[] {
    const received = responses.latest(id)
    const counts = received !== undefined && received.response.recovered && received.sentAtMs + LEASE_MS > nowMs
    return counts ? received.response.adopted : []
  }
}
