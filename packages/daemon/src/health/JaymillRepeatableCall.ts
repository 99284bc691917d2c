import { setTimeout as delay } from 'node:timers/promises'
import type { ServiceResponse } from '@jaymill/adapters'
import { ErrorKind, JaymillError, RanState, RequestError, RequestEvent, RequestRecord, ReservationHandle } from '@jaymill/core'
import { callService, reserveServiceSlot, ServiceRequest } from '../callers/JaymillServiceCall.js'
import type { HostContext } from '../JaymillHostContext.js'
import { MAX_SERVICE_ATTEMPTS } from './constants.js'

/** Kinds of failures after which an idempotent call may be retried. */
const RETRYABLE_KINDS: readonly ErrorKind[] = [ErrorKind.EndpointRefused, ErrorKind.EndpointFailed, ErrorKind.Stalled]

/** One copy of a call: the first attempt, a retry or a hedge. */
interface Copy {
  readonly controller: AbortController
  reservation: ReservationHandle | null
}

/** An idempotent call without a body: it is retried and hedged within the budgets, and the first response is used. */
export class RepeatableCall {
  private readonly _ctx: HostContext
  private readonly _request: ServiceRequest
  private readonly _accountId: string
  private readonly _record: RequestRecord
  private readonly _copies = new Set<Copy>()
  private _attempts = 0
  private _completed = false

  /**
   * @param ctx - Shared components of the host.
   * @param request - Call to send.
   * @param accountId - Account of the caller.
   * @param record - Record of the request.
   */
  constructor (ctx: HostContext, request: ServiceRequest, accountId: string, record: RequestRecord) {
    this._ctx = ctx
    this._request = request
    this._accountId = accountId
    this._record = record
  }

  /**
   * Sends the call.
   *
   * @param signal - Cancels all copies.
   * @returns The first response.
   * @throws JaymillError of the first copy if all copies have failed.
   */
  async execute (signal: AbortSignal): Promise<ServiceResponse> {
    const { route } = this._request.match
    const { hedge, retries } = this._ctx.health
    retries.recordRequest(route.id)
    const startedMs = this._ctx.clock.nowMs()
    const waitMs = hedge.delayMs(route, startedMs)
    const first = this._withRetries(signal)
    const copies = waitMs === null ? [first] : [first, this._hedge(waitMs, signal)]
    const response = await Promise.any(copies).catch(() => first)
    hedge.observe(route, this._ctx.clock.nowMs() - startedMs)
    return response
  }

  /** Releases the reservations of all copies and cancels the copies that are still running. */
  release (): void {
    this._copies.forEach(copy => this._cancel(copy))
  }

  private async _withRetries (signal: AbortSignal): Promise<ServiceResponse> {
    try {
      return await this._sendCopy(signal)
    } catch (err) {
      const retryable = err instanceof JaymillError && RETRYABLE_KINDS.includes(err.kind) && !signal.aborted && !this._completed
      const { retries } = this._ctx.health
      if (!retryable || this._attempts >= MAX_SERVICE_ATTEMPTS || !retries.trySpend(this._request.match.route.id)) throw err
      this._record.decide(RequestEvent.Retry, err.message, this._ctx.clock.nowMs())
      await delay(retries.backoffMs(this._attempts), undefined, { signal }).catch(() => signal.throwIfAborted())
      return await this._withRetries(signal)
    }
  }

  private async _hedge (waitMs: number, signal: AbortSignal): Promise<ServiceResponse> {
    await delay(waitMs, undefined, { signal, ref: false }).catch(() => signal.throwIfAborted())
    const { route } = this._request.match
    if (this._completed || !this._ctx.health.hedge.trySpend(route)) throw new RequestError(ErrorKind.Overloaded, 'no hedge is needed or the hedging budget is spent')
    return await this._sendCopy(signal)
  }

  private async _sendCopy (signal: AbortSignal): Promise<ServiceResponse> {
    this._attempts += 1
    const copy: Copy = { controller: new AbortController(), reservation: null }
    const usedEndpoints = [...this._copies].flatMap(({ reservation }) => reservation === null ? [] : [reservation.endpointId])
    this._copies.add(copy)
    const abortSignal = AbortSignal.any([signal, copy.controller.signal])
    try {
      const { match, requestId } = this._request
      copy.reservation = await reserveServiceSlot(this._ctx, requestId, this._accountId, match, abortSignal, {
        attempt: this._attempts, exclude: usedEndpoints
      })
      this._recordExecute(copy.reservation)
      const response = await callService(this._ctx, this._request, copy.reservation, abortSignal)
      this._complete(copy)
      return response
    } catch (err) {
      this._cancel(copy)
      throw err
    }
  }

  private _complete (winner: Copy): void {
    if (this._completed) throw new RequestError(ErrorKind.Superseded, 'another copy has received a response', { ran: RanState.Yes })
    this._completed = true
    const others = [...this._copies].filter(copy => copy !== winner)
    others.forEach(copy => this._cancel(copy))
  }

  private _cancel (copy: Copy): void {
    copy.controller.abort(new RequestError(ErrorKind.Superseded, 'another copy has received a response', {
      ran: RanState.Unknown
    }))
    if (copy.reservation !== null) this._ctx.slotAllocator.release(copy.reservation)
  }

  private _recordExecute (reservation: ReservationHandle): void {
    const reason = this._attempts === 1 ? `owner ${reservation.ownerId}` : `copy ${this._attempts}, owner ${reservation.ownerId}`
    this._record.decide(RequestEvent.Execute, reason, this._ctx.clock.nowMs(), reservation.endpointId)
  }
}
