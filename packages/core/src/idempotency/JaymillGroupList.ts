import { HostList, HostState } from '../fleet/JaymillHostList.js'
import { rendezvousOwner } from '../ownership/JaymillRendezvous.js'

/** Point in time on both clocks of a host. */
export interface Instant {
  /** Monotonic time in milliseconds. */
  readonly nowMs: number
  /** Wall-clock time in milliseconds since the Unix epoch. */
  readonly wallMs: number
}

/** Hosts that share one lease group under one revision of the published list. */
export interface GroupList {
  readonly revision: number
  /** Ids of the hosts whose majority confirms leases. */
  readonly members: readonly string[]
  /** Ids of the members that own keys. */
  readonly owners: readonly string[]
  /** Names by which owners are placed, where they differ from the ids. */
  readonly slots?: Readonly<Record<string, string>>
  /** Time of the operator's declaration that nothing acts under earlier revisions, in wall-clock milliseconds. */
  readonly coldStartAtMs?: number
}

/**
 * Reduces a published list to one group of all hosts; hosts that are leaving confirm leases but own no keys.
 *
 * @param list - Published list.
 * @returns The group under the list's revision.
 */
export function toGroupList (list: HostList): GroupList {
  const members = list.hosts.map(host => host.id)
  const live = list.hosts.filter(host => host.state === HostState.Live).map(host => host.id)
  const slots = Object.fromEntries(list.hosts.flatMap(host => host.slot === undefined ? [] : [[host.id, host.slot]]))
  const cold = list.coldStart?.revision === list.revision ? { coldStartAtMs: list.coldStart.atMs } : {}
  return { revision: list.revision, members, owners: live.length > 0 ? live : members, slots, ...cold }
}

/**
 * @param list - Group.
 * @returns Members that make a majority.
 */
export function majorityOf (list: GroupList): number {
  return Math.floor(list.members.length / 2) + 1
}

/**
 * Counts the hosts a recovering host must hear so that they meet every majority it was part of:
 * with n = 2f + 1 members more than f; with an even n half of them.
 *
 * @param list - Group.
 * @returns Members other than the recovering host that must answer.
 */
export function recoveryQuorumOf (list: GroupList): number {
  return Math.max(1, Math.ceil(list.members.length / 2))
}

interface OwnerNode {
  /** Slot, or the host id. */
  readonly id: string
  readonly weight: number
  readonly hostId: string
}

const _nodes = new WeakMap<GroupList, readonly OwnerNode[]>()

/**
 * Chooses the owner of a key by rendezvous over the slots of the group's owners.
 *
 * @param key - Key with its scope.
 * @param list - Group.
 * @returns Host id, or `undefined` for an empty group.
 */
export function ownerIn (key: string, list: GroupList): string | undefined {
  const nodes = _nodes.get(list) ?? toNodes(list)
  _nodes.set(list, nodes)
  return rendezvousOwner(key, nodes)?.hostId
}

function toNodes (list: GroupList): OwnerNode[] {
  const bySlot = new Map(list.owners.toSorted().reverse().map(id => [list.slots?.[id] ?? id, id]))
  return [...bySlot].map(([slot, hostId]) => ({ id: slot, weight: 1, hostId }))
}
