import {
  CostChooser, EndpointCandidate, HostEntry, HostList, HostState, Instant, KeyOwner, Membership, SeededRandom, SlotOwnership,
  toLeaseGroup, toRangeGroup
} from '@jaymill/core'
import { median, printFigure } from './JaymillSpeedFigure.js'

const ZONES = 5
const REPEATS = 9
const SIZES = [
  { endpoints: 9, hosts: 7 }, { endpoints: 100, hosts: 70 }, { endpoints: 600, hosts: 420 }, { endpoints: 4_800, hosts: 420 }
]
const POOLS = 17
const RANGES = 420
const US_PER_MS = 1_000
const AT: Instant = { nowMs: 0, wallMs: 1_700_000_000_000 }

function hostList (count: number): HostList {
  const hosts = Array.from({ length: count }, (_, i): HostEntry => ({
    id: `host-${i}`,
    zone: `zone-${i % ZONES}`,
    region: i % ZONES < 3 ? 'north' : 'south',
    peerUrl: `http://127.0.0.1:${20_000 + i}`,
    state: HostState.Live
  }))
  return { revision: 1, hosts, leavingEndpoints: [] }
}

function endpointCandidates (count: number): EndpointCandidate[] {
  return Array.from({ length: count }, (_, i) => ({
    endpointId: `endpoint-${i}`, zone: `zone-${i % ZONES}`, slots: 20, usedSlots: i % 20, weight: 1, savedMs: 0
  }))
}

function timeMs (work: () => void): number {
  work()
  return median(Array.from({ length: REPEATS }, () => {
    const started = performance.now()
    work()
    return performance.now() - started
  }))
}

function measureRouting (): void {
  SIZES.forEach(({ endpoints, hosts }) => {
    const candidates = endpointCandidates(endpoints)
    const list = hostList(hosts)
    const size = `${endpoints} endpoints, ${hosts} hosts`
    const endpointZones = candidates.map(({ endpointId: id, zone }) => ({ id, zone }))
    printFigure({
      name: `placing all owners after a list change, ${size}`,
      value: timeMs(() => new SlotOwnership(endpointZones, { ...list }).of('endpoint-0')),
      unit: 'ms'
    })
    const random = new SeededRandom(1)
    const chooser = new CostChooser()
    const req = { zone: 'zone-0', expectedMs: 500 }
    printFigure({
      name: `ordering one pool of ${endpoints}`,
      value: timeMs(() => chooser.order(candidates, req, random)) * US_PER_MS,
      unit: 'us'
    })
    const pool = candidates.slice(0, Math.ceil(endpoints / POOLS))
    printFigure({
      name: `ordering one of ${POOLS} pools, ${size}`,
      value: timeMs(() => chooser.order(pool, req, random)) * US_PER_MS,
      unit: 'us'
    })
  })
}

function measureHosts (): void {
  const counts = [...new Set(SIZES.map(({ hosts }) => hosts))]
  counts.forEach(count => {
    const list = hostList(count)
    const self = { id: 'host-0', zone: 'zone-0', region: 'north', incarnation: 1 }
    printFigure({
      name: `adopting a list in membership, ${count} hosts`,
      value: timeMs(() => new Membership(self, 0).adoptList(list, 0)),
      unit: 'ms'
    })
    const membership = new Membership(self, 0)
    membership.adoptList(list, 0)
    let nowMs = 0
    printFigure({
      name: `step of membership, ${count} hosts`,
      value: timeMs(() => membership.tick(nowMs += 500)) * US_PER_MS,
      unit: 'us'
    })
    printFigure({
      name: `placing ${RANGES} lease groups, ${count} hosts`,
      value: timeMs(() => { Array.from({ length: RANGES }, (_, i) => toRangeGroup(i, list)) }),
      unit: 'ms'
    })
  })
  const owner = new KeyOwner({ self: 'host-0', incarnation: 1, startedAt: AT })
  owner.updateGroup(toLeaseGroup(hostList(7)), AT)
  printFigure({
    name: 'owner of a key, 7 hosts',
    value: timeMs(() => { owner.ownerOf({ scope: 'a', key: 'k', fingerprint: 'f' }) }) * US_PER_MS,
    unit: 'us'
  })
}

/** Measures the CPU time of routing and membership decisions, at current fleet sizes and at the designed maximum. */
export function measureDecisions (): void {
  measureRouting()
  measureHosts()
}
