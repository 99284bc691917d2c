import { CallOutcome, ErrorKind, RanState, RequestError, type EndpointRecord } from '@jaymill/core'
import { abortError } from '../callers/JaymillAbortError.js'
import { checkAccount } from '../callers/JaymillCallerAccount.js'
import type { GatewayRequest } from '../callers/JaymillGatewayRequest.js'
import { ExchangeError, ExchangeFailure } from '../endpoints/JaymillExchangeError.js'
import type { StreamedResponse } from '../endpoints/JaymillStreamedResponse.js'
import { MAX_TRIED_ENDPOINTS, PLAIN_STREAM_MS, STREAM_SILENCE_MS } from './constants.js'
import { RetriedCall } from './JaymillRetryRecord.js'
import { RetryRefusal } from './JaymillRetryRefusal.js'
import { ResponseVerdict } from './JaymillResponseVerdict.js'
import { RunForwarder, type OpenedResponse } from './JaymillRunForwarder.js'
import type { RunProgress } from './JaymillRunProgress.js'
import { StreamRelay } from './JaymillStreamRelay.js'
import { RunEnd, type StreamRun } from './JaymillStreamRun.js'
import type { TrackedRun } from './JaymillTrackedRun.js'

interface StreamProgress extends RunProgress {
  /** Endpoints that have been tried. */
  readonly triedIds: string[]
  /** Whether none of them could be reached. */
  unreachable: boolean
  /** Whether the request has been forwarded to another host. */
  forwarded: boolean
}

/** Forwards streams of services whose endpoints are not engines of separate prefill and decode pools. */
export class StreamForwarder extends RunForwarder<StreamProgress> {
  /** {@inheritDoc Forwarder.durationMs} */
  durationMs (): number {
    return PLAIN_STREAM_MS
  }

  /** {@inheritDoc Forwarder.forward} */
  async forward (request: GatewayRequest): Promise<void> {
    this._context.crashes.admit(request)
    this._countRequest(request)
    await this._serve(request, { relay: new StreamRelay(request), runs: 0, failure: undefined, busyIds: new Set(), triedIds: [], unreachable: true, forwarded: false })
  }

  protected override async _begin (request: GatewayRequest, progress: StreamProgress): Promise<StreamRun | undefined> {
    const { triedIds, runs, relay, forwarded } = progress
    if (forwarded || this._context.peers.shouldForward(request, runs > 0 || relay.started)) return await this._forward(request, progress)
    const mayTry = triedIds.length === 0 || this._retryRefusal(request, progress) === undefined
    const endpoint = mayTry ? await this._selectEndpoint(request, triedIds) : undefined
    if (endpoint !== undefined && runs === 0 && !relay.started) checkAccount(this._context.state, request)
    if (endpoint !== undefined) return await this._attempt(request, progress, endpoint)
    if (!hasReachedNone(progress) || request.signal.aborted) throw this._finalError(request, progress)
    return await this._forward(request, progress)
  }

  /** A request that has reached no endpoint goes to another host, which is no retry. */
  protected override _endpointRefusal (request: GatewayRequest, progress: StreamProgress): RetryRefusal | undefined {
    return hasReachedNone(progress) && !progress.forwarded ? undefined : this._retryRefusal(request, progress)
  }

  private _retryRefusal (request: GatewayRequest, { triedIds }: StreamProgress): RetryRefusal | undefined {
    if (triedIds.length >= MAX_TRIED_ENDPOINTS) return RetryRefusal.Rounds
    if (this._context.crashes.isQuarantined(request)) return RetryRefusal.Quarantined
    return this._hasRetry(request, RetriedCall.Stream) ? undefined : RetryRefusal.Budget
  }

  protected override _finalError (request: GatewayRequest, { triedIds, runs, relay }: StreamProgress): RequestError {
    if (request.signal.aborted) return abortError(request, runs > 0 || relay.started)
    if (runs > 0) return new RequestError(ErrorKind.EndpointFailed, 'no endpoint returned a complete response', { ran: RanState.Unknown })
    return this._noEndpointError(request, triedIds)
  }

