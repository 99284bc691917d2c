import { HostEntry, HostState } from '../fleet/JaymillHostList.js'
import { rendezvousOrder } from '../ownership/JaymillRendezvous.js'

/**
 * Selects the hosts to which a host sends heartbeats, by rendezvous hashing. Half of the partners are in its own region, if it
 * has enough hosts: this limits the heartbeats between regions, while updates still spread to the other regions.
 *
 * @param id - Id of the sender.
 * @param region - Region of the sender.
 * @param hosts - Published hosts.
 * @param count - Number of partners.
 * @returns Ids of the partners; every host with the same list computes the same ids.
 */
export function heartbeatPartners (id: string, region: string, hosts: readonly HostEntry[], count: number): string[] {
  const nodes = hosts
    .filter(host => host.id !== id && host.state === HostState.Live)
    .map(host => ({ id: host.id, weight: 1, region: host.region }))
  const ordered = rendezvousOrder(`heartbeat/${id}`, nodes)
  const sameRegion = ordered.filter(node => node.region === region).slice(0, Math.ceil(count / 2))
  const others = ordered.filter(node => !sameRegion.includes(node)).slice(0, count - sameRegion.length)
  return [...sameRegion, ...others].map(node => node.id)
}
