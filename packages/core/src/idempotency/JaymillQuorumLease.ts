import { LEASE_MS } from './constants.js'
import { LeaseGroup, majorityOf } from './JaymillLeaseGroup.js'
import { PeerResponses } from './JaymillPeerResponses.js'

/** Lease rule: a host acts under a revision only while a majority of its group confirms it as their highest revision. */
export class QuorumLease {
  /**
   * Computes when the lease expires.
   *
   * @param self - Id of this host.
   * @param group - Group of the revision.
   * @param responses - Latest responses of the other hosts.
   * @returns Monotonic time in milliseconds; `-Infinity` if no majority confirmed, `Infinity` if no other host is needed.
   */
  heldUntilMs (self: string, group: LeaseGroup, responses: PeerResponses): number {
    if (!group.members.includes(self)) return -Infinity
    const needed = majorityOf(group) - 1
    if (needed === 0) return Infinity
    const sentAtMs = group.members
      .filter(id => id !== self)
      .map(id => responses.latest(id))
      .filter(received => received !== undefined && received.response.recovered && received.response.adopted.at(-1) === group.revision)
      .map(received => received?.sentAtMs ?? -Infinity)
      .sort((a, b) => b - a)
    return (sentAtMs[needed - 1] ?? -Infinity) + LEASE_MS
  }
}
