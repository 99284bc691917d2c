import { DecisionKind, GroupList, KeyedRequest, LEASE_MS, ListHistory, SeededRandom, TakeOver } from '@jaymill/core'
import type { Instant, KeyOwnerParts } from '@jaymill/core'
import { OwnerCluster } from './JaymillOwnerCluster.js'
import { ModelLine, modelLine } from './JaymillModelLine.js'
import { BOOKINGS_PER_ROUND, ENTRY_TRIES, KEPT_RANGE_KEYS, KEPT_RANGE_SAMPLING, LIST_LAG_MS, OUTAGE_MS, PARTITION_MS, RESENDS, RESEND_MS, ROUND_MS } from './constants.js'

const IDS = Array.from({ length: 7 }, (_, i) => `host-${i}`)

/** Take-over without kept ranges: every list change takes over all keys anew. */
class NoKeptRanges extends TakeOver {
  override activate (list: GroupList, _: ListHistory, at: Instant): void {
    super.activate(list, new ListHistory(), at, false)
  }
}

interface OpenBooking {
  req: KeyedRequest
  readonly entry: string
  sent: number
}

/** Bookings that arrive evenly at reachable hosts and are resent with their key until they have run. */
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
   * @param cluster - Hosts.
   * @param seed - Seed of the choice of entry hosts.
   * @param keyed - Whether callers send keys; else the entry host mints a younger one for each try.
   */
  constructor (cluster: OwnerCluster, seed: number, keyed: boolean) {
    this._cluster = cluster
    this._keyed = keyed
    this._random = new SeededRandom(seed)
  }

  /** Brings new bookings and resends those that are due. */
  round (): void {
    this._rounds += 1
    const resends = this._rounds % (RESEND_MS / ROUND_MS) === 0 ? this._open : []
    this._open = this._open.filter(item => !resends.includes(item))
    resends.forEach(item => this._ask(item))
    Array.from({ length: BOOKINGS_PER_ROUND }).forEach(() => this._arrive())
  }

  /** Ends the load; open bookings count as undecided. */
  end (): void {
    this._open.forEach(() => this._giveUp())
    this._open = []
  }

  private _arrive (): void {
    const hosts = [...this._cluster.hosts.keys()]
    const entry = hosts[Math.floor(this._random.next() * hosts.length)] ?? ''
    this.arrived += 1
    this._ask({ req: this._cluster.mint(), entry, sent: 0 })
  }

  private _ask (item: OpenBooking): void {
    const kind = this._cluster.ask(item.entry, item.req)?.kind
    item.sent += 1
    if (!this._keyed) item.req = this._cluster.mint()
    if (kind === DecisionKind.NotRun) this.refused += 1
    else if (kind === DecisionKind.Run || kind === DecisionKind.Replay) this._done(item)
    else if (item.sent > (this._keyed ? RESENDS : ENTRY_TRIES)) this._giveUp()
    else this._open.push(item)
  }

  private _giveUp (): void {
    if (this._keyed) this.undecided += 1
    else this.refused += 1
  }

  private _done (item: OpenBooking): void {
    this.ran += 1
    if (item.sent > 1) this.delayed += 1
  }
}

type Scenario = (cluster: OwnerCluster, run: (ms: number) => void) => void

const listOf = (revision: number, members: readonly string[], owners = members): GroupList => ({ revision, members, owners })
const replaced = [...IDS.slice(1), 'host-7']
const replacedList = (revision: number): GroupList => ({ ...listOf(revision, replaced), slots: { 'host-7': 'host-0' } })

const SCENARIOS: Readonly<Record<string, Scenario>> = {
  steady: (_, run) => run(PARTITION_MS),
  /** One host dies, the list follows late, a new host takes its place. */
  crash: (cluster, run) => {
    cluster.kill('host-0')
    run(LIST_LAG_MS)
    cluster.start('host-7')
    cluster.publish(replacedList(2))
    run(PARTITION_MS - LIST_LAG_MS)
  },
  /** A host leaves in order: marked first, then gone and replaced. */
  plannedStop: (cluster, run) => {
    const leaving = listOf(2, IDS, IDS.slice(1))
    cluster.publish(leaving)
    cluster.start('host-7')
    cluster.publish(leaving, ['host-7'])
    run(LIST_LAG_MS)
    cluster.kill('host-0')
    cluster.publish(replacedList(3))
    run(PARTITION_MS - LIST_LAG_MS)
  },
  /** The platform is silent; no list changes. */
  platformOutage: (_, run) => run(OUTAGE_MS),
  /** The platform is silent, and one host dies for good meanwhile. */
  platformOutageWithCrash: (cluster, run) => {
    cluster.kill('host-0')
    run(PARTITION_MS)
  },
  /** Three hosts are cut off from four. */
  partition: (cluster, run) => {
    cluster.cut(IDS.slice(0, 3))
    run(PARTITION_MS)
    cluster.cut([])
    run(PARTITION_MS)
  }
}

/**
 * Measures bookings that end undecided for their caller in each scenario.
 *
 * @param seed - Seed of the choice of entry hosts.
 * @returns Shares per scenario, and keys disturbed when one host of seven is replaced, with and without kept ranges.
 */
export function availabilityReport (seed: number): ModelLine[] {
  return [...Object.entries(SCENARIOS).flatMap(([name, scenario]) => loadLines(name, scenario, seed)), ...keptRangesLines()]
}

function loadLines (name: string, scenario: Scenario, seed: number): ModelLine[] {
  const keyed = play(scenario, seed, true)
  const unkeyed = play(scenario, seed, false)
  return [
    modelLine(`availability.${name}.arrived`, keyed.arrived, 'bookings'),
    modelLine(`availability.${name}.undecided`, keyed.undecided, 'bookings'),
    modelLine(`availability.${name}.refused`, keyed.refused, 'bookings'),
    modelLine(`availability.${name}.ran-after-resend`, keyed.delayed, 'bookings'),
    modelLine(`availability.${name}.without-key.refused`, unkeyed.refused, 'bookings'),
    modelLine(`availability.${name}.without-key.ran-late`, unkeyed.delayed, 'bookings')
  ]
}

function play (scenario: Scenario, seed: number, keyed: boolean): BookingLoad {
  const cluster = new OwnerCluster(IDS)
  const load = new BookingLoad(cluster, seed, keyed)
  scenario(cluster, ms => cluster.run(ms, () => load.round()))
  load.end()
  return load
}

function keptRangesLines (): ModelLine[] {
  const bound = 1 / IDS.length + KEPT_RANGE_SAMPLING
  const without = () => ({ takeOver: new NoKeptRanges() })
  const sameSlot = disturbedShare(replacedList(2))
  const newSlot = disturbedShare(listOf(2, replaced))
  return [
    modelLine('kept-ranges.disturbed-share.same-slot', sameSlot, 'ratio', bound, disturbedShare(replacedList(2), without)),
    modelLine('kept-ranges.disturbed-share.new-slot', newSlot, 'ratio', null, disturbedShare(listOf(2, replaced), without))
  ]
}

function disturbedShare (list: GroupList, parts: () => Partial<KeyOwnerParts> = () => ({})): number {
  const cluster = new OwnerCluster(IDS, parts)
  const reqs = Array.from({ length: KEPT_RANGE_KEYS }, () => cluster.mint())
  cluster.kill('host-0')
  cluster.start('host-7')
  cluster.publish(list)
  cluster.run(2 * LEASE_MS)
  const undecided = reqs.filter(req => cluster.ask('host-1', req)?.kind !== DecisionKind.Run)
  return undecided.length / KEPT_RANGE_KEYS
}
