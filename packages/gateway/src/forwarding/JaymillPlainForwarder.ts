import {
  CallOutcome, ErrorKind, isIdempotent, RanState, RequestError, type EndpointRecord
} from '@jaymill/core'
import { abortError } from '../callers/JaymillAbortError.js'
import { checkAccount } from '../callers/JaymillCallerAccount.js'
import { endedWithConnection, sendResponse } from '../callers/JaymillCallerResponse.js'
import type { GatewayRequest } from '../callers/JaymillGatewayRequest.js'
import { MAX_BUFFERED_RESPONSE_BYTES } from '../endpoints/constants.js'
import { ExchangeError, ExchangeFailure } from '../endpoints/JaymillExchangeError.js'
import type { BufferedResponse } from '../endpoints/JaymillStreamedResponse.js'
import { MAX_TRIED_ENDPOINTS, MIN_CALL_MS, PLAIN_DURATION_TARGETS } from './constants.js'
import { Forwarder } from './JaymillForwarder.js'
import { RetriedCall } from './JaymillRetryRecord.js'
import { classifyResponse, ResponseVerdict } from './JaymillResponseVerdict.js'

/** Result of one call to an endpoint. */
interface Attempt {
  readonly endpoint: EndpointRecord
  readonly verdict: ResponseVerdict
  /** Present when a complete response arrived. */
  readonly response?: BufferedResponse
  /** Present when none arrived. */
  readonly failure?: ExchangeFailure
}

/** Attempts made for one request so far. */
interface Progress {
  readonly tried: readonly Attempt[]
}

const NO_METADATA = {}

/**
 * Forwards requests of plain services. Buffers each response until it is complete, so that a response that breaks off can be
 * retried on idempotent routes.
 */
export class PlainForwarder extends Forwarder {
  /** {@inheritDoc Forwarder.durationMs} */
  durationMs ({ route }: GatewayRequest): number {
    return PLAIN_DURATION_TARGETS * route.targetLatencyMs
  }

  /** {@inheritDoc Forwarder.forward} */
  async forward (request: GatewayRequest): Promise<void> {
    this._context.crashes.admit(request)
    this._countRequest(request)
    if (this._context.peers.shouldForward(request)) {
      await this._context.peers.forwardPlain(request)
      return
    }
    this._checkAnswerable(request)
    await this._tryNext(request, { tried: [] })
  }

  private async _tryNext (request: GatewayRequest, progress: Progress): Promise<void> {
    const endpoint = this._mayTry(request, progress) ? await this._selectEndpoint(request, progress.tried.map(({ endpoint }) => endpoint.id)) : undefined
    if (endpoint === undefined) {
      await this._finish(request, progress)
      return
    }
    if (!mayHaveRun(progress)) checkAccount(this._context.state, request)
    const attempt = await this._attempt(request, endpoint, progress)
    if (attempt.verdict === ResponseVerdict.Success) await this._finish(request, { tried: [...progress.tried, attempt] })
    else await this._tryNext(request, { tried: [...progress.tried, attempt] })
  }

  private _mayTry (request: GatewayRequest, { tried }: Progress): boolean {
    if (request.signal.aborted || this._remainingMs(request) < MIN_CALL_MS) return false
    if (tried.length > 0 && this._context.reachability.isOutOfReach(request.service.name)) return false
    const runs = tried.filter(({ verdict }) => verdict !== ResponseVerdict.NotRun).length
    if (runs > 0 && !isIdempotent(request.route)) return false
    if (runs >= request.route.maxAttempts || tried.length >= MAX_TRIED_ENDPOINTS) return false
    return tried.length === 0 || (!this._context.crashes.isQuarantined(request) && this._spendRetry(request, RetriedCall.Request))
  }

