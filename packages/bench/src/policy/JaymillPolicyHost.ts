import {
  AdmissionItem, AdmissionQueue, EndpointRole, ReservationTargets, CountingRule, EndpointChooser, EndpointCandidate, EndpointLedger,
  EndpointOwners, Reservation, ReservationResponse, ReservationTarget, reservationId, ReservationRefusal, ReservationRequest, RESERVATION_RENEW_MS, HostList, LinkLedger,
  localShareSlots, OwnedEndpoint, LedgerRegistry, OWNER_TIMEOUT_MS, Random, UnreachableOwners, SlotOwnership
} from '@jaymill/core'
import type { EventLoop } from './JaymillEventLoop.js'
import { DIGEST_EVERY_MS, FakeHealth } from './JaymillFakeHealth.js'
import type { FakeFleet } from './JaymillFakeFleet.js'
import { BookingMode, Policy } from './JaymillPolicy.js'
import type { WorkRequest } from './JaymillWorkload.js'

/** What all hosts of a run share. */
export interface HostSetup {
  readonly loop: EventLoop
  readonly fleet: FakeFleet
  readonly policy: Policy
  readonly random: Random
  readonly hosts: Map<string, PolicyHost>
  /** Whether two hosts can talk. */
  readonly reachable: (from: string, to: string) => boolean
}

/** Capacity on an endpoint; `release` may be called twice. */
export interface HeldCapacity {
  readonly endpointId: string
  readonly release: () => void
}

/** A queued request. */
export interface QueuedWork extends AdmissionItem {
  readonly work: WorkRequest
}

const MAX_ASKS = 4

/** One entry host: owner of some endpoints, booker for its own requests. */
export class PolicyHost {
  readonly id: string
  readonly zone: string
  readonly book: LedgerRegistry
  readonly queue = new AdmissionQueue<QueuedWork>()
  readonly health: FakeHealth
  alive = true
  private readonly _setup: HostSetup
  private readonly _silent = new UnreachableOwners()
  private readonly _choosers: ReadonlyMap<EndpointRole, EndpointChooser>
  private readonly _used = new Map<string, number>()
  private _shares = new Map<string, EndpointLedger>()
  private _list: HostList
  private _ownership: SlotOwnership

  constructor (setup: HostSetup, id: string, list: HostList) {
    this._setup = setup
    this.id = id
    this.zone = setup.fleet.zoneOfHost(id)
    this.book = new LedgerRegistry(id, setup.policy.counting)
    this._list = list
    this._ownership = new SlotOwnership(setup.fleet.endpoints, list)
    this._choosers = new Map(Object.values(EndpointRole).map(stage => [stage, setup.policy.newChooser()]))
    const pools = Object.values(EndpointRole).map(stage => setup.fleet.endpoints.filter(e => e.role === stage).map(e => e.id))
    this.health = new FakeHealth(setup.loop, setup.policy.newScorer(), id, pools)
    this.adopt(list)
    setup.loop.after(DIGEST_EVERY_MS, () => this._shareHealth())
  }

  /**
   * @param list - Published list, when this host reads it.
   */
  adopt (list: HostList): void {
    this._list = list
    this._ownership = new SlotOwnership(this._setup.fleet.endpoints, list)
    this.book.updateOwnership(list, this._setup.fleet.endpoints, this._setup.loop.nowMs)
    if (this._setup.policy.mode === BookingMode.LocalShare) this._shares = this._newShares()
  }

  /**
   * @param req - What to book.
   * @param onDone - Called with the capacity, or `null` when every choice refused.
   */
  bookSlot (req: ReservationRequest, onDone: (held: HeldCapacity | null) => void): void {
    const order = this._order(req)
    const mode = this._setup.policy.mode
    if (mode === BookingMode.None) onDone({ endpointId: order[0] ?? '', release: () => {} })
    if (mode === BookingMode.LocalShare) onDone(this._bookShare(order, req))
    if (mode === BookingMode.Owner) this._walk(new ReservationTargets(order.slice(0, MAX_ASKS), this._ownersOf, this._silent), req, onDone)
  }

  private readonly _ownersOf = (endpointId: string): EndpointOwners => this._ownership.of(endpointId)

  private _order (req: ReservationRequest): readonly string[] {
    const facts = this._setup.fleet.endpoints
      .filter(endpoint => endpoint.role === req.stage)
      .map(endpoint => this._facts(endpoint))
    const chooser = this._choosers.get(req.stage)
    return chooser?.order(facts, { zone: this.zone, expectedMs: req.expectedMs }, this._setup.random) ?? []
  }

  private _facts (endpoint: OwnedEndpoint): EndpointCandidate {
    const usedSlots = this._used.get(endpoint.id) ?? this._setup.fleet.reported.get(endpoint.id) ?? 0
    return { endpointId: endpoint.id, zone: endpoint.zone, slots: endpoint.slots, usedSlots, weight: this.health.weight(endpoint.id), savedMs: 0 }
  }

