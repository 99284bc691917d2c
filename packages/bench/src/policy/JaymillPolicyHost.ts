import {
  AdmissionItem, AdmissionQueue, CountingRule, EndpointCandidate, EndpointChooser, EndpointLedger, EndpointOwners,
  EndpointRole, HostList, LedgerRegistry, LinkLedger, localShareSlots, OwnedEndpoint, OWNER_TIMEOUT_MS, Random, Reservation,
  reservationId, ReservationRefusal, ReservationRequest, ReservationResponse, ReservationTarget, ReservationTargets,
  RESERVATION_RENEW_MS, SlotOwnership, UnreachableOwners
} from '@jaymill/core'
import type { EventLoop } from './JaymillEventLoop.js'
import { FakeHealth, SUMMARY_INTERVAL_MS } from './JaymillFakeHealth.js'
import type { FakeFleet } from './JaymillFakeFleet.js'
import { Policy, ReservationMode } from './JaymillPolicy.js'
import type { WorkRequest } from './JaymillWorkload.js'

/** State that all hosts of a run share. */
export interface HostSetup {
  readonly loop: EventLoop
  readonly fleet: FakeFleet
  readonly policy: Policy
  readonly random: Random
  readonly hosts: Map<string, PolicyHost>
  /** Whether two hosts can exchange messages. */
  readonly reachable: (from: string, to: string) => boolean
}

/** Capacity acquired on an endpoint; `release` is idempotent. */
export interface CapacityHandle {
  readonly endpointId: string
  readonly release: () => void
}

/** Queue entry of a request. */
export interface QueuedWork extends AdmissionItem {
  readonly work: WorkRequest
}

const MAX_RESERVATION_REQUESTS = 4

/** Simulated host: owns some endpoints and reserves capacity for the requests that it receives. */
export class PolicyHost {
  readonly id: string
  readonly zone: string
  readonly ledgers: LedgerRegistry
  readonly queue = new AdmissionQueue<QueuedWork>()
  readonly health: FakeHealth
  alive = true
  private readonly _setup: HostSetup
  private readonly _unreachableOwners = new UnreachableOwners()
  private readonly _choosers: ReadonlyMap<EndpointRole, EndpointChooser>
  private readonly _usedSlots = new Map<string, number>()
  private _shareLedgers = new Map<string, EndpointLedger>()
  private _list: HostList
  private _ownership: SlotOwnership

  /**
   * @param setup - State that all hosts of the run share.
   * @param id - Host id.
   * @param list - Current host list.
   */
  constructor (setup: HostSetup, id: string, list: HostList) {
    this._setup = setup
    this.id = id
    this.zone = setup.fleet.zoneOfHost(id)
    this.ledgers = new LedgerRegistry(id, setup.policy.counting)
    this._list = list
    this._ownership = new SlotOwnership(setup.fleet.endpoints, list)
    this._choosers = new Map(Object.values(EndpointRole).map(role => [role, setup.policy.newChooser()]))
    const pools = Object.values(EndpointRole).map(role => setup.fleet.endpoints.filter(e => e.role === role).map(e => e.id))
    this.health = new FakeHealth(setup.loop, setup.policy.newScorer(), id, pools)
    this.adopt(list)
    setup.loop.after(SUMMARY_INTERVAL_MS, () => this._broadcastSummary())
  }

  /**
   * Adopts a published host list.
   *
   * @param list - List that this host has read.
   */
  adopt (list: HostList): void {
    this._list = list
    this._ownership = new SlotOwnership(this._setup.fleet.endpoints, list)
    this.ledgers.updateOwnership(list, this._setup.fleet.endpoints, this._setup.loop.nowMs)
    if (this._setup.policy.mode === ReservationMode.LocalShare) this._shareLedgers = this._newShareLedgers()
  }

  /**
   * Acquires capacity on an endpoint, as the policy's reservation mode prescribes.
   *
   * @param req - Capacity to reserve.
   * @param onDone - Called with the capacity, or `null` when no reservation succeeded.
   */
  reserve (req: ReservationRequest, onDone: (handle: CapacityHandle | null) => void): void {
    const order = this._orderEndpoints(req)
    const mode = this._setup.policy.mode
    if (mode === ReservationMode.None) onDone({ endpointId: order[0] ?? '', release: () => {} })
    if (mode === ReservationMode.LocalShare) onDone(this._reserveShare(order, req))
    if (mode === ReservationMode.Owner) this._tryTargets(new ReservationTargets(order.slice(0, MAX_RESERVATION_REQUESTS), this._ownersOf, this._unreachableOwners), req, onDone)
  }

  private readonly _ownersOf = (endpointId: string): EndpointOwners => this._ownership.of(endpointId)

  private _orderEndpoints (req: ReservationRequest): readonly string[] {
    const candidates = this._setup.fleet.endpoints
      .filter(endpoint => endpoint.role === req.stage)
      .map(endpoint => this._candidate(endpoint))
    const chooser = this._choosers.get(req.stage)
    return chooser?.order(candidates, { zone: this.zone, expectedMs: req.expectedMs }, this._setup.random) ?? []
  }

