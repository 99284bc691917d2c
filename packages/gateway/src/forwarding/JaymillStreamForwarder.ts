import { CallOutcome, ErrorKind, isIdempotent, RanState, RequestError, type EndpointRecord } from '@jaymill/core'
import { abortError, abortReasonOf } from '../callers/JaymillAbortError.js'
import { abortResponse } from '../callers/JaymillCallerResponse.js'
import type { GatewayRequest } from '../callers/JaymillGatewayRequest.js'
import { ExchangeError, ExchangeFailure } from '../endpoints/JaymillExchangeError.js'
import type { StreamedResponse } from '../endpoints/JaymillStreamedResponse.js'
import { MAX_TRIED_ENDPOINTS, MIN_CALL_MS, PLAIN_STREAM_MS, STREAM_IDLE_TIMEOUT_MS } from './constants.js'
import { Forwarder } from './JaymillForwarder.js'
import { RelayOutcome, StreamRelay } from './JaymillStreamRelay.js'
import { RetriedCall } from './JaymillRetryRecord.js'
import { RetryRefusal } from './JaymillRetryRefusal.js'
import { classifyResponse, ResponseVerdict } from './JaymillResponseVerdict.js'
import type { TrackedRun } from './JaymillTrackedRun.js'

interface StreamProgress {
  readonly relay: StreamRelay
  readonly tried: readonly string[]
  readonly runs: number
  /** Whether no endpoint tried so far could be reached. */
  readonly unreachable: boolean
}

/** Forwards streams of services whose endpoints are not engines of separate prefill and decode pools. */
export class StreamForwarder extends Forwarder {
  /** {@inheritDoc Forwarder.durationMs} */
  durationMs (): number {
    return PLAIN_STREAM_MS
  }

  /** {@inheritDoc Forwarder.forward} */
  async forward (request: GatewayRequest): Promise<void> {
    this._context.crashes.admit(request)
    this._countRequest(request)
    const relay = new StreamRelay(request)
    if (this._context.peers.shouldForward(request)) await this._context.peers.forwardStream(request, relay, 0)
    else await this._tryNext(request, { relay, tried: [], runs: 0, unreachable: true })
  }

  private async _tryNext (request: GatewayRequest, progress: StreamProgress): Promise<void> {
    const endpoint = this._mayTry(request, progress) ? await this._selectEndpoint(request, progress.tried) : undefined
    if (endpoint === undefined) {
      await this._finish(request, progress)
      return
    }
    const finished = new AbortController()
    this._trackLoad(endpoint, 0, finished.signal)
    const { end, ran, failure } = await this._attempt(request, endpoint, progress).finally(() => finished.abort())
    if (end === RelayOutcome.Aborted) abortResponse(request.res)
    if (end !== RelayOutcome.Broken) return
    await this._tryNext(request, { relay: progress.relay, tried: [...progress.tried, endpoint.id], runs: progress.runs + Number(ran), unreachable: progress.unreachable && failure === ExchangeFailure.Connect })
  }

  private async _attempt (request: GatewayRequest, endpoint: EndpointRecord, { relay }: StreamProgress): Promise<{ end: RelayOutcome, ran: boolean, failure?: ExchangeFailure }> {
    const { calls, dialect, log, metrics, crashes } = this._context
    const metadata = relay.lastEventId === undefined ? {} : { lastEventId: relay.lastEventId }
    const run = crashes.track(request, endpoint)
    try {
      const response = await calls.open(this._call(request, endpoint, metadata), request.signal)
      const verdict = classifyResponse(dialect, request.id, response.status, response.headers)
      log.request(request.id, 'attempt ended', { endpoint: endpoint.id, verdict, status: response.status, ms: this._elapsedMs(request) })
      this._recordOutcome(endpoint, verdict === ResponseVerdict.Success ? CallOutcome.Success : CallOutcome.Failure)
      if (verdict === ResponseVerdict.Success) return { end: await this._relayStream(request, relay, response, run), ran: true }
      response.body.destroy()
      if (verdict === ResponseVerdict.Unusable) this._context.calls.closeConnections(endpoint)
      return { end: RelayOutcome.Broken, ran: verdict !== ResponseVerdict.NotRun }
    } catch (err) {
      if (!(err instanceof ExchangeError)) throw err
      metrics.recordCall('stream', err.failure)
      if (!request.signal.aborted) this._recordOutcome(endpoint, CallOutcome.Unreachable)
      if (err.failure === ExchangeFailure.Broken) crashes.brokeOff(run)
      return { end: RelayOutcome.Broken, ran: err.ran !== RanState.No, failure: err.failure }
    }
  }

  private async _relayStream (request: GatewayRequest, relay: StreamRelay, response: StreamedResponse, run: TrackedRun): Promise<RelayOutcome> {
    const { metrics, crashes } = this._context
    const end = await relay.forward(response, request.route.resumable ? STREAM_IDLE_TIMEOUT_MS : undefined, {
      onFirst: () => metrics.recordFirstEvent(this._elapsedMs(request)),
      onEvents: () => crashes.eventsArrived(run)
    })
    if (end === RelayOutcome.Broken) crashes.brokeOff(run)
    if (end === RelayOutcome.Complete) crashes.completed(run, relay.endedWithConnection)
    this._context.log.request(request.id, 'stream ended', { endpoint: run.endpoint.id, end, failure: relay.failure, abortReason: abortReasonOf(request), bytes: relay.bytes, lastEvent: relay.lastEventId, ms: this._elapsedMs(request) })
    return end
  }

  private _mayTry (request: GatewayRequest, progress: StreamProgress): boolean {
    const refusal = this._retryRefusal(request, progress)
    if (refusal !== undefined) this._context.log.request(request.id, 'not run again', { reason: refusal, runs: progress.runs, tried: progress.tried.length, ms: this._elapsedMs(request) })
    return refusal === undefined
  }

  private _retryRefusal (request: GatewayRequest, { tried, runs, relay }: StreamProgress): RetryRefusal | undefined {
    if (request.signal.aborted) return RetryRefusal.Aborted
    if (this._remainingMs(request) < MIN_CALL_MS) return RetryRefusal.Deadline
    if (!relay.acceptsRun || (runs > 0 && !isIdempotent(request.route))) return RetryRefusal.NotIdempotent
    if (runs >= request.route.maxAttempts) return RetryRefusal.Attempts
    if (tried.length >= MAX_TRIED_ENDPOINTS) return RetryRefusal.Rounds
    if (tried.length === 0) return undefined
    if (this._context.reachability.isOutOfReach(request.service.name)) return RetryRefusal.OutOfReach
    if (this._context.crashes.isQuarantined(request)) return RetryRefusal.Quarantined
    return this._spendRetry(request, RetriedCall.Stream) ? undefined : RetryRefusal.Budget
  }

  private async _finish (request: GatewayRequest, progress: StreamProgress): Promise<void> {
    if (progress.tried.length === 0 || !progress.unreachable || request.signal.aborted) throw this._finalError(request, progress)
    await this._context.peers.forwardStream(request, progress.relay, progress.runs)
  }

  private _finalError (request: GatewayRequest, { tried, runs, relay }: StreamProgress): RequestError {
    if (request.signal.aborted) return abortError(request, runs > 0 || relay.started)
    if (runs > 0) return new RequestError(ErrorKind.EndpointFailed, 'no endpoint returned a complete response', { ran: RanState.Unknown })
    return this._noEndpointError(request, tried)
  }
}
