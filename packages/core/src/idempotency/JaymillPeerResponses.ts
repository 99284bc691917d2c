import { MAX_PENDING_LEASE_REQUESTS } from './constants.js'
import { LeaseResponse } from './JaymillLeaseMessages.js'

/** Response of a host with the send time of its request, from which the lease counts. */
export interface ReceivedResponse {
  /** Monotonic time at which the request was sent, in milliseconds. */
  readonly sentAtMs: number
  readonly response: LeaseResponse
}

/** Latest responses of the other hosts. Late, repeated and unexpected responses have no effect. */
export class PeerResponses {
  private readonly _incarnation: number
  private readonly _latest = new Map<string, ReceivedResponse>()
  private readonly _pending = new Map<string, Map<number, number>>()

  /**
   * @param incarnation - Incarnation of this process; responses to an earlier one are dropped.
   */
  constructor (incarnation: number) {
    this._incarnation = incarnation
  }

  /**
   * Records that a request is sent.
   *
   * @param to - Id of the receiving host.
   * @param seq - Sequence number of the request.
   * @param nowMs - Monotonic time of sending, in milliseconds.
   */
  recordRequest (to: string, seq: number, nowMs: number): void {
    const pending = this._pending.get(to) ?? new Map<number, number>()
    pending.set(seq, nowMs)
    ;[...pending.keys()].slice(0, -MAX_PENDING_LEASE_REQUESTS).forEach(old => pending.delete(old))
    this._pending.set(to, pending)
  }

  /**
   * Finds the send time of the last request to a host.
   *
   * @param to - Host id.
   * @returns Monotonic time in milliseconds; `-Infinity` if none was sent.
   */
  lastSentMs (to: string): number {
    return [...(this._pending.get(to)?.values() ?? [])].at(-1) ?? -Infinity
  }

  /**
   * Records a response.
   *
   * @param response - Response received.
   * @returns Whether it belongs to a pending request of this process.
   */
  accept (response: LeaseResponse): boolean {
    const sentAtMs = this._pending.get(response.from)?.get(response.seq)
    if (sentAtMs === undefined || response.incarnation !== this._incarnation) return false
    if (sentAtMs >= (this._latest.get(response.from)?.sentAtMs ?? -Infinity)) this._latest.set(response.from, { sentAtMs, response })
    return true
  }

  /**
   * Finds the latest response of a host.
   *
   * @param host - Host id.
   * @returns The response, or `undefined`.
   */
  latest (host: string): ReceivedResponse | undefined {
    return this._latest.get(host)
  }

  /**
   * Drops hosts that are in no group any more.
   *
   * @param hostIds - Hosts to retain.
   */
  retain (hostIds: ReadonlySet<string>): void {
    ;[this._latest, this._pending].forEach(map => [...map.keys()].filter(id => !hostIds.has(id)).forEach(id => map.delete(id)))
  }
}
