import {
  findOrphans, HostList, HostLiveness, ORPHAN_TIMEOUT_MS, OwnerRole, Random, ReservationWindow, RouteClass, SeededRandom
} from '@jaymill/core'
import { EventLoop } from './JaymillEventLoop.js'
import { PolicyAttempt, RoundOutcome } from './JaymillPolicyAttempt.js'
import { FakeFleet } from './JaymillFakeFleet.js'
import { HostSetup, PolicyHost, QueuedWork } from './JaymillPolicyHost.js'
import { Policy, ReservationMode } from './JaymillPolicy.js'
import { FigureCollector, RunFigures } from './JaymillPolicyFigures.js'
import { PolicySite, TTFT_TARGET_MS } from './JaymillPolicySite.js'
import type { PolicyScenario } from './JaymillPolicyScenario.js'
import { workload, WorkRequest } from './JaymillWorkload.js'

const DISPATCH_RETRY_MS = 10
const OWNER_TICK_MS = 500
const DRAIN_MS = 25_000
const START_MARGIN_MS = 80

/** One run of a scenario under a policy; the script of the scenario changes hosts and network while it runs. */
export class PolicyRun {
  readonly loop = new EventLoop()
  readonly fleet: FakeFleet
  readonly hosts = new Map<string, PolicyHost>()
  readonly figures = new FigureCollector()
  private readonly _site: PolicySite
  private readonly _scenario: PolicyScenario
  private readonly _setup: HostSetup
  private readonly _attempts = new Map<string, { hostId: string, attempt: PolicyAttempt }>()
  private readonly _roundCounts = new Map<string, number>()
  private readonly _activeRounds = new Map<string, number>()
  private readonly _windows = new Map<string, ReservationWindow>()
  private readonly _killedAtMs = new Map<string, number>()
  private readonly _random: Random
  private readonly _partitionGroups = new Map<string, number>()
  private _partitionedAtMs = 0
  private _list: HostList

  /**
   * @param site - Site to simulate.
   * @param scenario - Demand and faults.
   * @param policy - Policy to measure.
   * @param seed - Seed of the workload and of the random choices.
   */
  constructor (site: PolicySite, scenario: PolicyScenario, policy: Policy, seed: number) {
    this._site = site
    this._scenario = scenario
    this._random = new SeededRandom(seed + 1)
    this.fleet = new FakeFleet(this.loop, site)
    const ids = Array.from({ length: site.hosts }, (_, index) => `host-${index}`)
    this._list = this.fleet.hostList(1, ids)
    const reachable = (from: string, to: string): boolean => this._partitionGroups.get(from) === this._partitionGroups.get(to)
    this._setup = { loop: this.loop, fleet: this.fleet, policy, random: this._random, hosts: this.hosts, reachable }
    ids.forEach(id => this.addHost(id))
    workload(site, scenario.demand(site), new SeededRandom(seed)).forEach(work =>
      this.loop.after(work.atMs, () => this._arrive(work)))
    if (policy.mode === ReservationMode.Owner) this.loop.every(OWNER_TICK_MS, () => this._tickOwners())
    scenario.script(this)
  }

  /**
   * Runs until the demand has ended and the remaining requests had `DRAIN_MS` to finish.
   *
   * @returns Figures of the run.
   */
  run (): RunFigures {
    const { startMs, endMs } = this._scenario.demand(this._site)
    this.loop.runUntil(endMs + DRAIN_MS)
    return this.figures.summarize((endMs - startMs) / 1_000)
  }

  /**
   * Starts a host.
   *
   * @param id - Host id.
   */
  addHost (id: string): void {
    this.hosts.set(id, new PolicyHost(this._setup, id, this._list))
  }

  /**
   * Stops a host at once, as a machine failure does, without closing its connections.
   *
   * @param id - Host id.
   */
  killHost (id: string): void {
    const host = this.hosts.get(id)
    if (host === undefined) return
    host.alive = false
    this._killedAtMs.set(id, this.loop.nowMs)
    const hostAttempts = [...this._attempts].filter(([, { hostId }]) => hostId === id)
    hostAttempts.forEach(([requestId, { attempt }]) => {
      attempt.recordHostKilled()
      this._attempts.delete(requestId)
    })
    this.figures.lost += hostAttempts.length
  }

  /**
   * Publishes a new host list, which all hosts read immediately.
   *
   * @param ids - Live hosts of the list.
   */
  publish (ids: readonly string[]): void {
    this._list = this.fleet.hostList(this._list.revision + 1, ids)
    this.hosts.forEach(host => { if (host.alive) host.adopt(this._list) })
  }

  /**
   * Partitions the network.
   *
   * @param groups - Groups of hosts that can only exchange messages within the group; empty to end the partition.
   */
  partition (groups: readonly (readonly string[])[]): void {
    this._partitionGroups.clear()
    this._partitionedAtMs = this.loop.nowMs
    groups.forEach((ids, group) => ids.forEach(id => this._partitionGroups.set(id, group)))
  }

