import { AccountQuotas, CountedQuotaShare, QuotaScope, QuotaUnit, SeededRandom, type ClientAccount, type QuotaReporter, type QuotaShare } from '../../../index.js'

/** Quota of every account of the model, in tokens; as large as on the sheets of deployments with 91 hosts. */
export const RATE_PER_S = 400_000
export const BURST = 400_000
export const WINDOW_MS = 8_000
export const OVERAGE = 0.25
export const SLACK = 190_000

const STEP_MS = 10
const ZONES = 4
const RELAYS_PER_ZONE = 2
const LARGE_FLEET = 17
const LINK_MS = 10
/** Intervals of reports, as the heartbeats of hosts have them. */
const DIRECT_REPORT_MS = 100
const HOST_REPORT_MS = 500
const ZONE_REPORT_MS = 1_000
const FLEET_REPORT_MS = 2_000
const BUSY_REPORT_MS = 600
const LOST_AFTER_MS = 4_500
/** Hosts from which the relays are chosen, the first ones. */
const RELAY_CANDIDATES = 24

/** A request that reaches a host of the model. */
export interface ModelRequest {
  readonly atMs: number
  readonly account: string
  readonly units: number
  readonly host: number
  readonly admitted: boolean
  readonly isRetry: boolean
}

/** Load and faults of a run. */
export interface FleetScenario {
  readonly hosts: number
  readonly seed: number
  readonly endMs: number
  readonly share?: QuotaShare
  /** Tokens per second that callers of an account send at a time. */
  readonly demand: (account: string, nowMs: number) => number
  /** Relative share of the callers that a host gets. */
  readonly weight?: (host: number) => number
  readonly lostShare?: number
  /** Probability with which a refused caller returns, after the time it was told. */
  readonly retryShare?: number
  /** Whether a host runs. */
  readonly runs?: (host: number, nowMs: number) => boolean
  /** Whether two hosts reach each other. */
  readonly reaches?: (a: number, b: number, nowMs: number) => boolean
  /** Rate of the quotas at a host. */
  readonly rate?: (nowMs: number, host: number) => number
  /** Replaces how hosts report, for mutants. */
  readonly create?: (share: QuotaShare) => AccountQuotas
}

interface ModelHost {
  readonly index: number
  readonly zone: number
  quotas: AccountQuotas
  process: number
  rate: number
  running: boolean
  readonly digestMs: Map<QuotaScope, number>
  readonly heardMs: number[]
}

const ACCOUNTS = ['hot', 'steady']

/** Cost of a request: most are near 5,000 tokens. */
function costOf (random: SeededRandom): number {
  return Math.round(2_700 + 5_000 * random.next())
}

const MEAN_COST = 5_200

/** Hosts that decide on requests and report to each other as the heartbeats do, without a network. */
export class QuotaFleet {
  private readonly _scenario: FleetScenario
  private readonly _random: SeededRandom
  private readonly _hosts: readonly ModelHost[]
  private readonly _requests: ModelRequest[] = []
  private readonly _events = new Map<number, Array<() => void>>()
  private readonly _weights: readonly number[]
  /** Messages sent so far. */
  messages = 0

  constructor (scenario: FleetScenario) {
    this._scenario = scenario
    this._random = new SeededRandom(scenario.seed)
    this._weights = Array.from({ length: scenario.hosts }, (_, i) => scenario.weight?.(i) ?? 1)
    this._hosts = Array.from({ length: scenario.hosts }, (_, index) => ({
      index, zone: index % ZONES, quotas: this._create(), process: 0, rate: 0, running: true, digestMs: new Map(), heardMs: Array.from({ length: scenario.hosts }, () => 0)
    }))
  }

  /** Runs the scenario and returns the requests of callers, in their order. */
  run (): readonly ModelRequest[] {
    Array.from({ length: this._scenario.endMs / STEP_MS }, (_, i) => i * STEP_MS).forEach(nowMs => {
      this._hosts.forEach(host => this._update(host, nowMs))
      this._events.get(nowMs)?.forEach(run => run())
      this._events.delete(nowMs)
      this._hosts.filter(({ running }) => running).forEach(host => this._report(host, nowMs))
      ACCOUNTS.forEach(account => this._arrivals(account, nowMs))
    })
    return this._requests
  }

