import { setTimeout as delay } from 'node:timers/promises'
import type { ServiceAnswer } from '@jaymill/adapters'
import { ReservationHandle, ErrorKind, JaymillError, RanState, RequestError, RequestEvent, RequestRecord } from '@jaymill/core'
import { bookService, callService, ServiceSend } from '../callers/JaymillServiceCall.js'
import type { HostContext } from '../JaymillHostContext.js'
import { MAX_SERVICE_ATTEMPTS } from './constants.js'

/** Failures after which an idempotent call may be sent again. */
const REPEATED: readonly ErrorKind[] = [ErrorKind.EndpointRefused, ErrorKind.EndpointFailed, ErrorKind.Stalled]

/** One copy of a call on its way. */
interface Copy {
  readonly ctl: AbortController
  booking: ReservationHandle | null
}

/** An idempotent call without a body: retried and hedged inside the budgets, the first answer wins. */
export class RepeatableCall {
  private readonly _ctx: HostContext
  private readonly _send: ServiceSend
  private readonly _accountId: string
  private readonly _record: RequestRecord
  private readonly _copies = new Set<Copy>()
  private _attempts = 0
  private _won = false

  /**
   * @param ctx - Shared parts of the host.
   * @param send - What to send.
   * @param accountId - Account of the caller.
   * @param record - Record of the request.
   */
  constructor (ctx: HostContext, send: ServiceSend, accountId: string, record: RequestRecord) {
    this._ctx = ctx
    this._send = send
    this._accountId = accountId
    this._record = record
  }

  /**
   * Sends the call.
   *
   * @param signal - Cancels all copies.
   * @returns The first answer.
   * @throws JaymillError of the first copy when all have failed.
   */
  async answer (signal: AbortSignal): Promise<ServiceAnswer> {
    const { route } = this._send.match
    const { hedge, retries } = this._ctx.health
    retries.counted(route.id)
    const startedMs = this._ctx.clock.nowMs()
    const waitMs = hedge.delayMs(route, startedMs)
    const first = this._withRetries(signal)
    const copies = waitMs === null ? [first] : [first, this._hedge(waitMs, signal)]
    const answer = await Promise.any(copies).catch(() => first)
    hedge.observe(route, this._ctx.clock.nowMs() - startedMs)
    return answer
  }

  /** Releases all bookings and cancels what still runs. */
  release (): void {
    this._copies.forEach(copy => this._end(copy))
  }

  private async _withRetries (signal: AbortSignal): Promise<ServiceAnswer> {
    try {
      return await this._copy(signal)
    } catch (err) {
      const repeated = err instanceof JaymillError && REPEATED.includes(err.kind) && !signal.aborted && !this._won
      const { retries } = this._ctx.health
      if (!repeated || this._attempts >= MAX_SERVICE_ATTEMPTS || !retries.spend(this._send.match.route.id)) throw err
      this._record.decide(RequestEvent.Retry, err.message, this._ctx.clock.nowMs())
      await delay(retries.backoffMs(this._attempts), undefined, { signal }).catch(() => signal.throwIfAborted())
      return await this._withRetries(signal)
    }
  }

  private async _hedge (waitMs: number, signal: AbortSignal): Promise<ServiceAnswer> {
    await delay(waitMs, undefined, { signal, ref: false }).catch(() => signal.throwIfAborted())
    const { route } = this._send.match
    if (this._won || !this._ctx.health.hedge.spend(route)) throw new RequestError(ErrorKind.Overloaded, 'no hedge is due')
    return await this._copy(signal)
  }

  private async _copy (signal: AbortSignal): Promise<ServiceAnswer> {
    this._attempts += 1
    const copy: Copy = { ctl: new AbortController(), booking: null }
    const used = [...this._copies].flatMap(({ booking }) => booking === null ? [] : [booking.endpointId])
    this._copies.add(copy)
    const both = AbortSignal.any([signal, copy.ctl.signal])
    try {
      const { match, requestId } = this._send
      copy.booking = await bookService(this._ctx, requestId, this._accountId, match, both, { attempt: this._attempts, exclude: used })
      this._decide(copy.booking)
      const answer = await callService(this._ctx, this._send, copy.booking, both)
      this._win(copy)
      return answer
    } catch (err) {
      this._end(copy)
      throw err
    }
  }

  private _win (winner: Copy): void {
    if (this._won) throw new RequestError(ErrorKind.Superseded, 'another copy has answered', { ran: RanState.Yes })
    this._won = true
    const others = [...this._copies].filter(copy => copy !== winner)
    others.forEach(copy => this._end(copy))
  }

  private _end (copy: Copy): void {
    copy.ctl.abort(new RequestError(ErrorKind.Superseded, 'another copy has answered', { ran: RanState.Unknown }))
    if (copy.booking !== null) this._ctx.booker.release(copy.booking)
  }

  private _decide (booking: ReservationHandle): void {
    const reason = this._attempts === 1 ? `owner ${booking.ownerId}` : `copy ${this._attempts}, owner ${booking.ownerId}`
    this._record.decide(RequestEvent.Execute, reason, this._ctx.clock.nowMs(), booking.endpointId)
  }
}
