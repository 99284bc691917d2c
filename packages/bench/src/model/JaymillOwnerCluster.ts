import { CLOCK_SKEW_MS, DecisionKind, KeyOwner } from '@jaymill/core'
import type { Decision, GroupList, Instant, KeyOwnerParts, KeyedRequest } from '@jaymill/core'
import { ROUND_MS, WALK_EPOCH_MS } from './constants.js'

const SETTLE_MS = 3_000

/** Several key owners over a faultless network that can be cut; used for figures and directed tests. */
export class OwnerCluster {
  /** Running hosts by id. */
  readonly hosts = new Map<string, KeyOwner>()
  /** Messages carried between hosts. */
  messages = 0

  private _nowMs = 0
  private _minted = 0
  private _incarnation = 0
  private _side = new Set<string>()
  private readonly _parts: () => Partial<KeyOwnerParts>

  /**
   * @param ids - Hosts of the first list.
   * @param parts - Rules of each host that differ from the safe ones.
   */
  constructor (ids: readonly string[], parts: () => Partial<KeyOwnerParts> = () => ({})) {
    this._parts = parts
    ids.forEach(id => this.start(id))
    this.run(3 * CLOCK_SKEW_MS)
    this.publish({ revision: 1, members: ids, owners: ids, coldStartAtMs: this.at.wallMs })
    this.run(SETTLE_MS)
  }

  /** Current time; the clocks of all hosts agree. */
  get at (): Instant {
    return { nowMs: this._nowMs, wallMs: WALK_EPOCH_MS + this._nowMs }
  }

  /**
   * Starts a process.
   *
   * @param id - Host.
   */
  start (id: string): void {
    this._incarnation += 1
    this.hosts.set(id, new KeyOwner({ self: id, incarnation: this._incarnation, startedAt: this.at }, this._parts()))
  }

  /**
   * Ends a process without notice.
   *
   * @param id - Host.
   */
  kill (id: string): void {
    this.hosts.delete(id)
  }

  /**
   * Shows a list to hosts.
   *
   * @param list - Published list.
   * @param to - Hosts that see it; all by default.
   */
  publish (list: GroupList, to: Iterable<string> = this.hosts.keys()): void {
    ;[...to].forEach(id => this.hosts.get(id)?.publish(list, this.at))
  }

  /**
   * Cuts some hosts off from the others.
   *
   * @param side - Hosts on one side; none ends the cut.
   */
  cut (side: readonly string[]): void {
    this._side = new Set(side)
  }

  /**
   * @param a - Host.
   * @param b - Host.
   * @returns Whether messages pass between them.
   */
  reaches (a: string, b: string): boolean {
    return this.hosts.has(a) && this.hosts.has(b) && this._side.has(a) === this._side.has(b)
  }

  /**
   * Lets time pass.
   *
   * @param ms - Duration in milliseconds.
   * @param eachRound - Called after each round.
   */
  run (ms: number, eachRound: () => void = () => {}): void {
    Array.from({ length: Math.ceil(ms / ROUND_MS) }).forEach(() => {
      this._nowMs += ROUND_MS
      this.hosts.forEach((owner, id) => this._exchange(owner, id))
      eachRound()
    })
  }

  /**
   * Mints a key now.
   *
   * @returns A request with a UUIDv7 key.
   */
  mint (): KeyedRequest {
    this._minted += 1
    const time = this.at.wallMs.toString(16).padStart(12, '0')
    const tail = this._minted.toString(16).padStart(12, '0')
    return { scope: 'account', key: `${time.slice(0, 8)}-${time.slice(8)}-7000-8000-${tail}`, fingerprint: 'body' }
  }

  /**
   * Brings a request to an entry host, which passes it to the owner it knows of.
   *
   * @param entry - Entry host.
   * @param req - Request.
   * @returns The owner's decision, or `undefined` when the owner can't be reached.
   */
  ask (entry: string, req: KeyedRequest): Decision | undefined {
    const ownerId = this.hosts.get(entry)?.ownerOf(req) ?? entry
    const owner = this.reaches(entry, ownerId) ? this.hosts.get(ownerId) : undefined
    const decision = owner?.begin(req, this.at)
    if (owner !== undefined && decision?.kind === DecisionKind.Run && owner.mayRun(decision.permit, this.at)) {
      owner.ran(decision.permit, { status: 201, headers: {}, body: new Uint8Array(0) })
    }
    return decision?.kind === DecisionKind.Unknown ? this._recall(entry, req) ?? decision : decision
  }

  private _recall (entry: string, req: KeyedRequest): Decision | undefined {
    return this.hosts.get(entry)?.formerOwnersOf(req)
      .filter(id => this.reaches(entry, id))
      .map(id => this.hosts.get(id)?.recall(req, this.at))
      .find(decision => decision?.kind !== DecisionKind.Unknown)
  }

  private _exchange (owner: KeyOwner, id: string): void {
    owner.tick(this.at).filter(({ to }) => this.reaches(id, to)).forEach(({ to, question }) => {
      this.messages += 2
      const answer = this.hosts.get(to)?.answer(question)
      if (answer !== undefined) owner.receive(answer, this.at)
    })
  }
}
