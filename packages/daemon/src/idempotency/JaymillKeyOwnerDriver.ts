import { Clock, DecisionKind, HostIdentity, HostList, Instant, KeyOwner, KeyOwnerFacts, KeyRecords, LeaseHandler, toGroupList } from '@jaymill/core'
import type { AddressedQuestion, Decision, LeaseAnswer, LeaseQuestion } from '@jaymill/core'
import type { HostSettings } from '@jaymill/settings'
import type { Logger } from 'winston'
import type { PeerNetwork } from '../peers/JaymillPeerNetwork.js'
import { MAX_FORMER_HOSTS, QUESTION_TIMEOUT_MS, TICK_MS } from './constants.js'

/** What the driver needs of its host. */
export interface KeyOwnerDriverOptions {
  readonly identity: HostIdentity
  readonly limits: HostSettings['limits']
  readonly clock: Clock
  readonly log: Logger
  readonly peers: PeerNetwork
  /** Host list in force; throws before the first one. */
  readonly hosts: () => HostList
}

/** Facts of the key owner with the decisions it has made. */
export interface KeyOwnerStatus extends KeyOwnerFacts {
  readonly decisions: Readonly<Partial<Record<DecisionKind, number>>>
}

/** Drives the key owner with the clock, the published list and questions over the peer listener. */
export class KeyOwnerDriver extends LeaseHandler {
  /** The state machine. */
  readonly owner: KeyOwner
  private readonly _options: KeyOwnerDriverOptions
  private readonly _decisions = new Map<DecisionKind, number>()
  private readonly _urls = new Map<string, string>()
  private _hosts: HostList | undefined

  /**
   * @param options - Parts of the host.
   */
  constructor (options: KeyOwnerDriverOptions) {
    super()
    const { identity, limits } = options
    this._options = options
    const records = new KeyRecords({ records: limits.keyRecords, retentionMs: limits.keyRecordMs })
    const self = { self: identity.id, incarnation: identity.incarnation, startedAt: this.at, skewMs: limits.clockSkewMs }
    this.owner = new KeyOwner(self, { records })
  }

  /** Current time on both clocks. */
  get at (): Instant {
    return { nowMs: this._options.clock.nowMs(), wallMs: this._options.clock.wallMs() }
  }

  /**
   * Runs until the signal aborts.
   *
   * @param signal - Ends the questions.
   */
  start (signal: AbortSignal): void {
    const timer = setInterval(() => this._step(signal), TICK_MS)
    signal.addEventListener('abort', () => clearInterval(timer), { once: true })
  }

  /** {@inheritDoc @jaymill/core#LeaseHandler.confirmLease} */
  async confirmLease (question: LeaseQuestion): Promise<LeaseAnswer> {
    return this.owner.answer(question)
  }

  /**
   * Counts a decision for operators.
   *
   * @param decision - Decision made on this host.
   * @returns The same decision.
   */
  count (decision: Decision): Decision {
    this._decisions.set(decision.kind, (this._decisions.get(decision.kind) ?? 0) + 1)
    return decision
  }

  /**
   * @returns Facts for status pages and metrics.
   */
  status (): KeyOwnerStatus {
    return { ...this.owner.facts(this.at), decisions: Object.fromEntries(this._decisions) }
  }

  /**
   * Address of a host, also of one that has left the list in force.
   *
   * @param hostId - Host.
   * @returns Base URL of its peer listener, or `undefined` when no list named it.
   */
  urlOf (hostId: string): string | undefined {
    return this._urls.get(hostId)
  }

  private _step (signal: AbortSignal): void {
    this._readList()
    this.owner.tick(this.at).forEach(item => { this._ask(item, signal).catch(err => this._unanswered(item, err)) })
  }

  private _readList (): void {
    const hosts = this._published()
    if (hosts === undefined || hosts === this._hosts) return
    this._hosts = hosts
    hosts.hosts.forEach(({ id, peerUrl }) => { this._urls.delete(id); this._urls.set(id, peerUrl) })
    ;[...this._urls.keys()].slice(0, -hosts.hosts.length - MAX_FORMER_HOSTS).forEach(id => this._urls.delete(id))
    this.owner.publish(toGroupList(hosts), this.at)
  }

  private _published (): HostList | undefined {
    try {
      return this._options.hosts()
    } catch {
      return undefined
    }
  }

  private async _ask ({ to, question }: AddressedQuestion, signal: AbortSignal): Promise<void> {
    const url = this._urls.get(to)
    if (url === undefined) return
    const timeout = AbortSignal.any([signal, AbortSignal.timeout(QUESTION_TIMEOUT_MS)])
    this.owner.receive(await this._options.peers.clientAt(to, url).confirmLease(question, timeout), this.at)
  }

  private _unanswered ({ to }: AddressedQuestion, err: unknown): void {
    this._options.log.debug('lease question unanswered', { to, err })
  }
}