  private _candidate (endpoint: OwnedEndpoint): EndpointCandidate {
    const usedSlots = this._usedSlots.get(endpoint.id) ?? this._setup.fleet.reportedUsedSlots.get(endpoint.id) ?? 0
    return {
      endpointId: endpoint.id,
      zone: endpoint.zone,
      slots: endpoint.slots,
      usedSlots,
      weight: this.health.weight(endpoint.id),
      savedMs: 0
    }
  }

  private _tryTargets (
    targets: ReservationTargets, req: ReservationRequest, onDone: (handle: CapacityHandle | null) => void
  ): void {
    const target = targets.next(this._setup.loop.nowMs)
    if (target === null) {
      onDone(null)
      return
    }
    this._requestReservation(target, req, response => {
      if (response === null) targets.recordTimeout(target, this._setup.loop.nowMs)
      else targets.recordResponse(target, response)
      if (response !== null) this._recordFreeSlots(target.endpointId, response)
      if (response?.grant) onDone(this._newHandle(target, response.grant))
      else this._tryTargets(targets, req, onDone)
    })
  }

  private _requestReservation (
    target: ReservationTarget, req: ReservationRequest, onResponse: (response: ReservationResponse | null) => void
  ): void {
    let pending = true
    const settle = (response: ReservationResponse | null): void => {
      if (!pending) this._releaseLate(target, response)
      if (!pending) return
      pending = false
      if (this.alive) onResponse(response)
    }
    this._setup.loop.after(OWNER_TIMEOUT_MS, () => { if (pending) settle(null) })
    this._send(target.hostId, owner => {
      const response = owner.ledgers.reserve(target.endpointId, req, this._setup.loop.nowMs)
      owner._send(this.id, () => settle(response))
    })
  }

  private _releaseLate (target: ReservationTarget, response: ReservationResponse | null): void {
    const reservation = response?.grant
    if (reservation) this._send(target.hostId, owner => owner.ledgers.release(target.endpointId, reservation.id, this._setup.loop.nowMs))
  }

  private _newHandle (target: ReservationTarget, reservation: Reservation): CapacityHandle {
    let active = true
    const renew = (): void => {
      if (!active || !this.alive) return
      this._send(target.hostId, owner => owner.ledgers.renew(target.endpointId, reservation.id, this._setup.loop.nowMs))
      this._setup.loop.after(RESERVATION_RENEW_MS, renew)
    }
    this._setup.loop.after(RESERVATION_RENEW_MS, renew)
    const release = (): void => {
      if (!active) return
      active = false
      this._send(
        this._currentOwner(target),
        owner => owner.ledgers.release(target.endpointId, reservation.id, this._setup.loop.nowMs)
      )
    }
    return { endpointId: target.endpointId, release }
  }

  private _currentOwner (target: ReservationTarget): string {
    const { owner, backupOwner } = this._ownersOf(target.endpointId)
    const stillOwner = owner?.id === target.hostId || backupOwner?.id === target.hostId
    return stillOwner ? target.hostId : owner?.id ?? target.hostId
  }

  private _send (to: string, deliver: (host: PolicyHost) => void): void {
    const receiver = this._setup.hosts.get(to)
    const delayMs = this._setup.fleet.delayMs(this.zone, this._setup.fleet.zoneOfHost(to))
    if (!this.alive) return
    this._setup.loop.after(to === this.id ? 0 : delayMs, () => {
      if (receiver?.alive === true && this._setup.reachable(this.id, to)) deliver(receiver)
    })
  }

  private _broadcastSummary (): void {
    if (!this.alive) return
    const summary = this.health.summarize()
    const others = this._list.hosts.filter(({ id }) => id !== this.id)
    others.forEach(({ id }) => this._send(id, host => host.health.merge(summary)))
    this._setup.loop.after(SUMMARY_INTERVAL_MS, () => this._broadcastSummary())
  }

  private _recordFreeSlots (endpointId: string, response: ReservationResponse): void {
    const slots = this._setup.fleet.endpoints.find(endpoint => endpoint.id === endpointId)?.slots ?? 0
    const full = response.refusal === ReservationRefusal.NoSlot || response.refusal === ReservationRefusal.NoPieces
    if (response.refusal === null || full) this._usedSlots.set(endpointId, full ? slots : slots - response.free.slots)
  }

  private _reserveShare (order: readonly string[], req: ReservationRequest): CapacityHandle | null {
    const nowMs = this._setup.loop.nowMs
    if (req.stage === EndpointRole.Prefill) return { endpointId: order[0] ?? '', release: () => {} }
    const endpointId = order.find(id => this._shareLedgers.get(id)?.reserve(req, nowMs).grant)
    if (endpointId === undefined) return null
    return { endpointId, release: () => this._shareLedgers.get(endpointId)?.release(reservationId(req), this._setup.loop.nowMs) }
  }

  private _newShareLedgers (): Map<string, EndpointLedger> {
    const index = this._list.hosts.findIndex(host => host.id === this.id)
    const hosts = this._list.hosts.length
    return new Map(this._setup.fleet.endpoints.map((endpoint, position) => {
      const slots = localShareSlots(endpoint.slots, hosts, (index + position) % hosts)
      const pieces = Math.floor(endpoint.kvPieces / hosts)
      const link = new LinkLedger(endpoint.linkBytesPerSecond / hosts)
      return [endpoint.id, new EndpointLedger({ slots, pieces, role: endpoint.role }, link, CountingRule.Exact)]
    }))
  }
}
