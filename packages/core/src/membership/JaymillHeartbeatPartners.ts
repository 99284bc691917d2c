import { HostEntry, HostState } from '../fleet/JaymillHostList.js'
import { rendezvousOrder } from '../ownership/JaymillRendezvous.js'

/**
 * Chooses whom a host sends heartbeats to. Half of the partners are of its own region where there are enough, so that most
 * heartbeats don't leave it, while news still crosses regions.
 *
 * @param id - Id of the sender.
 * @param region - Region of the sender.
 * @param hosts - Published hosts.
 * @param count - Number of partners.
 * @returns Ids of the partners, the same on every host that has the same list.
 */
export function heartbeatPartners (id: string, region: string, hosts: readonly HostEntry[], count: number): string[] {
  const nodes = hosts
    .filter(host => host.id !== id && host.state === HostState.Live)
    .map(host => ({ id: host.id, weight: 1, region: host.region }))
  const ordered = rendezvousOrder(`heartbeat/${id}`, nodes)
  const near = ordered.filter(node => node.region === region).slice(0, Math.ceil(count / 2))
  const others = ordered.filter(node => !near.includes(node)).slice(0, count - near.length)
  return [...near, ...others].map(node => node.id)
}
