import { GrantAnswer } from './JaymillGrant.js'
import { OWNER_SILENT_MS } from './JaymillRoutingConstants.js'
import type { EndpointOwners } from './JaymillSlotOwnership.js'

/** One question to the owner, or deputy, of an endpoint. */
export interface GrantAsk {
  readonly endpointId: string
  readonly hostId: string
}

/** Owners that did not answer of late. */
export class SilentOwners {
  private readonly _untilMs = new Map<string, number>()

  /**
   * @param hostId - Host that did not answer.
   * @param nowMs - Monotonic time in milliseconds.
   */
  add (hostId: string, nowMs: number): void {
    this._untilMs.set(hostId, nowMs + OWNER_SILENT_MS)
  }

  /**
   * @param hostId - Host that answered.
   */
  clear (hostId: string): void {
    this._untilMs.delete(hostId)
  }

  /**
   * @param hostId - Host asked about.
   * @param nowMs - Monotonic time in milliseconds.
   * @returns Whether the host should not be asked now.
   */
  has (hostId: string, nowMs: number): boolean {
    return (this._untilMs.get(hostId) ?? Number.NEGATIVE_INFINITY) > nowMs
  }
}

/** Walks the endpoints in order of preference until an owner grants. */
export class BookingWalk {
  private readonly _ownersOf: (endpointId: string) => EndpointOwners
  private readonly _silent: SilentOwners
  private _left: readonly string[]

  /**
   * @param order - Endpoints from the first choice on.
   * @param ownersOf - Owner and deputy of an endpoint.
   * @param silent - Shared by all walks of this host.
   */
  constructor (order: readonly string[], ownersOf: (endpointId: string) => EndpointOwners, silent: SilentOwners) {
    this._left = order
    this._ownersOf = ownersOf
    this._silent = silent
  }

  /**
   * @param nowMs - Monotonic time in milliseconds.
   * @returns Whom to ask next, or `null` when every choice refused.
   */
  next (nowMs: number): GrantAsk | null {
    const [endpointId, ...rest] = this._left
    if (endpointId === undefined) return null
    const { owner, deputy } = this._ownersOf(endpointId)
    const host = [owner, deputy].find(candidate => candidate !== undefined && !this._silent.has(candidate.id, nowMs))
    if (host !== undefined) return { endpointId, hostId: host.id }
    this._left = rest
    return this.next(nowMs)
  }

  /**
   * Notes an answer; after a refusal the next endpoint is due.
   *
   * @param ask - Question that was answered.
   * @param answer - Its answer.
   */
  answered (ask: GrantAsk, answer: GrantAnswer): void {
    this._silent.clear(ask.hostId)
    if (answer.grant === null) this._left = this._left.filter(id => id !== ask.endpointId)
  }

  /**
   * Notes that no answer came within `OWNER_WAIT_MS`; the deputy of the same endpoint is due.
   *
   * @param ask - Question without an answer.
   * @param nowMs - Monotonic time in milliseconds.
   */
  unanswered (ask: GrantAsk, nowMs: number): void {
    this._silent.add(ask.hostId, nowMs)
  }
}
