import { CallOutcome, ErrorKind, isIdempotent, RanState, RequestError, type EndpointRecord } from '@jaymill/core'
import { BUSY_RETRY_MS } from '../callers/constants.js'
import type { GatewayRequest } from '../callers/JaymillGatewayRequest.js'
import { ExchangeError } from '../endpoints/JaymillExchangeError.js'
import type { OpenAnswer } from '../endpoints/JaymillOpenAnswer.js'
import { MAX_REFUSED_TRIES, MIN_CALL_MS, PLAIN_STREAM_MS, STREAM_SILENCE_MS } from './constants.js'
import { Verdict, verdictOf } from './JaymillAnswerVerdict.js'
import { Forwarder } from './JaymillForwarder.js'
import { RelayEnd, StreamRelay } from './JaymillStreamRelay.js'

interface StreamProgress {
  readonly relay: StreamRelay
  readonly tried: readonly string[]
  readonly runs: number
}

/** Serves streams of services whose endpoints are no engines of a split pool. */
export class StreamForwarder extends Forwarder {
  /** {@inheritDoc Forwarder.durationMs} */
  durationMs (): number {
    return PLAIN_STREAM_MS
  }

  /** {@inheritDoc Forwarder.forward} */
  async forward (request: GatewayRequest): Promise<void> {
    this._parts.budget.counted(request.service.name, this._parts.clock.nowMs())
    await this._next(request, { relay: new StreamRelay(request), tried: [], runs: 0 })
  }

  private async _next (request: GatewayRequest, progress: StreamProgress): Promise<void> {
    const endpoint = this._mayTry(request, progress) ? this._choose(request, progress.tried) : undefined
    if (endpoint === undefined) throw this._givenUp(request, progress)
    const done = new AbortController()
    this._trackLoad(endpoint, 0, done.signal)
    const { end, ran } = await this._attempt(request, endpoint, progress).finally(() => done.abort())
    if (end === RelayEnd.Ended) request.res.destroy()
    if (end !== RelayEnd.Broken) return
    await this._next(request, { relay: progress.relay, tried: [...progress.tried, endpoint.id], runs: progress.runs + Number(ran) })
  }

  private async _attempt (request: GatewayRequest, endpoint: EndpointRecord, { relay }: StreamProgress): Promise<{ end: RelayEnd, ran: boolean }> {
    const { calls, dialect, log, metrics } = this._parts
    const intent = relay.lastEventId === undefined ? {} : { lastEventId: relay.lastEventId }
    try {
      const answer = await calls.open(this._call(request, endpoint, intent), request.signal)
      const verdict = verdictOf(dialect, request.id, answer.status, answer.headers)
      log.request(request.id, 'attempt ended', { endpoint: endpoint.id, verdict, status: answer.status, ms: this._sinceMs(request) })
      this._note(endpoint, verdict === Verdict.Success ? CallOutcome.Success : CallOutcome.Failure)
      if (verdict === Verdict.Success) return { end: await this._pass(request, relay, answer), ran: true }
      answer.body.destroy()
      return { end: RelayEnd.Broken, ran: verdict !== Verdict.NotRun }
    } catch (err) {
      if (!(err instanceof ExchangeError)) throw err
      metrics.called('stream', err.failure)
      if (!request.signal.aborted) this._note(endpoint, CallOutcome.Unreachable)
      return { end: RelayEnd.Broken, ran: err.ran !== RanState.No }
    }
  }

  private async _pass (request: GatewayRequest, relay: StreamRelay, answer: OpenAnswer): Promise<RelayEnd> {
    const end = await relay.pass(answer, request.route.resumable ? STREAM_SILENCE_MS : undefined, () => this._parts.metrics.firstEvent(this._sinceMs(request)))
    this._parts.log.request(request.id, 'stream ended', { end, bytes: relay.bytes, lastEvent: relay.lastEventId, ms: this._sinceMs(request) })
    return end
  }

  private _mayTry (request: GatewayRequest, { tried, runs }: StreamProgress): boolean {
    if (request.signal.aborted || this._leftMs(request) < MIN_CALL_MS || tried.length >= MAX_REFUSED_TRIES) return false
    if (runs > 0 && !isIdempotent(request.route)) return false
    return runs < request.route.maxAttempts && (tried.length === 0 || this._spendRetry(request))
  }

  private _givenUp (request: GatewayRequest, { runs, relay }: StreamProgress): RequestError {
    if (request.signal.aborted) return this._ended(request, runs > 0 || relay.started)
    if (runs > 0) return new RequestError(ErrorKind.EndpointFailed, 'the endpoint gave no whole answer', { ran: RanState.Unknown })
    return new RequestError(ErrorKind.NoEndpoint, 'no endpoint took the request', { retryAfterMs: BUSY_RETRY_MS })
  }
}