  private _create (): AccountQuotas {
    const share = this._scenario.share ?? new CountedQuotaShare(OVERAGE)
    return this._scenario.create?.(share) ?? new AccountQuotas(share, WINDOW_MS)
  }

  private _update (host: ModelHost, nowMs: number): void {
    const running = this._scenario.runs?.(host.index, nowMs) ?? true
    if (running && !host.running) {
      Object.assign(host, { quotas: this._create(), process: host.process + 1, rate: 0 })
      host.heardMs.fill(Number.NEGATIVE_INFINITY)
    }
    host.running = running
    const rate = this._scenario.rate?.(nowMs, host.index) ?? RATE_PER_S
    if (rate !== host.rate) host.quotas.configure(accountsWith(rate), nowMs)
    host.rate = rate
    if (nowMs % 100 === 0) host.quotas.observeHosts(1 + this._peers(host, nowMs).length, this._scenario.hosts, nowMs)
  }

  private _peers (host: ModelHost, nowMs: number): readonly ModelHost[] {
    return this._hosts.filter(({ index }) => index !== host.index && nowMs - (host.heardMs[index] ?? 0) < LOST_AFTER_MS)
  }

  private _report (host: ModelHost, nowMs: number): void {
    const isDue = (intervalMs: number): boolean => (nowMs + host.index * 30) % intervalMs === 0
    if (this._scenario.hosts < LARGE_FLEET) {
      if (isDue(DIRECT_REPORT_MS)) this._hosts.forEach(peer => this._send(host, peer, QuotaScope.Host, nowMs))
      return
    }
    if (isDue(HOST_REPORT_MS)) this._relays(host, host.zone, nowMs).forEach(relay => this._send(host, relay, QuotaScope.Host, nowMs))
    if (host.index >= RELAY_CANDIDATES || !this._relays(host, host.zone, nowMs).includes(host)) return
    const isDigestDue = (scope: QuotaScope, intervalMs: number): boolean => {
      const isNow = nowMs - (host.digestMs.get(scope) ?? -host.index * 30) >= (isBusy ? Math.min(BUSY_REPORT_MS, intervalMs) : intervalMs)
      if (isNow) host.digestMs.set(scope, nowMs)
      return isNow
    }
    const isBusy = host.quotas.busyAccounts(nowMs).length > 0
    const otherZones = Array.from({ length: ZONES }, (_, zone) => zone).filter(zone => zone !== host.zone)
    if (isDigestDue(QuotaScope.Zone, ZONE_REPORT_MS)) otherZones.flatMap(zone => this._relays(host, zone, nowMs)).forEach(relay => this._send(host, relay, QuotaScope.Zone, nowMs))
    const members = this._hosts.filter(({ index, zone }) => zone === host.zone && index !== host.index)
    if (isDigestDue(QuotaScope.Fleet, FLEET_REPORT_MS)) members.forEach(member => this._send(host, member, QuotaScope.Fleet, nowMs))
  }

  private _relays (host: ModelHost, zone: number, nowMs: number): readonly ModelHost[] {
    const heard = (peer: ModelHost): boolean => peer.index === host.index || nowMs - (host.heardMs[peer.index] ?? 0) < LOST_AFTER_MS
    return this._hosts.slice(0, RELAY_CANDIDATES).filter(peer => peer.zone === zone && heard(peer)).slice(0, RELAYS_PER_ZONE)
  }

  private _send (from: ModelHost, to: ModelHost, scope: QuotaScope, nowMs: number): void {
    if (from.index === to.index) return
    this.messages += 1
    if (this._random.next() < (this._scenario.lostShare ?? 0)) return
    const uses = from.quotas.report(scope, 16, nowMs)
    const zone = `zone-${from.zone}`
    const source = scope === QuotaScope.Host ? `host-${from.index}` : scope === QuotaScope.Zone ? zone : 'fleet'
    const reporter: QuotaReporter = { source, scope, process: `${from.index}@${from.process}` }
    const heard = scope === QuotaScope.Fleet ? from.heardMs.map((ms, i) => i === from.index ? nowMs : ms) : undefined
    this._at(nowMs + LINK_MS + STEP_MS * Math.floor(this._random.next() * 5), laterMs => {
      if (!to.running || this._scenario.reaches?.(from.index, to.index, laterMs) === false) return
      to.heardMs[from.index] = laterMs
      if (scope === QuotaScope.Zone) this._hosts.filter(peer => peer.zone === from.zone).forEach(({ index }) => { to.heardMs[index] = Math.max(to.heardMs[index] ?? 0, from.heardMs[index] ?? 0) })
      heard?.forEach((ms, i) => { to.heardMs[i] = Math.max(to.heardMs[i] ?? 0, ms) })
      const isRelay = this._relays(to, to.zone, laterMs).includes(to)
      if (scope === QuotaScope.Zone && this._relays(to, from.zone, laterMs)[0] !== from) return
      if (scope === QuotaScope.Fleet && isRelay) return
      to.quotas.merge(reporter, uses, laterMs)
    })
  }

