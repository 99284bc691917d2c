import { CLOCK_SKEW_MS, LEASE_MS } from './constants.js'
import { LeaseGroup, Instant, recoveryQuorumOf } from './JaymillLeaseGroup.js'
import { RevisionHistory } from './JaymillRevisionHistory.js'
import { LeaseResponse } from './JaymillLeaseMessages.js'

interface RecoveryResponse {
  readonly sentAtMs: number
  readonly response: LeaseResponse
}

/**
 * Restart rule: a new process neither confirms leases nor acts until it has waited for the lease duration and then received
 * responses from a recovery quorum of every group that may have been active. The responses cover every revision that an earlier
 * process of this host adopted (recovery of diskless replicas: Liskov and Cowling, Viewstamped Replication Revisited,
 * section 4.3).
 */
export class Recovery {
  private readonly _self: string
  private readonly _startedAt: Instant
  private readonly _skewMs: number
  private readonly _responses = new Map<string, RecoveryResponse>()

  /**
   * @param self - Id of this host.
   * @param startedAt - Start of the process.
   * @param skewMs - Largest difference between the wall clocks of two hosts, in milliseconds.
   */
  constructor (self: string, startedAt: Instant, skewMs = CLOCK_SKEW_MS) {
    this._self = self
    this._skewMs = skewMs
    this._startedAt = startedAt
  }

  /**
   * Records a response; those of recovering hosts, or requested before the wait was over, have no effect.
   *
   * @param response - Response of another host.
   * @param sentAtMs - Monotonic time at which its request was sent, in milliseconds.
   */
  addResponse (response: LeaseResponse, sentAtMs: number): void {
    if (!response.recovered || sentAtMs < this.waitUntilMs) return
    this._responses.set(response.from, { sentAtMs, response })
  }

  /** Responses to requests sent before this monotonic time do not count, in milliseconds. */
  get waitUntilMs (): number {
    return this._startedAt.nowMs + LEASE_MS
  }

  /**
   * Checks whether this process was already running before a declared cold start, so that this host has lost no
   * state since then.
   *
   * @param group - Group of the published list.
   * @returns Whether the cold start replaces the responses of other hosts.
   */
  startedBeforeColdStart (group: LeaseGroup): boolean {
    return group.coldStartAtMs !== undefined && this._startedAt.wallMs < group.coldStartAtMs - this._skewMs
  }

  /**
   * Builds the history of the recovered host.
   *
   * @param published - Group of the highest published list that this process has seen.
   * @param nowMs - Monotonic time in milliseconds.
   * @returns The history, or `undefined` while too few hosts have responded.
   */
  complete (published: LeaseGroup, nowMs: number): RevisionHistory | undefined {
    if (this._responses.size === 0) return undefined
    const history = this._merged(nowMs)
    const groups = [...history.possiblyActiveBefore(Infinity), published].filter(group => group.revision >= history.floor)
    if (!groups.every(group => this._hasQuorum(group))) return undefined
    const highest = groups.reduce((a, b) => b.revision > a.revision ? b : a)
    history.adopt(highest)
    return history
  }

  /**
   * Finds the hosts to which requests should be sent.
   *
   * @param published - Group of the highest published list that this process has seen.
   * @param nowMs - Monotonic time in milliseconds.
   * @returns Ids of other hosts.
   */
  targets (published: LeaseGroup, nowMs: number): string[] {
    if (nowMs < this.waitUntilMs) return []
    const groups = [...this._merged(nowMs).possiblyActiveBefore(Infinity), published]
    return [...new Set(groups.flatMap(group => group.members))].filter(id => id !== this._self)
  }

  private _merged (nowMs: number): RevisionHistory {
    const history = new RevisionHistory()
    this._responses.forEach(({ response }) => history.merge(response, nowMs))
    return history
  }

  private _hasQuorum (group: LeaseGroup): boolean {
    const others = group.members.filter(id => id !== this._self)
    return others.filter(id => this._responses.has(id)).length >= recoveryQuorumOf(group)
  }
}
