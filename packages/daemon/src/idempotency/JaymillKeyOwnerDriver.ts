import {
  Clock, DecisionKind, HostIdentity, HostList, Instant, KeyOwner, KeyOwnerSnapshot, KeyRecords, LeaseHandler, toLeaseGroup
} from '@jaymill/core'
import type { AddressedLeaseRequest, Decision, LeaseRequest, LeaseResponse } from '@jaymill/core'
import type { HostSettings } from '@jaymill/settings'
import type { Logger } from 'winston'
import type { PeerNetwork } from '../peers/JaymillPeerNetwork.js'
import { LEASE_REQUEST_TIMEOUT_MS, MAX_FORMER_HOSTS, KEY_OWNER_STEP_MS } from './constants.js'

/** Components of the host that the key owner driver uses. */
export interface KeyOwnerDriverOptions {
  readonly identity: HostIdentity
  readonly limits: HostSettings['limits']
  readonly clock: Clock
  readonly log: Logger
  readonly peers: PeerNetwork
  /** Active host list; throws before the first one. */
  readonly hosts: () => HostList
}

/** Snapshot of the key owner with the number of its decisions by kind. */
export interface KeyOwnerStatus extends KeyOwnerSnapshot {
  readonly decisions: Readonly<Partial<Record<DecisionKind, number>>>
}

/** Runs the key owner: passes it the time and the active host list, and sends its lease requests to other hosts. */
export class KeyOwnerDriver extends LeaseHandler {
  /** State machine that decides whether this host may run the request of a key. */
  readonly owner: KeyOwner
  private readonly _options: KeyOwnerDriverOptions
  private readonly _decisions = new Map<DecisionKind, number>()
  private readonly _urls = new Map<string, string>()
  private _hosts: HostList | undefined

  /**
   * @param options - Components of the host.
   */
  constructor (options: KeyOwnerDriverOptions) {
    super()
    const { identity, limits } = options
    this._options = options
    const records = new KeyRecords({ records: limits.keyRecords, retentionMs: limits.keyRecordMs })
    const self = { self: identity.id, incarnation: identity.incarnation, startedAt: this.at, skewMs: limits.clockSkewMs }
    this.owner = new KeyOwner(self, { records })
  }

  /** Current time of the monotonic and the wall clock. */
  get at (): Instant {
    return { nowMs: this._options.clock.nowMs(), wallMs: this._options.clock.wallMs() }
  }

  /**
   * Runs until the signal aborts.
   *
   * @param signal - Stops the timer and cancels the lease requests.
   */
  start (signal: AbortSignal): void {
    const timer = setInterval(() => this._step(signal), KEY_OWNER_STEP_MS)
    signal.addEventListener('abort', () => clearInterval(timer), { once: true })
  }

  /** {@inheritDoc @jaymill/core#LeaseHandler.confirmLease} */
  async confirmLease (request: LeaseRequest): Promise<LeaseResponse> {
    return this.owner.respond(request)
  }

  /**
   * Counts a decision for operators.
   *
   * @param decision - Decision made on this host.
   * @returns The same decision.
   */
  countDecision (decision: Decision): Decision {
    this._decisions.set(decision.kind, (this._decisions.get(decision.kind) ?? 0) + 1)
    return decision
  }

  /**
   * @returns Status for the admin API and metrics.
   */
  status (): KeyOwnerStatus {
    return { ...this.owner.snapshot(this.at), decisions: Object.fromEntries(this._decisions) }
  }

  /**
   * Finds the address of a host, including hosts that have recently left the host list.
   *
   * @param hostId - Id of the host.
   * @returns Base URL of its peer listener, or `undefined` if it is not known.
   */
  urlOf (hostId: string): string | undefined {
    return this._urls.get(hostId)
  }

  private _step (signal: AbortSignal): void {
    this._adoptHostList()
    this.owner.tick(this.at).forEach(item => { this._sendRequest(item, signal).catch(err => this._logFailure(item, err)) })
  }

  private _adoptHostList (): void {
    const hosts = this._currentHosts()
    if (hosts === undefined || hosts === this._hosts) return
    this._hosts = hosts
    hosts.hosts.forEach(({ id, peerUrl }) => { this._urls.delete(id); this._urls.set(id, peerUrl) })
    ;[...this._urls.keys()].slice(0, -hosts.hosts.length - MAX_FORMER_HOSTS).forEach(id => this._urls.delete(id))
    this.owner.updateGroup(toLeaseGroup(hosts), this.at)
  }

  private _currentHosts (): HostList | undefined {
    try {
      return this._options.hosts()
    } catch {
      return undefined
    }
  }

  private async _sendRequest ({ to, request }: AddressedLeaseRequest, signal: AbortSignal): Promise<void> {
    const url = this._urls.get(to)
    if (url === undefined) return
    const timeout = AbortSignal.any([signal, AbortSignal.timeout(LEASE_REQUEST_TIMEOUT_MS)])
    this.owner.receive(await this._options.peers.clientAt(to, url).confirmLease(request, timeout), this.at)
  }

  private _logFailure ({ to }: AddressedLeaseRequest, err: unknown): void {
    this._options.log.debug('lease request failed', { to, err })
  }
}
