import { LEASE_MS } from './constants.js'
import { GroupList, majorityOf } from './JaymillGroupList.js'
import { PeerEvidence } from './JaymillPeerEvidence.js'

/** Lease rule: a host acts under a revision only while a majority of its list confirmed it as their highest. */
export class LeaseKeeper {
  /**
   * Computes until when the lease is held.
   *
   * @param self - Id of this host.
   * @param list - List of the revision.
   * @param evidence - Answers of the other hosts.
   * @returns Monotonic time in milliseconds; `-Infinity` when no majority confirmed, `Infinity` when no other is needed.
   */
  heldUntilMs (self: string, list: GroupList, evidence: PeerEvidence): number {
    if (!list.members.includes(self)) return -Infinity
    const needed = majorityOf(list) - 1
    if (needed === 0) return Infinity
    const sent = list.members
      .filter(id => id !== self)
      .map(id => evidence.of(id))
      .filter(item => item !== undefined && item.answer.recovered && item.answer.adopted.at(-1) === list.revision)
      .map(item => item?.sentAtMs ?? -Infinity)
      .sort((a, b) => b - a)
    return (sent[needed - 1] ?? -Infinity) + LEASE_MS
  }
}
