import { HostEntry, HostState } from '../fleet/JaymillHostList.js'
import { rendezvousOrder } from '../ownership/JaymillRendezvous.js'
import { BACKUP_READ_PER_HOST_MS, MIN_BACKUP_READ_MS, WATCHERS_PER_ZONE } from './JaymillConfigConstants.js'

/** How a host reads from the configuration source. */
export interface SourceWatchPlan {
  /** Whether the host keeps a watch on the source open. */
  readonly watches: boolean
  /** Time between two single reads if it does not, in milliseconds. */
  readonly backupReadMs: number
}

/**
 * Decides whether this host watches the configuration source. Rendezvous hashing selects a few of the reachable hosts in each
 * availability zone, so the number of watches grows with the zones, not with the hosts. All other hosts only read from it
 * periodically, at an interval that grows with the number of hosts.
 *
 * @param selfId - Id of this host.
 * @param hosts - Published hosts; empty when no list is known.
 * @param isReachable - Whether another host is considered to be running.
 * @returns Plan for this host; a host that is not listed always watches.
 */
export function planSourceWatch (
  selfId: string, hosts: readonly HostEntry[], isReachable: (hostId: string) => boolean
): SourceWatchPlan {
  const backupReadMs = Math.max(MIN_BACKUP_READ_MS, hosts.length * BACKUP_READ_PER_HOST_MS)
  const self = hosts.find(({ id }) => id === selfId)
  if (self === undefined) return { watches: true, backupReadMs }
  const nodes = hosts
    .filter(({ id, zone, state }) => zone === self.zone && (id === selfId || (state === HostState.Live && isReachable(id))))
    .map(({ id }) => ({ id, weight: 1 }))
  const watchers = rendezvousOrder(`watch/${self.zone}`, nodes).slice(0, WATCHERS_PER_ZONE)
  return { watches: watchers.some(({ id }) => id === selfId), backupReadMs }
}
