import { DecisionKind, KeyedRequest, LeaseGroup, LEASE_MS, OwnershipEpochs, RevisionHistory, SeededRandom } from '@jaymill/core'
import type { Instant, KeyOwnerComponents } from '@jaymill/core'
import { OwnerCluster } from './JaymillOwnerCluster.js'
import { ModelLine, modelLine } from './JaymillModelLine.js'
import {
  BOOKINGS_PER_ROUND, MAX_ENTRY_RETRIES, KEPT_RANGE_KEYS, KEPT_RANGE_SAMPLING, LIST_LAG_MS, OUTAGE_MS, PARTITION_MS,
  MAX_CALLER_RETRIES, CALLER_RETRY_INTERVAL_MS, ROUND_MS
} from './constants.js'

const IDS = Array.from({ length: 7 }, (_, i) => `host-${i}`)

/** Epochs without kept ranges: every list change raises the mint-time floor for all keys of a host. */
class NoRetainedMintFloor extends OwnershipEpochs {
  override activate (group: LeaseGroup, _: RevisionHistory, at: Instant): void {
    super.activate(group, new RevisionHistory(), at, false)
  }
}

interface OpenBooking {
  req: KeyedRequest
  readonly entry: string
  attempts: number
}

/** Bookings that arrive at a constant rate at random running hosts and are retried with their key until they have run. */
class BookingLoad {
  arrived = 0
  ran = 0
  undecided = 0
  delayed = 0
  refused = 0

  private _open: OpenBooking[] = []
  private _rounds = 0
  private readonly _cluster: OwnerCluster
  private readonly _random: SeededRandom
  private readonly _keyed: boolean

  /**
   * @param cluster - Hosts that receive the bookings.
   * @param seed - Seed for the selection of entry hosts.
   * @param keyed - Whether callers send keys; otherwise the entry host mints a new key for each attempt.
   */
  constructor (cluster: OwnerCluster, seed: number, keyed: boolean) {
    this._cluster = cluster
    this._keyed = keyed
    this._random = new SeededRandom(seed)
  }

  /** Sends new bookings and retries the open ones that are due. */
  round (): void {
    this._rounds += 1
    const retries = this._rounds % (CALLER_RETRY_INTERVAL_MS / ROUND_MS) === 0 ? this._open : []
    this._open = this._open.filter(item => !retries.includes(item))
    retries.forEach(item => this._send(item))
    Array.from({ length: BOOKINGS_PER_ROUND }).forEach(() => this._arrive())
  }

  /** Ends the load; open bookings with a key count as undecided, those without one as refused. */
  end (): void {
    this._open.forEach(() => this._stopRetrying())
    this._open = []
  }

  private _arrive (): void {
    const hosts = [...this._cluster.hosts.keys()]
    const entry = hosts[Math.floor(this._random.next() * hosts.length)] ?? ''
    this.arrived += 1
    this._send({ req: this._cluster.mint(), entry, attempts: 0 })
  }

  private _send (item: OpenBooking): void {
    const kind = this._cluster.request(item.entry, item.req)?.kind
    item.attempts += 1
    if (!this._keyed) item.req = this._cluster.mint()
    if (kind === DecisionKind.NotRun) this.refused += 1
    else if (kind === DecisionKind.Run || kind === DecisionKind.Replay) this._recordRun(item)
    else if (item.attempts > (this._keyed ? MAX_CALLER_RETRIES : MAX_ENTRY_RETRIES)) this._stopRetrying()
    else this._open.push(item)
  }

  private _stopRetrying (): void {
    if (this._keyed) this.undecided += 1
    else this.refused += 1
  }

  private _recordRun (item: OpenBooking): void {
    this.ran += 1
    if (item.attempts > 1) this.delayed += 1
  }
}

type Scenario = (cluster: OwnerCluster, run: (ms: number) => void) => void

const groupOf = (revision: number, members: readonly string[], owners = members): LeaseGroup => ({ revision, members, owners })
const replaced = [...IDS.slice(1), 'host-7']
const replacedGroup = (revision: number): LeaseGroup => ({ ...groupOf(revision, replaced), slots: { 'host-7': 'host-0' } })

