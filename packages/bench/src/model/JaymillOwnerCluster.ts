import { CLOCK_SKEW_MS, DecisionKind, KeyOwner } from '@jaymill/core'
import type { Decision, Instant, KeyedRequest, KeyOwnerComponents, LeaseGroup } from '@jaymill/core'
import { ROUND_MS, WALK_EPOCH_MS } from './constants.js'

const SETTLE_MS = 3_000

/** Several key owners on a network without faults or delays that can be partitioned; used for figures and deterministic tests. */
export class OwnerCluster {
  /** Running hosts by id. */
  readonly hosts = new Map<string, KeyOwner>()
  /** Number of messages sent between hosts. */
  messages = 0

  private _nowMs = 0
  private _minted = 0
  private _incarnation = 0
  private _partitionedHosts = new Set<string>()
  private readonly _components: () => Partial<KeyOwnerComponents>

  /**
   * @param ids - Hosts of the first published list.
   * @param components - Creates the components of each host that replace the default ones.
   */
  constructor (ids: readonly string[], components: () => Partial<KeyOwnerComponents> = () => ({})) {
    this._components = components
    ids.forEach(id => this.start(id))
    this.run(3 * CLOCK_SKEW_MS)
    this.publish({ revision: 1, members: ids, owners: ids, coldStartAtMs: this.at.wallMs })
    this.run(SETTLE_MS)
  }

  /** Current time; the clocks of all hosts are synchronized. */
  get at (): Instant {
    return { nowMs: this._nowMs, wallMs: WALK_EPOCH_MS + this._nowMs }
  }

  /**
   * Starts the process of a host.
   *
   * @param id - Host id.
   */
  start (id: string): void {
    this._incarnation += 1
    this.hosts.set(id, new KeyOwner({ self: id, incarnation: this._incarnation, startedAt: this.at }, this._components()))
  }

  /**
   * Stops the process of a host without a shutdown.
   *
   * @param id - Host id.
   */
  kill (id: string): void {
    this.hosts.delete(id)
  }

  /**
   * Publishes a host list to hosts.
   *
   * @param group - Lease group of the published list.
   * @param to - Hosts that receive it; all by default.
   */
  publish (group: LeaseGroup, to: Iterable<string> = this.hosts.keys()): void {
    ;[...to].forEach(id => this.hosts.get(id)?.updateGroup(group, this.at))
  }

  /**
   * Partitions the network between some hosts and the others.
   *
   * @param side - Hosts on one side; empty to end the partition.
   */
  partition (side: readonly string[]): void {
    this._partitionedHosts = new Set(side)
  }

  /**
   * Checks whether two hosts can exchange messages.
   *
   * @param a - Host id.
   * @param b - Host id.
   * @returns Whether both run on the same side of a partition.
   */
  reaches (a: string, b: string): boolean {
    return this.hosts.has(a) && this.hosts.has(b) && this._partitionedHosts.has(a) === this._partitionedHosts.has(b)
  }

  /**
   * Advances the time, with one exchange of lease messages per round.
   *
   * @param ms - Duration in milliseconds.
   * @param afterRound - Called after each round.
   */
  run (ms: number, afterRound: () => void = () => {}): void {
    Array.from({ length: Math.ceil(ms / ROUND_MS) }).forEach(() => {
      this._nowMs += ROUND_MS
      this.hosts.forEach((owner, id) => this._exchange(owner, id))
      afterRound()
    })
  }

  /**
   * Mints a key with the current time.
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
   * Sends a request to an entry host, which forwards it to the owner according to its own list.
   *
   * @param entry - Id of the entry host.
   * @param req - Request.
   * @returns The owner's decision, or `undefined` if the owner is unreachable.
   */
  request (entry: string, req: KeyedRequest): Decision | undefined {
    const ownerId = this.hosts.get(entry)?.ownerOf(req) ?? entry
    const owner = this.reaches(entry, ownerId) ? this.hosts.get(ownerId) : undefined
    const decision = owner?.begin(req, this.at)
    if (owner !== undefined && decision?.kind === DecisionKind.Run && owner.tryMarkSent(decision.permit, this.at)) {
      owner.recordRan(decision.permit, { status: 201, headers: {}, body: new Uint8Array(0) })
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
    owner.tick(this.at).filter(({ to }) => this.reaches(id, to)).forEach(({ to, request }) => {
      this.messages += 2
      const response = this.hosts.get(to)?.respond(request)
      if (response !== undefined) owner.receive(response, this.at)
    })
  }
}
