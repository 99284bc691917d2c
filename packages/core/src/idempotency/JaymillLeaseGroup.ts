import { HostList, HostState } from '../fleet/JaymillHostList.js'
import { rendezvousOwner } from '../ownership/JaymillRendezvous.js'

/** Point in time on the monotonic and the wall clock of a host. */
export interface Instant {
  /** Monotonic time in milliseconds. */
  readonly nowMs: number
  /** Wall-clock time in milliseconds since the Unix epoch. */
  readonly wallMs: number
}

/** Hosts that grant each other leases, under one revision of the published host list. */
export interface LeaseGroup {
  readonly revision: number
  /** Ids of the hosts of which a majority must confirm a lease. */
  readonly members: readonly string[]
  /** Ids of the members that own keys. */
  readonly owners: readonly string[]
  /** Names under which owners take part in rendezvous hashing, where they differ from the host ids. */
  readonly slots?: Readonly<Record<string, string>>
  /** Time of a cold start: the operator declared that no host acts under earlier revisions, in wall-clock milliseconds. */
  readonly coldStartAtMs?: number
}

/**
 * Builds one lease group of all hosts of a published list. Hosts that are leaving confirm leases but own no keys, unless all
 * hosts are leaving.
 *
 * @param list - Published host list.
 * @returns The group under the list's revision.
 */
export function toLeaseGroup (list: HostList): LeaseGroup {
  const members = list.hosts.map(host => host.id)
  const live = list.hosts.filter(host => host.state === HostState.Live).map(host => host.id)
  const slots = Object.fromEntries(list.hosts.flatMap(host => host.slot === undefined ? [] : [[host.id, host.slot]]))
  const coldStart = list.coldStart?.revision === list.revision ? { coldStartAtMs: list.coldStart.atMs } : {}
  return { revision: list.revision, members, owners: live.length > 0 ? live : members, slots, ...coldStart }
}

/**
 * Computes the size of a majority.
 *
 * @param group - Lease group.
 * @returns Number of members that form a majority.
 */
export function majorityOf (group: LeaseGroup): number {
  return Math.floor(group.members.length / 2) + 1
}

/**
 * Computes how many hosts must respond to a recovering host so that they intersect every majority that included it:
 * more than f of n = 2f + 1 members; half of them if n is even.
 *
 * @param group - Lease group.
 * @returns Number of members other than the recovering host that must respond.
 */
export function recoveryQuorumOf (group: LeaseGroup): number {
  return Math.max(1, Math.ceil(group.members.length / 2))
}

interface OwnerNode {
  /** Slot of the host, or its id if it has none. */
  readonly id: string
  readonly weight: number
  readonly hostId: string
}

const nodesByGroup = new WeakMap<LeaseGroup, readonly OwnerNode[]>()

/**
 * Chooses the owner of a key by rendezvous hashing over the slots of the group's owners.
 *
 * @param key - Key with its scope.
 * @param group - Lease group.
 * @returns Host id, or `undefined` for an empty group.
 */
export function ownerIn (key: string, group: LeaseGroup): string | undefined {
  const nodes = nodesByGroup.get(group) ?? toNodes(group)
  nodesByGroup.set(group, nodes)
  return rendezvousOwner(key, nodes)?.hostId
}

function toNodes (group: LeaseGroup): OwnerNode[] {
  const bySlot = new Map(group.owners.toSorted().reverse().map(id => [group.slots?.[id] ?? id, id]))
  return [...bySlot].map(([slot, hostId]) => ({ id: slot, weight: 1, hostId }))
}
