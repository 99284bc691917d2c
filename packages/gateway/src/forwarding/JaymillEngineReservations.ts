import type { CapacityProbeLimiter, EndpointRecord } from '@jaymill/core'
import type { GatewayRequest } from '../callers/JaymillGatewayRequest.js'
import { ExchangeError } from '../endpoints/JaymillExchangeError.js'
import { TimeLimit } from '../endpoints/JaymillTimeLimit.js'
import type { Reservation } from '../ports/JaymillEngineControl.js'
import { PREFILL_TIMEOUT_FACTOR, RESERVATION_MARGIN_MS, RESERVE_TIMEOUT_MS } from './constants.js'
import type { ForwardingContext } from './JaymillForwardingContext.js'
import type { PrefilledPrompt } from './JaymillPromptProgress.js'
import { reservedTokensOf } from './JaymillPromptSize.js'

/** Reserves capacity at decode engines, and releases what a request no longer needs. */
export class EngineReservations {
  private readonly _context: ForwardingContext
  private readonly _probeLimiter: CapacityProbeLimiter
  private readonly _onUnreachable: (endpoint: EndpointRecord) => void

  /**
   * @param context - Components of the host.
   * @param probeLimiter - Told about each request for a reservation.
   * @param onUnreachable - Called with an engine that does not answer such a request.
   */
  constructor (context: ForwardingContext, probeLimiter: CapacityProbeLimiter, onUnreachable: (endpoint: EndpointRecord) => void) {
    this._context = context
    this._probeLimiter = probeLimiter
    this._onUnreachable = onUnreachable
  }

  /**
   * Reserves capacity at the first engine that has it.
   *
   * @param request - Request that needs capacity.
   * @param engines - Engines to ask one after the other.
   * @param prefillMs - Expected time of the prefill, for which the reservation has to last, in milliseconds.
   * @returns The reservation, or `undefined` when no engine has capacity.
   */
  async reserveFirst (request: GatewayRequest, engines: readonly EndpointRecord[], prefillMs: number): Promise<Reservation | undefined> {
    const [endpoint, ...rest] = engines
    if (endpoint === undefined || request.signal.aborted) return undefined
    return await this._reserveAt(request, endpoint, prefillMs) ?? await this.reserveFirst(request, rest, prefillMs)
  }

  /**
   * Releases a reservation that a request no longer needs.
   *
   * @param request - The request.
   * @param reservation - Its reservation.
   */
  release (request: GatewayRequest, reservation: Reservation): void {
    this._context.engines.release(reservation).catch(err => this._releaseFailed(request, 'reservation', err))
  }

  /**
   * Frees a prefilled prompt that a request no longer needs.
   *
   * @param request - The request.
   * @param prompt - Its prompt.
   */
  free (request: GatewayRequest, prompt: PrefilledPrompt): void {
    this._context.engines.free(prompt.endpoint, prompt.handle).catch(err => this._releaseFailed(request, 'prompt', err))
  }

  private _releaseFailed ({ id }: GatewayRequest, what: string, err: Error): void {
    this._context.log.request(id, 'release failed', { what, reason: err.message })
  }

  private async _reserveAt (request: GatewayRequest, endpoint: EndpointRecord, prefillMs: number): Promise<Reservation | undefined> {
    const { engines, log, metrics, load, loadAgeMs, clock, admission, reachability } = this._context
    const limit = new TimeLimit(request.signal, RESERVE_TIMEOUT_MS)
    const startMs = clock.nowMs()
    this._probeLimiter.recordProbe(endpoint.id, startMs)
    const work = load.at(endpoint.id)
    const tokens = reservedTokensOf(request, loadAgeMs() > 0)
    const ttlMs = Math.min(request.service.engine?.reservationMaxMs ?? RESERVATION_MARGIN_MS, RESERVATION_MARGIN_MS + PREFILL_TIMEOUT_FACTOR * prefillMs)
    try {
      const reservation = await engines.reserve({ endpoint, tokens, ttlMs }, limit.signal)
      const outcome = reservation === undefined ? 'full' : 'reserved'
      if (reservation === undefined) this._probeLimiter.recordRefusal(endpoint.id, clock.nowMs())
      else admission.sent(endpoint)
      metrics.recordCall('reserve', outcome)
      log.request(request.id, 'reservation', {
        endpoint: endpoint.id,
        outcome,
        tokens,
        outstanding: work.requests,
        outstandingTokens: work.tokens,
        ms: Math.round(clock.nowMs() - startMs),
        directory: this._context.state.directory.revision
      })
      return reservation
    } catch (err) {
      if (!(err instanceof ExchangeError)) throw err
      if (!request.signal.aborted) {
        this._onUnreachable(endpoint)
        if (limit.signal.aborted) reachability.silent(endpoint)
      }
      metrics.recordCall('reserve', err.failure)
      log.request(request.id, 'reservation', { endpoint: endpoint.id, outcome: err.failure, reason: err.message, ms: Math.round(clock.nowMs() - startMs) })
      return undefined
    } finally {
      limit.dispose()
    }
  }
}
