import { ReservationWindow, findOrphans, HostLiveness, HostList, ORPHAN_TIMEOUT_MS, OwnerRole, Random, RouteClass, SeededRandom } from '@jaymill/core'
import { EventLoop } from './JaymillEventLoop.js'
import { PolicyAttempt, RoundEnd } from './JaymillPolicyAttempt.js'
import { FakeFleet } from './JaymillFakeFleet.js'
import { PolicyHost, HostSetup, QueuedWork } from './JaymillPolicyHost.js'
import { BookingMode, Policy } from './JaymillPolicy.js'
import { FigureCollector, RunFigures } from './JaymillPolicyFigures.js'
import { PolicySite, TTFT_TARGET_MS } from './JaymillPolicySite.js'
import type { PolicyScenario } from './JaymillPolicyScenario.js'
import { workload, WorkRequest } from './JaymillWorkload.js'

const PUMP_RETRY_MS = 10
const OWNER_TICK_MS = 500
const DRAIN_MS = 25_000
const START_MARGIN_MS = 80

/** One run of a scenario under a policy; scenarios change it while it runs. */
export class PolicyRun {
  readonly loop = new EventLoop()
  readonly fleet: FakeFleet
  readonly hosts = new Map<string, PolicyHost>()
  readonly figures = new FigureCollector()
  private readonly _site: PolicySite
  private readonly _scenario: PolicyScenario
  private readonly _setup: HostSetup
  private readonly _attempts = new Map<string, { hostId: string, attempt: PolicyAttempt }>()
  private readonly _rounds = new Map<string, number>()
  private readonly _booking = new Map<string, number>()
  private readonly _windows = new Map<string, ReservationWindow>()
  private readonly _killedAtMs = new Map<string, number>()
  private readonly _random: Random
  private readonly _groups = new Map<string, number>()
  private _partitionedAtMs = 0
  private _list: HostList

  constructor (site: PolicySite, scenario: PolicyScenario, policy: Policy, seed: number) {
    this._site = site
    this._scenario = scenario
    this._random = new SeededRandom(seed + 1)
    this.fleet = new FakeFleet(this.loop, site)
    const ids = Array.from({ length: site.hosts }, (_, index) => `host-${index}`)
    this._list = this.fleet.hostList(1, ids)
    const reachable = (from: string, to: string): boolean => this._groups.get(from) === this._groups.get(to)
    this._setup = { loop: this.loop, fleet: this.fleet, policy, random: this._random, hosts: this.hosts, reachable }
    ids.forEach(id => this.addHost(id))
    workload(site, scenario.demand(site), new SeededRandom(seed)).forEach(work =>
      this.loop.after(work.atMs, () => this._arrive(work)))
    if (policy.mode === BookingMode.Owner) this.loop.every(OWNER_TICK_MS, () => this._tickOwners())
    scenario.script(this)
  }

  /**
   * Runs to the end.
   *
   * @returns Figures of the run.
   */
  run (): RunFigures {
    const { startMs, endMs } = this._scenario.demand(this._site)
    this.loop.runUntil(endMs + DRAIN_MS)
    return this.figures.figures((endMs - startMs) / 1_000)
  }

  /**
   * @param id - Host that starts.
   */
  addHost (id: string): void {
    this.hosts.set(id, new PolicyHost(this._setup, id, this._list))
  }

  /**
   * @param id - Host whose machine dies at once, without closing its connections.
   */
  killHost (id: string): void {
    const host = this.hosts.get(id)
    if (host === undefined) return
    host.alive = false
    this._killedAtMs.set(id, this.loop.nowMs)
    const own = [...this._attempts].filter(([, { hostId }]) => hostId === id)
    own.forEach(([requestId, { attempt }]) => {
      attempt.hostKilled()
      this._attempts.delete(requestId)
    })
    this.figures.lost += own.length
  }

  /**
   * @param ids - Live hosts of the next published list, read by all hosts now.
   */
  publish (ids: readonly string[]): void {
    this._list = this.fleet.hostList(this._list.revision + 1, ids)
    this.hosts.forEach(host => { if (host.alive) host.adopt(this._list) })
  }

  /**
   * @param groups - Hosts that can talk among themselves only; none for a whole network.
   */
  partition (groups: readonly (readonly string[])[]): void {
    this._groups.clear()
    this._partitionedAtMs = this.loop.nowMs
    groups.forEach((ids, group) => ids.forEach(id => this._groups.set(id, group)))
  }

  private _arrive (work: WorkRequest): void {
    const alive = [...this.hosts.values()].filter(host => host.alive)
    const host = alive[Math.floor(work.balancerDraw * alive.length)]
    if (host === undefined) return
    const item = this._item(work)
    if (host.queue.offer(item, this.loop.nowMs) !== null) {
      this.figures.refuse(work)
      return
    }
    if (work.cancelAfterMs !== null) this.loop.after(work.cancelAfterMs, () => this._callerGone(host, item))
    this._pump(host)
  }

