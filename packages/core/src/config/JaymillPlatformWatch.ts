import { HostEntry, HostState } from '../fleet/JaymillHostList.js'
import { rendezvousOrder } from '../ownership/JaymillRendezvous.js'
import { BACKUP_READ_PER_HOST_MS, MIN_BACKUP_READ_MS, WATCHERS_PER_ZONE } from './JaymillConfigConstants.js'

/** Where a host's reading of the platform stands. */
export interface WatchDuty {
  /** Whether the host keeps a watch open. */
  readonly watches: boolean
  /** Time between two single reads of a host that doesn't, in milliseconds. */
  readonly backupReadMs: number
}

/**
 * Decides who watches the platform: a few hosts of each availability zone by rendezvous among those that answer, so that the
 * number of watches grows with zones rather than with hosts. All others read rarely, the rarer the more hosts there are.
 *
 * @param selfId - Id of this host.
 * @param hosts - Published hosts; empty when no list is known.
 * @param answers - Whether another host is believed to run.
 * @returns This host's duty; a host that isn't listed watches by itself.
 */
export function watchDuty (selfId: string, hosts: readonly HostEntry[], answers: (hostId: string) => boolean): WatchDuty {
  const backupReadMs = Math.max(MIN_BACKUP_READ_MS, hosts.length * BACKUP_READ_PER_HOST_MS)
  const self = hosts.find(({ id }) => id === selfId)
  if (self === undefined) return { watches: true, backupReadMs }
  const nodes = hosts
    .filter(({ id, zone, state }) => zone === self.zone && (id === selfId || (state === HostState.Live && answers(id))))
    .map(({ id }) => ({ id, weight: 1 }))
  const watchers = rendezvousOrder(`watch/${self.zone}`, nodes).slice(0, WATCHERS_PER_ZONE)
  return { watches: watchers.some(({ id }) => id === selfId), backupReadMs }
}