  private _at (atMs: number, run: (nowMs: number) => void): void {
    const stepMs = Math.ceil(atMs / STEP_MS) * STEP_MS
    this._events.set(stepMs, [...this._events.get(stepMs) ?? [], () => run(stepMs)])
  }

  private _arrivals (account: string, nowMs: number): void {
    const expected = this._scenario.demand(account, nowMs) / MEAN_COST * STEP_MS / 1_000
    const count = Math.floor(expected) + (this._random.next() < expected % 1 ? 1 : 0)
    Array.from({ length: count }).forEach(() => this._ask(account, costOf(this._random), nowMs, false))
  }

  private _ask (account: string, units: number, nowMs: number, isRetry: boolean): void {
    const host = this._choose()
    if (host === undefined) return
    const { admitted, retryAfterMs } = host.quotas.take(account, units, nowMs)
    this._requests.push({ atMs: nowMs, account, units, host: host.index, admitted, isRetry })
    if (!admitted && !isRetry && this._random.next() < (this._scenario.retryShare ?? 0)) this._at(nowMs + retryAfterMs, laterMs => this._ask(account, units, laterMs, true))
  }

  private _choose (): ModelHost | undefined {
    const running = this._hosts.filter(host => host.running)
    const sums = running.reduce<number[]>((all, { index }) => { all.push((all.at(-1) ?? 0) + (this._weights[index] ?? 0)); return all }, [])
    const point = this._random.next() * (sums.at(-1) ?? 0)
    return running[sums.findIndex(sum => sum > point)]
  }
}

function accountsWith (ratePerS: number): readonly ClientAccount[] {
  const burst = BURST * ratePerS / RATE_PER_S
  return ACCOUNTS.map(name => ({ name, keys: [], quota: { unit: QuotaUnit.Tokens, ratePerS, burst, plainTokens: 200 } }))
}

/**
 * @param requests - Requests of an account that were admitted.
 * @param fromMs - Start of the first window, in milliseconds.
 * @returns The most units within any window that a quota has to hold in.
 */
export function mostUsedInWindow (requests: readonly ModelRequest[], fromMs = 0): number {
  const steps = new Map<number, number>()
  requests.filter(({ admitted, atMs }) => admitted && atMs >= fromMs).forEach(({ atMs, units }) => steps.set(atMs, (steps.get(atMs) ?? 0) + units))
  const used = [...steps]
  const { most } = used.reduce(({ sum, first, most }, [atMs, units]) => {
    const drop = used.slice(first).findIndex(([ms]) => ms > atMs - WINDOW_MS)
    const dropped = used.slice(first, first + drop).reduce((total, [, n]) => total + n, 0)
    const next = sum + units - dropped
    return { sum: next, first: first + drop, most: Math.max(most, next) }
  }, { sum: 0, first: 0, most: 0 })
  return most
}

/**
 * @param requests - Requests of an account, admitted or not.
 * @returns Units that one bucket for all hosts together would have admitted.
 */
export function unitsOwed (requests: readonly ModelRequest[]): number {
  return requests.reduce(({ level, atMs, owed }, request) => {
    const filled = Math.min(BURST, level + (request.atMs - atMs) * RATE_PER_S / 1_000)
    const fits = filled >= request.units
    return { level: fits ? filled - request.units : filled, atMs: request.atMs, owed: owed + (fits ? request.units : 0) }
  }, { level: BURST, atMs: 0, owed: 0 }).owed
}

/** Most units that a quota admits within its window. */
export const ALLOWED = RATE_PER_S * WINDOW_MS / 1_000 + BURST
