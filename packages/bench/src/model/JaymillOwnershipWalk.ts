import { CLOCK_SKEW_MS, DecisionKind, KeyOwner, LEASE_MS, SeededRandom } from '@jaymill/core'
import type { Decision, Instant, KeyedRequest, KeyOwnerComponents, LeaseGroup, RunPermit } from '@jaymill/core'
import { IMMEDIATE_SEND_SHARE, RECENT_KEYS, RECENT_SENDS, ROUND_MS, WALK_EPOCH_MS, WALK_HOSTS } from './constants.js'
import { WalkNetwork } from './JaymillWalkNetwork.js'

/** Kinds of action in a walk. */
export enum WalkKind {
  Run = 'run',
  Publish = 'publish',
  Distribute = 'show',
  Partition = 'split',
  Heal = 'heal',
  Pause = 'pause',
  Wake = 'wake',
  Restart = 'restart',
  Mint = 'mint',
  Request = 'request',
  Recall = 'recall',
  Send = 'send',
  ColdStart = 'cold-start'
}

/** One action; the meaning of `bits` and `pick` depends on the kind. */
export interface WalkAction {
  readonly kind: WalkKind
  readonly bits: number
  readonly pick: number
}

/** Creates the components of one host that replace the default ones; absent ones keep the default, which is safe. */
export type ComponentsFactory = (self: string, startedAt: Instant) => Partial<KeyOwnerComponents>

/** Invariant violated in a walk. */
export enum Violation {
  RunTwice = 'run-twice',
  FalseNotRun = 'false-not-run'
}

interface WalkHost {
  readonly id: string
  readonly skewMs: number
  incarnation: number
  owner: KeyOwner
  awake: boolean
}

interface OpenSend {
  readonly host: WalkHost
  readonly incarnation: number
  readonly permit: RunPermit
  markedSent: boolean
}

const IDS = Array.from({ length: WALK_HOSTS }, (_, i) => `host-${i}`)
const EVERY_HOST = 2 ** WALK_HOSTS - 1
const subset = (bits: number) => IDS.filter((_, i) => (bits >> i) % 2 === 1)

/** Random walk over several real `KeyOwner`s that checks that no key runs twice and that no key reported as not run has run. */
export class OwnershipWalk {
  /** Number of calls that reached an endpoint. */
  executions = 0
  /** Number of decisions by kind. */
  readonly decisions = new Map<DecisionKind, number>()
  /** Violated invariants. */
  readonly violations: Violation[] = []

  private _nowMs = 0
  private _minted = 0
  private readonly _nextRandom: () => number
  private readonly _network: WalkNetwork
  private readonly _components: ComponentsFactory
  private readonly _hosts: WalkHost[]
  private readonly _groups: LeaseGroup[] = []
  private _keys: KeyedRequest[] = []
  private _sends: OpenSend[] = []
  private readonly _ran = new Set<string>()
  private readonly _notRun = new Set<string>()

  /**
   * @param seed - Seed of network faults and of the random choices in restarts and sends.
   * @param components - Creates the components of each host that replace the default ones.
   */
  constructor (seed: number, components: ComponentsFactory = () => ({})) {
    const random = new SeededRandom(seed)
    this._nextRandom = () => random.next()
    this._network = new WalkNetwork(this._nextRandom)
    this._components = components
    this._hosts = IDS.map((id, i) => this._start(id, (i / (WALK_HOSTS - 1) - 0.5) * CLOCK_SKEW_MS))
    this._coldStart(WALK_HOSTS ** 5)
  }