  private _walk (walk: ReservationTargets, req: ReservationRequest, onDone: (held: HeldCapacity | null) => void): void {
    const ask = walk.next(this._setup.loop.nowMs)
    if (ask === null) {
      onDone(null)
      return
    }
    this._ask(ask, req, answer => {
      if (answer === null) walk.recordTimeout(ask, this._setup.loop.nowMs)
      else walk.recordResponse(ask, answer)
      if (answer !== null) this._noteFree(ask.endpointId, answer)
      if (answer?.grant) onDone(this._hold(ask, answer.grant))
      else this._walk(walk, req, onDone)
    })
  }

  private _ask (ask: ReservationTarget, req: ReservationRequest, onAnswer: (answer: ReservationResponse | null) => void): void {
    let open = true
    const settle = (answer: ReservationResponse | null): void => {
      if (!open) this._releaseLate(ask, answer)
      if (!open) return
      open = false
      if (this.alive) onAnswer(answer)
    }
    this._setup.loop.after(OWNER_TIMEOUT_MS, () => { if (open) settle(null) })
    this._send(ask.hostId, owner => {
      const answer = owner.book.reserve(ask.endpointId, req, this._setup.loop.nowMs)
      owner._send(this.id, () => settle(answer))
    })
  }

  private _releaseLate (ask: ReservationTarget, answer: ReservationResponse | null): void {
    const grant = answer?.grant
    if (grant) this._send(ask.hostId, owner => owner.book.release(ask.endpointId, grant.id, this._setup.loop.nowMs))
  }

  private _hold (ask: ReservationTarget, grant: Reservation): HeldCapacity {
    let held = true
    const renew = (): void => {
      if (!held || !this.alive) return
      this._send(ask.hostId, owner => owner.book.renew(ask.endpointId, grant.id, this._setup.loop.nowMs))
      this._setup.loop.after(RESERVATION_RENEW_MS, renew)
    }
    this._setup.loop.after(RESERVATION_RENEW_MS, renew)
    const release = (): void => {
      if (!held) return
      held = false
      this._send(this._currentOwner(ask), owner => owner.book.release(ask.endpointId, grant.id, this._setup.loop.nowMs))
    }
    return { endpointId: ask.endpointId, release }
  }

  private _currentOwner (ask: ReservationTarget): string {
    const { owner, backupOwner } = this._ownersOf(ask.endpointId)
    const stillGrants = owner?.id === ask.hostId || backupOwner?.id === ask.hostId
    return stillGrants ? ask.hostId : owner?.id ?? ask.hostId
  }

  private _send (to: string, deliver: (host: PolicyHost) => void): void {
    const target = this._setup.hosts.get(to)
    const delayMs = this._setup.fleet.delayMs(this.zone, this._setup.fleet.zoneOfHost(to))
    if (!this.alive) return
    this._setup.loop.after(to === this.id ? 0 : delayMs, () => {
      if (target?.alive === true && this._setup.reachable(this.id, to)) deliver(target)
    })
  }

  private _shareHealth (): void {
    if (!this.alive) return
    const digest = this.health.digest()
    const others = this._list.hosts.filter(({ id }) => id !== this.id)
    others.forEach(({ id }) => this._send(id, host => host.health.merge(digest)))
    this._setup.loop.after(DIGEST_EVERY_MS, () => this._shareHealth())
  }

  private _noteFree (endpointId: string, answer: ReservationResponse): void {
    const slots = this._setup.fleet.endpoints.find(endpoint => endpoint.id === endpointId)?.slots ?? 0
    const full = answer.refusal === ReservationRefusal.NoSlot || answer.refusal === ReservationRefusal.NoPieces
    if (answer.refusal === null || full) this._used.set(endpointId, full ? slots : slots - answer.free.slots)
  }

  private _bookShare (order: readonly string[], req: ReservationRequest): HeldCapacity | null {
    const nowMs = this._setup.loop.nowMs
    if (req.stage === EndpointRole.Prefill) return { endpointId: order[0] ?? '', release: () => {} }
    const endpointId = order.find(id => this._shares.get(id)?.reserve(req, nowMs).grant)
    if (endpointId === undefined) return null
    return { endpointId, release: () => this._shares.get(endpointId)?.release(reservationId(req), this._setup.loop.nowMs) }
  }

  private _newShares (): Map<string, EndpointLedger> {
    const index = this._list.hosts.findIndex(host => host.id === this.id)
    const hosts = this._list.hosts.length
    return new Map(this._setup.fleet.endpoints.map((endpoint, at) => {
      const slots = localShareSlots(endpoint.slots, hosts, (index + at) % hosts)
      const pieces = Math.floor(endpoint.kvPieces / hosts)
      const link = new LinkLedger(endpoint.linkBytesPerSecond / hosts)
      return [endpoint.id, new EndpointLedger({ slots, pieces, role: endpoint.role }, link, CountingRule.Exact)]
    }))
  }
}