  protected override _releaseUnused (): void { /* Nothing is reserved. */ }

  private async _forward (request: GatewayRequest, progress: StreamProgress): Promise<StreamRun | undefined> {
    const isRepeat = progress.runs > 0 || progress.forwarded
    progress.forwarded = true
    if (isRepeat && !this._spendRetry(request, RetriedCall.Forwarded)) throw this._finalError(request, progress)
    return await this._beginAtPeer(request, progress)
  }

  private async _attempt (request: GatewayRequest, progress: StreamProgress, endpoint: EndpointRecord): Promise<StreamRun | undefined> {
    const { log, metrics, crashes } = this._context
    const { relay, triedIds } = progress
    const isRepeat = triedIds.length > 0
    triedIds.push(endpoint.id)
    if (isRepeat && !this._spendRetry(request, RetriedCall.Stream)) throw this._finalError(request, progress)
    const metadata = relay.lastEventId === undefined ? {} : { lastEventId: relay.lastEventId }
    const run = crashes.track(request, endpoint)
    const finished = this._trackRun(endpoint, 0)
    const silence = { target: endpoint.id, silenceMs: undefined, onSilent: () => {}, onContinued: () => {} }
    const logAttempt = ({ response, verdict }: OpenedResponse): void => {
      log.request(request.id, 'attempt ended', { endpoint: endpoint.id, verdict, status: response.status, ms: this._elapsedMs(request) })
      this._recordOutcome(endpoint, verdict === ResponseVerdict.Success ? CallOutcome.Success : CallOutcome.Failure)
    }
    const createRun = (response: StreamedResponse): StreamRun => {
      logAttempt({ response, verdict: ResponseVerdict.Success })
      return this._createRun(request, progress, run, finished, response)
    }
    try {
      const { run: begun, refusal } = await this._open(request, progress, this._call(request, endpoint, metadata), silence, createRun)
      if (refusal === undefined) return begun
      logAttempt(refusal)
      progress.unreachable = false
      refusal.response.body.destroy()
      if (refusal.verdict === ResponseVerdict.Unusable) this._context.calls.closeConnections(endpoint)
    } catch (err) {
      finished.abort()
      if (!(err instanceof ExchangeError)) throw err
      progress.unreachable &&= err.failure === ExchangeFailure.Connect
      metrics.recordCall('stream', err.failure)
      if (!request.signal.aborted) this._recordOutcome(endpoint, CallOutcome.Unreachable)
      if (err.failure === ExchangeFailure.Broken) crashes.brokeOff(run)
    }
    finished.abort()
    return undefined
  }

  private _createRun (request: GatewayRequest, progress: StreamProgress, run: TrackedRun, finished: AbortController, response: StreamedResponse): StreamRun {
    const { metrics, crashes } = this._context
    const { endpoint } = run
    progress.unreachable = false
    const created: StreamRun = progress.relay.createRun({
      response,
      target: endpoint.id,
      silenceMs: STREAM_SILENCE_MS,
      finished,
      onFirst: () => metrics.recordFirstEvent(this._elapsedMs(request)),
      onEvents: () => crashes.eventsArrived(run),
      onSilent: () => crashes.brokeOff(run),
      onContinued: () => {},
      onEnd: (end, failure) => {
        progress.busyIds.delete(endpoint.id)
        this._logEnd(request, progress, { endpoint: endpoint.id }, end, failure)
        if (end === RunEnd.Broken) crashes.brokeOff(run)
        if (end === RunEnd.Complete) crashes.completed(run, created.endsWithConnection)
      }
    })
    return created
  }
}

function hasReachedNone ({ triedIds, unreachable }: StreamProgress): boolean {
  return triedIds.length > 0 && unreachable
}