  /**
   * Performs one action.
   *
   * @param action - Action to perform.
   */
  step (action: WalkAction): void {
    const host = this._hosts[action.pick % WALK_HOSTS] as WalkHost
    const key = this._keys[action.pick % RECENT_KEYS]
    const steps: Record<WalkKind, () => void> = {
      [WalkKind.Run]: () => this._run(1 + action.pick % 40),
      [WalkKind.Publish]: () => this._publish(action),
      [WalkKind.Distribute]: () => this._distribute(action.bits, action.pick),
      [WalkKind.Partition]: () => this._network.partition(new Set(subset(action.bits))),
      [WalkKind.Heal]: () => this._network.partition(new Set()),
      [WalkKind.Pause]: () => { host.awake = false },
      [WalkKind.Wake]: () => this._wake(),
      [WalkKind.Restart]: () => this._restart(host),
      [WalkKind.Mint]: () => this._mint(action),
      [WalkKind.Request]: () => this._request(action.pick % 2 === 0 ? EVERY_HOST : action.bits, key),
      [WalkKind.Recall]: () => this._awake(action.bits).forEach(item =>
        key !== undefined && this._recordDecision(item.owner.recall(key, this._at(item)), key)),
      [WalkKind.Send]: () => this._send(action),
      [WalkKind.ColdStart]: () => this._declareColdStart(action)
    }
    steps[action.kind]()
  }

  private _at (host: { readonly skewMs: number }): Instant {
    return { nowMs: this._nowMs, wallMs: WALK_EPOCH_MS + this._nowMs + host.skewMs }
  }

  private _start (id: string, skewMs: number, incarnation = 1): WalkHost {
    const at = this._at({ skewMs })
    return {
      id,
      skewMs,
      incarnation,
      owner: new KeyOwner({ self: id, incarnation, startedAt: at }, this._components(id, at)),
      awake: true
    }
  }

  private _restart (host: WalkHost): void {
    const restarted = this._start(host.id, host.skewMs, host.incarnation + 1)
    Object.assign(host, restarted)
    this._sends = this._sends.filter(send => send.host !== host || send.incarnation === host.incarnation)
    const group = this._groups.at(-1 - Math.floor(this._nextRandom() * 2)) ?? this._groups.at(-1)
    if (group !== undefined) host.owner.updateGroup(group, this._at(host))
  }

  private _wake (): void {
    this._hosts.forEach(host => { host.awake = true })
  }

  private _awake (bits: number): WalkHost[] {
    return this._hosts.filter((host, i) => host.awake && (bits >> i) % 2 === 1)
  }

  private _run (rounds: number): void {
    Array.from({ length: rounds }).forEach(() => this._round())
  }

  private _round (): void {
    this._nowMs += ROUND_MS
    this._hosts.filter(host => host.awake).forEach(host => {
      host.owner.tick(this._at(host)).forEach(({ to, request }) =>
        this._network.send({ from: host.id, to, body: { request } }, this._nowMs))
    })
    this._deliver()
    this._deliver()
  }

  private _deliver (): void {
    const byId = new Map(this._hosts.map(host => [host.id, host]))
    this._network.arrivals(this._nowMs, id => byId.get(id)?.awake === true).forEach(({ from, to, body }) => {
      const host = byId.get(to) as WalkHost
      if ('response' in body) return host.owner.receive(body.response, this._at(host))
      this._network.send({ from: to, to: from, body: { response: host.owner.respond(body.request) } }, this._nowMs)
    })
  }

  private _publish ({ bits, pick }: WalkAction): void {
    const last = this._groups.at(-1)?.members ?? IDS
    const replaced = IDS[bits % WALK_HOSTS]
    const members = pick % 4 === 0 ? subset(bits) : IDS.filter(id => last.includes(id) !== (id === replaced))
    if (members.length === 0) return
    const live = members.filter((_, i) => (pick >> i) % 8 !== 0)
    this._groups.push({ revision: this._groups.length + 1, members, owners: live.length > 0 ? live : members })
    this._distribute(pick % 2 === 0 ? pick >> 5 : EVERY_HOST, 0)
  }

  private _distribute (bits: number, pick: number): void {
    const group = this._groups.at(-1 - pick % 2)
    if (group !== undefined) this._awake(bits).forEach(host => host.owner.updateGroup(group, this._at(host)))
  }