  private _item (work: WorkRequest): QueuedWork {
    const prefillMs = work.promptTokens / this._site.prefillTokensPerMs
    const transferMs = work.promptTokens * this._site.kvBytesPerToken / this._site.linkBytesPerSecond * 1_000
    const latestStartMs = work.atMs + TTFT_TARGET_MS - prefillMs - transferMs - START_MARGIN_MS
    const tokens = work.promptTokens + work.answerTokens
    const { accountId, class: name } = this._setup.policy.fifo ? { accountId: '', class: RouteClass.Summary } : work
    return { id: work.id, accountId, weight: 1, tokens, class: name, latestStartMs, work }
  }

  private _pump (host: PolicyHost): void {
    if (!host.alive) return
    host.queue.expire(this.loop.nowMs).forEach(item => this.figures.refuse(item.work))
    const busy = this._booking.get(host.id) ?? 0
    const item = busy < this._windowOf(host).size ? host.queue.take() : undefined
    if (item === undefined) return
    this._booking.set(host.id, busy + 1)
    this._startRound(host, item)
    this._pump(host)
  }

  private _startRound (host: PolicyHost, item: QueuedWork): void {
    const round = (this._rounds.get(item.id) ?? 0) + 1
    this._rounds.set(item.id, round)
    const on = { site: this._site, setup: this._setup, host, figures: this.figures }
    const attempt = new PolicyAttempt(on, item, round, end => this._endRound(host, item, end))
    this._attempts.set(item.id, { hostId: host.id, attempt })
    attempt.drive()
  }

  private _endRound (host: PolicyHost, item: QueuedWork, end: RoundEnd): void {
    if (end === RoundEnd.Started) {
      this._windowOf(host).granted()
      this.figures.admit(item.work)
      host.queue.started(item, this.loop.nowMs)
      this._endBooking(host)
      return
    }
    this._attempts.delete(item.id)
    this._windowOf(host).refused()
    host.queue.requeue(item)
    this.loop.after(PUMP_RETRY_MS * (0.5 + this._random.next()), () => this._endBooking(host))
  }

  private _windowOf (host: PolicyHost): ReservationWindow {
    const window = this._windows.get(host.id) ?? new ReservationWindow()
    this._windows.set(host.id, window)
    return window
  }

  private _endBooking (host: PolicyHost): void {
    this._booking.set(host.id, (this._booking.get(host.id) ?? 1) - 1)
    this._pump(host)
  }

  private _callerGone (host: PolicyHost, item: QueuedWork): void {
    this.figures.gone(item.work)
    const running = this._attempts.get(item.id)
    this._attempts.delete(item.id)
    running?.attempt.cancel()
    if (host.alive) host.queue.drop(item)
  }

  private _tickOwners (): void {
    const alive = [...this.hosts.values()].filter(host => host.alive)
    alive.forEach(host => {
      const facts = [...this.hosts.values()].map(other => this._factsOf(other, host))
      host.book.expire(this.loop.nowMs)
      host.book.endpointIds.forEach(endpointId => this._tickEndpoint(host, endpointId, facts))
    })
  }

  private _tickEndpoint (host: PolicyHost, endpointId: string, facts: readonly HostLiveness[]): void {
    const engine = this.fleet.decode.get(endpointId)
    const report = engine?.report() ?? { running: [], heldPieces: 0, ageMs: 0 }
    if (host.book.ownerRoleOf(endpointId) === OwnerRole.Owner || this._ownerSilent(endpointId, host)) {
      findOrphans(report.running, facts).forEach(({ request }) => engine?.cancel(request.requestId))
    }
    host.book.reconcile(endpointId, report, this.loop.nowMs)
  }

  private _ownerSilent (endpointId: string, deputy: PolicyHost): boolean {
    const owner = [...this.hosts.values()].find(host => host.book.ownerRoleOf(endpointId) === OwnerRole.Owner && host !== deputy)
    return owner === undefined || this._factsOf(owner, deputy).sinceLastMessageMs >= ORPHAN_TIMEOUT_MS
  }

  private _factsOf (host: PolicyHost, viewer: PolicyHost): HostLiveness {
    const listed = this._list.hosts.some(entry => entry.id === host.id)
    const silentSinceMs = this._setup.reachable(viewer.id, host.id) ? this._killedAtMs.get(host.id) : this._partitionedAtMs
    const sinceLastMessageMs = silentSinceMs === undefined ? 0 : this.loop.nowMs - silentSinceMs
    return { id: host.id, incarnation: 1, listed, sinceLastMessageMs }
  }
}
