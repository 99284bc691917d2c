import { CLOCK_SKEW_MS, LEASE_MS } from './constants.js'
import { GroupList, Instant, recoveryQuorumOf } from './JaymillGroupList.js'
import { ListHistory } from './JaymillListHistory.js'
import { LeaseAnswer } from './JaymillLeaseMessages.js'

interface Heard {
  readonly sentAtMs: number
  readonly answer: LeaseAnswer
}

/**
 * Restart rule: a new process neither confirms nor acts before it has waited for the lease time and then heard enough
 * hosts of every list that may have been active to learn whatever an earlier process of this host adopted
 * (recovery of diskless replicas, Liskov and Cowling, Viewstamped Replication Revisited, section 4.3).
 */
export class Recovery {
  private readonly _self: string
  private readonly _startedAt: Instant
  private readonly _skewMs: number
  private readonly _heard = new Map<string, Heard>()

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
   * @param answer - Answer of another host.
   * @param sentAtMs - Monotonic time at which its question was sent, in milliseconds.
   */
  hear (answer: LeaseAnswer, sentAtMs: number): void {
    if (!answer.recovered || sentAtMs < this.waitUntilMs) return
    this._heard.set(answer.from, { sentAtMs, answer })
  }

  /** Monotonic time before which no answer counts, in milliseconds. */
  get waitUntilMs (): number {
    return this._startedAt.nowMs + LEASE_MS
  }

  /**
   * Tells whether this process has been running since before a declared cold start, so that it has forgotten nothing.
   *
   * @param list - Published list.
   * @returns Whether the declaration stands in for the answers of others.
   */
  coversColdStart (list: GroupList): boolean {
    return list.coldStartAtMs !== undefined && this._startedAt.wallMs < list.coldStartAtMs - this._skewMs
  }

  /**
   * Builds the history of the recovered host.
   *
   * @param published - Highest published list that this process has seen.
   * @param nowMs - Monotonic time in milliseconds.
   * @returns The history, or `undefined` while too few hosts have answered.
   */
  complete (published: GroupList, nowMs: number): ListHistory | undefined {
    if (this._heard.size === 0) return undefined
    const history = this._merged(nowMs)
    const lists = [...history.openBefore(Infinity), published].filter(list => list.revision >= history.floor)
    if (!lists.every(list => this._heardEnough(list))) return undefined
    const highest = lists.reduce((a, b) => b.revision > a.revision ? b : a)
    history.adopt(highest)
    return history
  }

  /**
   * Hosts whose answers are still of use.
   *
   * @param published - Highest published list that this process has seen.
   * @param nowMs - Monotonic time in milliseconds.
   * @returns Ids of other hosts.
   */
  targets (published: GroupList, nowMs: number): string[] {
    if (nowMs < this.waitUntilMs) return []
    const lists = [...this._merged(nowMs).openBefore(Infinity), published]
    return [...new Set(lists.flatMap(list => list.members))].filter(id => id !== this._self)
  }

  private _merged (nowMs: number): ListHistory {
    const history = new ListHistory()
    this._heard.forEach(({ answer }) => history.merge(answer, nowMs))
    return history
  }

  private _heardEnough (list: GroupList): boolean {
    const others = list.members.filter(id => id !== this._self)
    return others.filter(id => this._heard.has(id)).length >= recoveryQuorumOf(list)
  }
}