  private _declareColdStart ({ bits }: WalkAction): void {
    this._hosts.forEach(host => this._restart(host))
    this._network.partition(new Set())
    this._wake()
    this._run(Math.ceil(LEASE_MS / ROUND_MS))
    this._keys = this._keys.filter(key => key.key.length === 36)
    this._coldStart(bits)
  }

  private _coldStart (bits: number): void {
    const members = subset(bits).length >= 3 ? subset(bits) : IDS
    this._run(Math.ceil(3 * CLOCK_SKEW_MS / ROUND_MS))
    const group = { revision: this._groups.length + 1, members, owners: members, coldStartAtMs: WALK_EPOCH_MS + this._nowMs }
    this._groups.push(group)
    this._hosts.forEach(host => host.owner.updateGroup(group, this._at(host)))
    this._run(20)
  }

  private _mint ({ bits, pick }: WalkAction): void {
    this._minted += 1
    const offsetMs = pick % 3 === 0 ? (bits - 16) * 100 : 0
    const time = Math.floor(WALK_EPOCH_MS + this._nowMs + offsetMs).toString(16).padStart(12, '0')
    const tail = this._minted.toString(16).padStart(12, '0')
    const key = pick % 7 === 0 ? `plain-${this._minted}` : `${time.slice(0, 8)}-${time.slice(8)}-7000-8000-${tail}`
    this._keys = [{ scope: 'account', key, fingerprint: 'body' }, ...this._keys].slice(0, RECENT_KEYS)
    if (pick % 2 === 0) this._request(EVERY_HOST, this._keys[0])
  }

  private _request (bits: number, key: KeyedRequest | undefined): void {
    if (key === undefined) return
    this._awake(bits).forEach(host => {
      const decision = host.owner.begin(key, this._at(host))
      this._recordDecision(decision, key)
      if (decision.kind === DecisionKind.Run) {
        this._sends.push({ host, incarnation: host.incarnation, permit: decision.permit, markedSent: false })
        if (this._nextRandom() < IMMEDIATE_SEND_SHARE) this._send({ bits: 4, pick: 0 })
      }
    })
  }

  private _recordDecision (decision: Decision, key: KeyedRequest): void {
    this.decisions.set(decision.kind, (this.decisions.get(decision.kind) ?? 0) + 1)
    if (decision.kind === DecisionKind.NotRun) this._recordNotRun(`${key.scope}/${key.key}`)
  }

  private _recordNotRun (id: string): void {
    this._notRun.add(id)
    if (this._ran.has(id)) this.violations.push(Violation.FalseNotRun)
  }

  private _send ({ bits, pick }: Omit<WalkAction, 'kind'>): void {
    const send = this._sends.at(-1 - pick % Math.max(1, Math.min(RECENT_SENDS, this._sends.length)))
    if (send?.host.awake !== true) return
    const { host, permit } = send
    if (!send.markedSent) send.markedSent = host.owner.tryMarkSent(permit, this._at(host))
    if (send.markedSent && bits % 3 === 0) return
    this._sends = this._sends.filter(item => item !== send)
    if (!send.markedSent) this._recordNotRun(permit.id)
    else if (bits % 8 === 1) this._recordRefusal(host, permit)
    else this._execute(host, permit, bits)
  }

  private _recordRefusal (host: WalkHost, permit: RunPermit): void {
    host.owner.recordRefused(permit)
    this._recordNotRun(permit.id)
  }

  private _execute (host: WalkHost, permit: RunPermit, bits: number): void {
    this.executions += 1
    if (this._ran.has(permit.id)) this.violations.push(Violation.RunTwice)
    if (this._notRun.has(permit.id)) this.violations.push(Violation.FalseNotRun)
    this._ran.add(permit.id)
    if (bits % 4 === 2) return host.owner.recordLost(permit)
    host.owner.recordRan(permit, { status: 201, headers: {}, body: new Uint8Array(8) })
  }
}
