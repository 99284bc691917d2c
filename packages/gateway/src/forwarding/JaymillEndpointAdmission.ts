import type { Clock, EndpointRateLimits, EndpointRecord, Random, RateShare, ReportedRateLimit } from '@jaymill/core'
import type { GatewayLog } from '../logging/JaymillGatewayLog.js'
import type { ResponseMetadata } from '../ports/JaymillWireDialect.js'
import { BACKOFF_JITTER_SHARE, MAX_BACKOFF_MS } from './constants.js'

/** Dependencies of the admission. */
export interface EndpointAdmissionContext {
  readonly limits: EndpointRateLimits
  readonly clock: Clock
  readonly random: Random
  readonly log: GatewayLog
  /** Divides the rate of an endpoint among the hosts that are known now. */
  readonly share: () => RateShare
  /** Tells the other hosts about a limit. */
  readonly report: () => void
}

/** Decides whether an endpoint may get one more request of this host, by what the endpoint has asked for in its responses. */
export class EndpointAdmission {
  private readonly _context: EndpointAdmissionContext
  /** Endpoints that have said that they are leaving, with the start time of their process. */
  private readonly _leaving = new Map<string, number | undefined>()
  /** Monotonic times until which endpoints want no requests of this host, in milliseconds. */
  private readonly _backoffUntilMs = new Map<string, number>()

  /**
   * @param context - Dependencies.
   */
  constructor (context: EndpointAdmissionContext) {
    this._context = context
  }

  /**
   * @param endpoint - An endpoint.
   * @returns Whether it may get a request now.
   */
  allows (endpoint: EndpointRecord): boolean {
    return this._untilMs(endpoint) === 0
  }

  /**
   * @param endpoints - Endpoints that may run a request.
   * @returns Time until the first of them may get it, in milliseconds; `undefined` when there are none, when one may get it now,
   * or when this host may not use any of them.
   */
  untilAllowedMs (endpoints: readonly EndpointRecord[]): number | undefined {
    const ms = Math.min(...endpoints.map(endpoint => this._untilMs(endpoint)))
    return ms > 0 && Number.isFinite(ms) ? ms : undefined
  }

  /**
   * Records a request that is sent, or for which capacity has been reserved.
   *
   * @param endpoint - The endpoint.
   */
  sent ({ id }: EndpointRecord): void {
    const { limits, clock } = this._context
    limits.recordSent(id, clock.nowMs())
  }

  /**
   * Withdraws the record of a request that has not been sent after all.
   *
   * @param endpoint - The endpoint.
   */
  notSent ({ id }: EndpointRecord): void {
    this._context.limits.withdrawSent(id)
  }

  /**
   * Reads what an endpoint asks for. Only the response to a caller's request can take something back: responses to other calls need
   * not repeat it, and one that belongs to another request is late.
   *
   * @param endpoint - The endpoint.
   * @param requestId - Id of the caller's request; absent for calls of the host itself.
   * @param metadata - Metadata of the response.
   */
  responded (endpoint: EndpointRecord, requestId: string | undefined, metadata: ResponseMetadata): void {
    const isOwn = requestId !== undefined && metadata.requestId === requestId
    this._readLimit(endpoint, metadata, isOwn)
    this._readLeaving(endpoint, metadata, isOwn)
    this._readBackoff(endpoint, metadata)
  }

  /** Adds a random time, so that not all hosts return at the same moment. A shorter time than an earlier one changes nothing. */
  private _readBackoff ({ id }: EndpointRecord, { backoffMs }: ResponseMetadata): void {
    const { clock, random, log } = this._context
    if (backoffMs === undefined || backoffMs === 0) return
    const nowMs = clock.nowMs()
    const untilMs = nowMs + Math.min(MAX_BACKOFF_MS, backoffMs) * (1 + BACKOFF_JITTER_SHARE * random.next())
    const beforeMs = this._backoffUntilMs.get(id) ?? nowMs
    this._backoffUntilMs.set(id, Math.max(beforeMs, untilMs))
    if (beforeMs <= nowMs) log.stateChange('endpoint wants no requests', { endpoint: id, ms: Math.round(untilMs - nowMs) })
  }

  private _readLeaving (endpoint: EndpointRecord, { leaving }: ResponseMetadata, isOwn: boolean): void {
    const { id, bornMs } = endpoint
    if (leaving === this._isLeaving(endpoint) || (!leaving && !isOwn)) return
    if (leaving) this._leaving.set(id, bornMs)
    else this._leaving.delete(id)
    this._context.log.stateChange(leaving ? 'endpoint says that it leaves' : 'endpoint no longer leaves', { endpoint: id })
  }

  private _readLimit ({ id }: EndpointRecord, { limitPerS }: ResponseMetadata, isOwn: boolean): void {
    const { limits, clock, report } = this._context
    if (limitPerS === undefined && !isOwn) return
    if (!limits.heard(id, limitPerS, clock.nowMs())) return
    this._logLimit(id, limitPerS, 'response')
    report()
  }

  /**
   * Logs limits that other hosts have reported.
   *
   * @param news - Limits that were unknown to this host.
   */
  reported (news: readonly ReportedRateLimit[]): void {
    news.forEach(({ endpointId, perS }) => this._logLimit(endpointId, perS, 'peer'))
  }

  /**
   * Drops all that is known of an endpoint that is gone.
   *
   * @param endpoint - The endpoint.
   */
  forget ({ id }: EndpointRecord): void {
    this._context.limits.forget(id)
    this._leaving.delete(id)
    this._backoffUntilMs.delete(id)
  }

  private _untilMs (endpoint: EndpointRecord): number {
    const { limits, clock, share } = this._context
    const { id } = endpoint
    if (this._isLeaving(endpoint)) return Number.POSITIVE_INFINITY
    const nowMs = clock.nowMs()
    const backoffMs = Math.max(0, (this._backoffUntilMs.get(id) ?? nowMs) - nowMs)
    return limits.limitOf(id) === undefined ? backoffMs : Math.max(backoffMs, limits.untilAllowedMs(id, share(), nowMs))
  }

  /** An endpoint that has started again under the same id has not said anything yet. */
  private _isLeaving ({ id, bornMs }: EndpointRecord): boolean {
    return this._leaving.has(id) && this._leaving.get(id) === bornMs
  }

  private _logLimit (endpoint: string, perS: number | undefined, origin: string): void {
    this._context.log.stateChange(perS === undefined ? 'endpoint lifts its limit' : 'endpoint limits its requests', { endpoint, perS, origin })
  }
}