const SCENARIOS: Readonly<Record<string, Scenario>> = {
  steady: (_, run) => run(PARTITION_MS),
  /** A host crashes; the list reflects it late, when a new host has replaced it. */
  crash: (cluster, run) => {
    cluster.kill('host-0')
    run(LIST_LAG_MS)
    cluster.start('host-7')
    cluster.publish(replacedGroup(2))
    run(PARTITION_MS - LIST_LAG_MS)
  },
  /** A host is drained: the list first marks it as leaving, then replaces it. */
  plannedStop: (cluster, run) => {
    const leaving = groupOf(2, IDS, IDS.slice(1))
    cluster.publish(leaving)
    cluster.start('host-7')
    cluster.publish(leaving, ['host-7'])
    run(LIST_LAG_MS)
    cluster.kill('host-0')
    cluster.publish(replacedGroup(3))
    run(PARTITION_MS - LIST_LAG_MS)
  },
  /** The configuration source is unavailable; no list changes. */
  platformOutage: (_, run) => run(OUTAGE_MS),
  /** The configuration source is unavailable, and one host crashes and does not restart. */
  platformOutageWithCrash: (cluster, run) => {
    cluster.kill('host-0')
    run(PARTITION_MS)
  },
  /** Three hosts are partitioned from the other four. */
  partition: (cluster, run) => {
    cluster.partition(IDS.slice(0, 3))
    run(PARTITION_MS)
    cluster.partition([])
    run(PARTITION_MS)
  }
}

/**
 * Measures the bookings that remain undecided for their caller in each scenario.
 *
 * @param seed - Seed for the selection of entry hosts.
 * @returns Counts per scenario, and the share of keys that become undecided when one host of seven is replaced, with and without
 * kept ranges: key ranges that keep their mint-time floor because their owner has not changed.
 */
export function availabilityReport (seed: number): ModelLine[] {
  return [...Object.entries(SCENARIOS).flatMap(([name, scenario]) => loadLines(name, scenario, seed)), ...keptRangesLines()]
}

function loadLines (name: string, scenario: Scenario, seed: number): ModelLine[] {
  const keyed = runScenario(scenario, seed, true)
  const unkeyed = runScenario(scenario, seed, false)
  return [
    modelLine(`availability.${name}.arrived`, keyed.arrived, 'bookings'),
    modelLine(`availability.${name}.undecided`, keyed.undecided, 'bookings'),
    modelLine(`availability.${name}.refused`, keyed.refused, 'bookings'),
    modelLine(`availability.${name}.ran-after-resend`, keyed.delayed, 'bookings'),
    modelLine(`availability.${name}.without-key.refused`, unkeyed.refused, 'bookings'),
    modelLine(`availability.${name}.without-key.ran-late`, unkeyed.delayed, 'bookings')
  ]
}

function runScenario (scenario: Scenario, seed: number, keyed: boolean): BookingLoad {
  const cluster = new OwnerCluster(IDS)
  const load = new BookingLoad(cluster, seed, keyed)
  scenario(cluster, ms => cluster.run(ms, () => load.round()))
  load.end()
  return load
}

function keptRangesLines (): ModelLine[] {
  const bound = 1 / IDS.length + KEPT_RANGE_SAMPLING
  const without = () => ({ epochs: new NoRetainedMintFloor() })
  const sameSlot = disturbedShare(replacedGroup(2))
  const newSlot = disturbedShare(groupOf(2, replaced))
  return [
    modelLine('kept-ranges.disturbed-share.same-slot', sameSlot, 'ratio', bound, disturbedShare(replacedGroup(2), without)),
    modelLine('kept-ranges.disturbed-share.new-slot', newSlot, 'ratio', null, disturbedShare(groupOf(2, replaced), without))
  ]
}

function disturbedShare (group: LeaseGroup, components: () => Partial<KeyOwnerComponents> = () => ({})): number {
  const cluster = new OwnerCluster(IDS, components)
  const reqs = Array.from({ length: KEPT_RANGE_KEYS }, () => cluster.mint())
  cluster.kill('host-0')
  cluster.start('host-7')
  cluster.publish(group)
  cluster.run(2 * LEASE_MS)
  const undecided = reqs.filter(req => cluster.request('host-1', req)?.kind !== DecisionKind.Run)
  return undecided.length / KEPT_RANGE_KEYS
}