  private async _attempt (request: GatewayRequest, endpoint: EndpointRecord, { tried }: Progress): Promise<Attempt> {
    const { calls, clock, log, latencyModel, metrics, load, state } = this._context
    const work = load.at(endpoint.id)
    const finished = new AbortController()
    this._trackLoad(endpoint, 0, finished.signal)
    const startMs = clock.nowMs()
    const attempt = await calls.collect({ ...this._call(request, endpoint, NO_METADATA), onBytes: bytes => request.unread.add(bytes) }, MAX_BUFFERED_RESPONSE_BYTES, request.signal)
      .then(response => this._toAttempt(request, endpoint, response), err => this._toFailedAttempt(request, endpoint, err))
      .finally(() => finished.abort())
    const ms = clock.nowMs() - startMs
    if (attempt.verdict === ResponseVerdict.Success) {
      latencyModel.addMeasurement({ group: endpoint.service, endpointId: endpoint.id }, 1 + Math.floor(work.requests / Math.max(1, endpoint.slots)), ms, clock.nowMs())
    }
    metrics.recordCall('request', attempt.verdict)
    log.request(request.id, 'attempt ended', {
      endpoint: endpoint.id,
      service: request.service.name,
      attempt: tried.length + 1,
      verdict: attempt.verdict,
      status: attempt.response?.status,
      failure: attempt.failure,
      ms: Math.round(ms),
      outstanding: work.requests,
      directory: state.directory.revision,
      config: request.version
    })
    return attempt
  }

  private _toAttempt (request: GatewayRequest, endpoint: EndpointRecord, response: BufferedResponse): Attempt {
    const verdict = classifyResponse(this._context.dialect, request.id, response.status, response.headers)
    this._recordOutcome(endpoint, verdict === ResponseVerdict.Success ? CallOutcome.Success : CallOutcome.Failure)
    if (verdict === ResponseVerdict.Unusable) this._context.calls.closeConnections(endpoint)
    if (verdict === ResponseVerdict.Success) this._context.crashes.completed(this._context.crashes.track(request, endpoint), endedWithConnection(response, request.req.method))
    return { endpoint, verdict, response }
  }

  private _toFailedAttempt (request: GatewayRequest, endpoint: EndpointRecord, err: unknown): Attempt {
    if (!(err instanceof ExchangeError)) throw err
    const connectFailed = err.failure === ExchangeFailure.Connect
    if (!request.signal.aborted) this._recordOutcome(endpoint, connectFailed ? CallOutcome.Unreachable : CallOutcome.Failure)
    if (err.failure === ExchangeFailure.Broken) this._context.crashes.brokeOff(this._context.crashes.track(request, endpoint))
    return { endpoint, verdict: err.ran === RanState.No ? ResponseVerdict.NotRun : ResponseVerdict.Unusable, failure: err.failure }
  }

  private async _finish (request: GatewayRequest, { tried }: Progress): Promise<void> {
    const usable = [...tried].reverse().find(({ verdict }) => verdict === ResponseVerdict.Success || verdict === ResponseVerdict.Failed)
    if (usable?.response !== undefined) {
      this._respond(request, usable.response)
      return
    }
    const ran = mayHaveRun({ tried })
    if (request.signal.aborted) throw abortError(request, ran)
    if (ran) throw new RequestError(ErrorKind.EndpointFailed, 'the endpoint gave no usable answer', { ran: RanState.Unknown })
    if (tried.length > 0 && tried.every(({ failure }) => failure === ExchangeFailure.Connect)) {
      await this._context.peers.forwardPlain(request)
      return
    }
    throw this._noEndpointError(request, tried.map(({ endpoint }) => endpoint.id))
  }

  private _respond (request: GatewayRequest, response: BufferedResponse): void {
    sendResponse(request.res, response)
    const ms = this._elapsedMs(request)
    this._context.metrics.recordResponse(request.route.kind, response.status, ms)
    this._context.log.request(request.id, 'answered', { status: response.status, route: request.route.name, ms, account: request.account?.name, config: request.version })
  }
}

function mayHaveRun ({ tried }: Progress): boolean {
  return tried.some(({ verdict }) => verdict !== ResponseVerdict.NotRun)
}
