import { HostEntry, HostList, HostState, LEASE_REQUEST_INTERVAL_MS, toRangeGroup } from '@jaymill/core'
import { ModelLine, modelLine } from './JaymillModelLine.js'
import { GROUP_RANGES, GROUP_ZONES } from './constants.js'

const FLEET_SIZES = [7, 70, 420]
const LEASE_REQUESTS_PER_SECOND = 1_000 / LEASE_REQUEST_INTERVAL_MS
const ranges = Array.from({ length: GROUP_RANGES }, (_, i) => i)

/**
 * Computes the cost of one lease group per key range for a host, if all lease requests to the same host are batched.
 *
 * @returns Groups and requests per host, and the share of ranges whose group changes when one host is replaced.
 */
export function groupReport (): ModelLine[] {
  return FLEET_SIZES.flatMap(count => {
    const groups = groupsOf(fleet(count))
    const peers = [...peersByHost(groups).values()].map(set => set.size)
    const peersPerHost = peers.reduce((sum, size) => sum + size, 0) / count
    return [
      modelLine(`groups.${count}-hosts.groups-per-host`, groups.reduce((sum, group) => sum + group.length, 0) / count, 'groups'),
      modelLine(`groups.${count}-hosts.questions`, peersPerHost * LEASE_REQUESTS_PER_SECOND, 'questions/s per host'),
      modelLine(`groups.${count}-hosts.questions-most`, Math.max(...peers) * LEASE_REQUESTS_PER_SECOND, 'questions/s'),
      modelLine(`groups.${count}-hosts.changed-ranges`, changedShare(groups, groupsOf(fleet(count, 'new'))), 'ratio')
    ]
  })
}

function fleet (count: number, firstId = 'host-0'): HostList {
  const hosts: HostEntry[] = Array.from({ length: count }, (_, i) => ({
    id: i === 0 ? firstId : `host-${i}`,
    zone: `zone-${i % GROUP_ZONES}`,
    region: `region-${i % GROUP_ZONES < 3 ? 1 : 2}`,
    peerUrl: '',
    state: HostState.Live
  }))
  return { revision: 1, hosts, leavingEndpoints: [] }
}

function groupsOf (list: HostList): ReadonlyArray<readonly string[]> {
  return ranges.map(range => toRangeGroup(range, list).members)
}

function peersByHost (groups: ReadonlyArray<readonly string[]>): Map<string, Set<string>> {
  const peers = new Map<string, Set<string>>()
  groups.forEach(group => group.forEach(id => {
    const hostPeers = peers.get(id) ?? new Set()
    group.filter(other => other !== id).forEach(other => hostPeers.add(other))
    peers.set(id, hostPeers)
  }))
  return peers
}

function changedShare (before: ReadonlyArray<readonly string[]>, after: ReadonlyArray<readonly string[]>): number {
  return before.filter((group, i) => group.join() !== after[i]?.join()).length / before.length
}