  private _arrive (work: WorkRequest): void {
    const alive = [...this.hosts.values()].filter(host => host.alive)
    const host = alive[Math.floor(work.balancerDraw * alive.length)]
    if (host === undefined) return
    const item = this._toQueuedWork(work)
    if (host.queue.offer(item, this.loop.nowMs) !== null) {
      this.figures.recordRefused(work)
      return
    }
    if (work.cancelAfterMs !== null) this.loop.after(work.cancelAfterMs, () => this._handleDisconnect(host, item))
    this._dispatch(host)
  }

  private _toQueuedWork (work: WorkRequest): QueuedWork {
    const prefillMs = work.promptTokens / this._site.prefillTokensPerMs
    const transferMs = work.promptTokens * this._site.kvBytesPerToken / this._site.linkBytesPerSecond * 1_000
    const latestStartMs = work.atMs + TTFT_TARGET_MS - prefillMs - transferMs - START_MARGIN_MS
    const tokens = work.promptTokens + work.outputTokens
    const { accountId, class: name } = this._setup.policy.fifo ? { accountId: '', class: RouteClass.Summary } : work
    return { id: work.id, accountId, weight: 1, tokens, class: name, latestStartMs, work }
  }

  private _dispatch (host: PolicyHost): void {
    if (!host.alive) return
    host.queue.expire(this.loop.nowMs).forEach(item => this.figures.recordRefused(item.work))
    const inFlight = this._activeRounds.get(host.id) ?? 0
    const item = inFlight < this._windowOf(host).size ? host.queue.take() : undefined
    if (item === undefined) return
    this._activeRounds.set(host.id, inFlight + 1)
    this._startRound(host, item)
    this._dispatch(host)
  }

  private _startRound (host: PolicyHost, item: QueuedWork): void {
    const round = (this._roundCounts.get(item.id) ?? 0) + 1
    this._roundCounts.set(item.id, round)
    const context = { site: this._site, setup: this._setup, host, figures: this.figures }
    const attempt = new PolicyAttempt(context, item, round, outcome => this._handleRoundEnd(host, item, outcome))
    this._attempts.set(item.id, { hostId: host.id, attempt })
    attempt.advance()
  }

  private _handleRoundEnd (host: PolicyHost, item: QueuedWork, outcome: RoundOutcome): void {
    if (outcome === RoundOutcome.Started) {
      this._windowOf(host).recordGranted()
      this.figures.recordAdmitted(item.work)
      host.queue.markStarted(item, this.loop.nowMs)
      this._releaseWindowSlot(host)
      return
    }
    this._attempts.delete(item.id)
    this._windowOf(host).recordRefused()
    host.queue.requeue(item)
    this.loop.after(DISPATCH_RETRY_MS * (0.5 + this._random.next()), () => this._releaseWindowSlot(host))
  }

  private _windowOf (host: PolicyHost): ReservationWindow {
    const window = this._windows.get(host.id) ?? new ReservationWindow()
    this._windows.set(host.id, window)
    return window
  }

  private _releaseWindowSlot (host: PolicyHost): void {
    this._activeRounds.set(host.id, (this._activeRounds.get(host.id) ?? 1) - 1)
    this._dispatch(host)
  }

  private _handleDisconnect (host: PolicyHost, item: QueuedWork): void {
    this.figures.recordDisconnected(item.work)
    const running = this._attempts.get(item.id)
    this._attempts.delete(item.id)
    running?.attempt.cancel()
    if (host.alive) host.queue.drop(item)
  }

  private _tickOwners (): void {
    const alive = [...this.hosts.values()].filter(host => host.alive)
    alive.forEach(host => {
      const liveness = [...this.hosts.values()].map(other => this._livenessOf(other, host))
      host.ledgers.expire(this.loop.nowMs)
      host.ledgers.endpointIds.forEach(endpointId => this._tickEndpoint(host, endpointId, liveness))
    })
  }

  private _tickEndpoint (host: PolicyHost, endpointId: string, liveness: readonly HostLiveness[]): void {
    const engine = this.fleet.decode.get(endpointId)
    const report = engine?.report() ?? { running: [], heldPieces: 0, ageMs: 0 }
    if (host.ledgers.ownerRoleOf(endpointId) === OwnerRole.Owner || this._ownerUnreachable(endpointId, host)) {
      findOrphans(report.running, liveness).forEach(({ request }) => engine?.cancel(request.requestId))
    }
    host.ledgers.reconcile(endpointId, report, this.loop.nowMs)
  }

  private _ownerUnreachable (endpointId: string, backupOwner: PolicyHost): boolean {
    const owner = [...this.hosts.values()]
      .find(host => host.ledgers.ownerRoleOf(endpointId) === OwnerRole.Owner && host !== backupOwner)
    return owner === undefined || this._livenessOf(owner, backupOwner).sinceLastMessageMs >= ORPHAN_TIMEOUT_MS
  }

  private _livenessOf (host: PolicyHost, observer: PolicyHost): HostLiveness {
    const listed = this._list.hosts.some(entry => entry.id === host.id)
    const unreachableSinceMs = this._setup.reachable(observer.id, host.id) ? this._killedAtMs.get(host.id) : this._partitionedAtMs
    const sinceLastMessageMs = unreachableSinceMs === undefined ? 0 : this.loop.nowMs - unreachableSinceMs
    return { id: host.id, incarnation: 1, listed, sinceLastMessageMs }
  }
}
