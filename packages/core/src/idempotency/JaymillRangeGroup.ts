import { HostEntry, HostList, HostState } from '../fleet/JaymillHostList.js'
import { rendezvousOrder } from '../ownership/JaymillRendezvous.js'
import { LEASE_GROUP_SIZE } from './constants.js'
import { LeaseGroup, toLeaseGroup } from './JaymillLeaseGroup.js'

/**
 * Chooses the lease group of one key range by rendezvous hashing over the published list, spread evenly over availability
 * zones. A list that is no larger than a group forms one group of all hosts.
 *
 * @param range - Number of the range.
 * @param list - Published host list.
 * @param size - Number of hosts in a group.
 * @returns The group under the list's revision.
 */
export function toRangeGroup (range: number, list: HostList, size = LEASE_GROUP_SIZE): LeaseGroup {
  if (list.hosts.length <= size) return toLeaseGroup(list)
  const slots = new Map(list.hosts.map(host => [host.slot ?? host.id, host]))
  const nodes = [...slots].map(([id, host]) => ({ id, weight: 1, host }))
  const ordered = rendezvousOrder(`range-${range}`, nodes).map(({ host }) => host)
  return toLeaseGroup({ ...list, hosts: selectAcrossZones(ordered, size) })
}

function selectAcrossZones (ordered: readonly HostEntry[], size: number): HostEntry[] {
  const zones = new Set(ordered.map(({ zone }) => zone)).size
  const perZone = Math.ceil(size / zones)
  const rank = (host: HostEntry): number => ordered.filter(({ zone }) => zone === host.zone).indexOf(host)
  const candidates = ordered.filter(host => rank(host) < perZone)
  const live = candidates.filter(({ state }) => state === HostState.Live)
  return (live.length >= size ? live : candidates).slice(0, size)
}
