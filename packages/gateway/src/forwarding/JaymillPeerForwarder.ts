import { ErrorKind, invariant, isIdempotent, RanState, RequestError } from '@jaymill/core'
import { abortError, abortReasonOf } from '../callers/JaymillAbortError.js'
import { abortResponse, sendResponse } from '../callers/JaymillCallerResponse.js'
import type { GatewayRequest } from '../callers/JaymillGatewayRequest.js'
import { MAX_BUFFERED_RESPONSE_BYTES } from '../endpoints/constants.js'
import { bufferBody } from '../endpoints/JaymillEndpointCalls.js'
import { ExchangeError } from '../endpoints/JaymillExchangeError.js'
import type { BufferedResponse, StreamedResponse } from '../endpoints/JaymillStreamedResponse.js'
import type { PeerCallOptions, PeerCalls, PeerResponse } from '../peers/JaymillPeerCalls.js'
import { MIN_CALL_MS, OUT_OF_REACH_RETRY_AFTER_MS, PEER_STREAM_IDLE_TIMEOUT_MS } from './constants.js'
import type { ReachabilityMonitor } from './JaymillReachabilityMonitor.js'
import { ResponseVerdict } from './JaymillResponseVerdict.js'
import { chargeRetry, RetriedCall, type RetryContext } from './JaymillRetryRecord.js'
import { RelayOutcome, type StreamRelay } from './JaymillStreamRelay.js'

/** Dependencies of the forwarder. */
export interface PeerForwarderContext extends RetryContext {
  readonly calls: PeerCalls
  readonly reachability: ReachabilityMonitor
}

/** Result of forwarding a request. */
interface ForwardedResult {
  /** Response that still has to be sent to the caller. */
  readonly response?: BufferedResponse
  /** Whether it is a failure of the endpoint. */
  readonly failed: boolean
}

/** Forwards a request, given the calls that may have run it so far and the number of endpoints that may run it there. */
type ForwardCall = (runs: number, attempts: number) => Promise<ForwardedResult>

/**
 * Serves requests through other hosts while this one reaches no endpoint of their service. A host that fails does not tell how many
 * endpoints have run the request: of the runs that a route allows, one is kept for a second host.
 */
export class PeerForwarder {
  private readonly _context: PeerForwarderContext

  /**
   * @param context - Dependencies.
   */
  constructor (context: PeerForwarderContext) {
    this._context = context
  }

  /**
   * Tells whether a request has to be forwarded. One that comes from another host is refused instead, so that it can't go in circles.
   *
   * @param request - The request.
   * @param mayHaveRun - Whether an endpoint may have run it; a request of another host then ends here, as not all of its runs are
   * known there.
   * @returns Whether this host reaches no endpoint of its service, while others may.
   * @throws RequestError for a request of another host: of kind `OutOfReach` if it has not run, else `EndpointFailed`.
   */
  shouldForward (request: GatewayRequest, mayHaveRun = false): boolean {
    const { reachability, calls } = this._context
    if (!reachability.isOutOfReach(request.service.name)) return false
    if (request.fromPeer) throw mayHaveRun ? this._failed(request) : outOfReachError()
    return calls.enabled
  }

  /**
   * Forwards a plain request and responds with the result.
   *
   * @param request - The request.
   * @throws RequestError when there is no response of an endpoint.
   */
  async forwardPlain (request: GatewayRequest): Promise<void> {
    const { log, metrics } = this._context
    const { response } = await this._retry(request, 0, async (runs, attempts) => await this._collect(request, runs, attempts))
    invariant(response !== undefined, 'a plain request has a response')
    const { status } = response
    sendResponse(request.res, response)
    const ms = this._elapsedMs(request)
    metrics.recordResponse(request.route.kind, status, ms)
    log.request(request.id, 'answered', { status, route: request.route.name, ms, config: request.version })
  }

  /**
   * Forwards a stream and relays its events.
   *
   * @param request - The request.
   * @param relay - Relay to the caller, which may have sent events already.
   * @param runs - Calls that may have run the request already.
   * @throws RequestError when the stream can't be completed.
   */
  async forwardStream (request: GatewayRequest, relay: StreamRelay, runs: number): Promise<void> {
    const { response } = await this._retry(request, runs, async (ran, attempts) => await this._forwardStreamOnce(request, relay, ran, attempts), () => relay.acceptsRun)
    if (response !== undefined) sendResponse(request.res, response)
  }

  /**
   * Forwards a request, and once more when the other host, or an endpoint there, has failed and the route allows another run.
   *
   * @param request - The request.
   * @param runs - Calls that may have run it already.
   * @param forward - Forwards it.
   * @param acceptsRun - Whether the caller can still take the response of another run.
   * @returns The result of the last call.
   * @throws RequestError of the last call.
   */
  private async _retry (request: GatewayRequest, runs: number, forward: ForwardCall, acceptsRun: () => boolean = () => true): Promise<ForwardedResult> {
    const left = request.route.maxAttempts - runs
    const attempts = isIdempotent(request.route) ? Math.max(1, left - 1) : left
    const mayRetry = (): boolean => attempts < left && acceptsRun() && this._chargeRetry(request)
    try {
      const result = await forward(runs, attempts)
      if (!result.failed || !mayRetry()) return result
    } catch (err) {
      if (!(err instanceof RequestError) || err.ran !== RanState.Unknown || !mayRetry()) throw err
    }
    return await this._retry(request, runs + attempts, forward, acceptsRun)
  }

  private _chargeRetry (request: GatewayRequest): boolean {
    if (request.signal.aborted || request.deadlineMs - this._context.clock.nowMs() < MIN_CALL_MS) return false
    return chargeRetry(this._context, request, RetriedCall.Forwarded) !== undefined
  }

  private async _collect (request: GatewayRequest, runs: number, attempts: number): Promise<ForwardedResult> {
    const { response, verdict } = await this._open(request, { attempts }, runs > 0)
    return { response: await this._buffer(request, response), failed: verdict === ResponseVerdict.Failed }
  }

  private async _buffer (request: GatewayRequest, { status, headers, body }: StreamedResponse): Promise<BufferedResponse> {
    return { status, headers, body: await bufferBody(body, MAX_BUFFERED_RESPONSE_BYTES).catch(err => { throw this._failed(request, err) }) }
  }

  private async _forwardStreamOnce (request: GatewayRequest, relay: StreamRelay, runs: number, attempts: number): Promise<ForwardedResult> {
    const { metrics, log } = this._context
    const opened = await this._open(request, { attempts, lastEventId: relay.lastEventId }, runs > 0 || relay.started)
    const { peer, response, verdict } = opened
    if (verdict === ResponseVerdict.Failed && !relay.started) return { response: await this._buffer(request, response), failed: true }
    const end = await this._relay(request, relay, opened)
    response.body.destroy()
    log.request(request.id, 'stream ended', { peer, end, failure: relay.failure, abortReason: abortReasonOf(request), bytes: relay.bytes, lastEvent: relay.lastEventId, ms: this._elapsedMs(request) })
    if (end === RelayOutcome.Complete) metrics.recordResponse(request.route.kind, response.status, this._elapsedMs(request))
    if (end === RelayOutcome.Aborted) abortResponse(request.res)
    if (end === RelayOutcome.Broken) throw this._failed(request)
    return { failed: false }
  }

  private async _relay (request: GatewayRequest, relay: StreamRelay, { response, verdict }: PeerResponse): Promise<RelayOutcome> {
    if (verdict === ResponseVerdict.Failed) return RelayOutcome.Broken
    return await relay.forward(response, request.route.resumable ? PEER_STREAM_IDLE_TIMEOUT_MS : undefined, {
      onFirst: () => this._context.metrics.recordFirstEvent(this._elapsedMs(request)),
      onEvents: () => { /* The other host tracks the run. */ }
    })
  }

  /** A request of another host is not forwarded again. */
  private async _open (request: GatewayRequest, options: PeerCallOptions, mayHaveRun: boolean): Promise<PeerResponse> {
    if (request.fromPeer) throw mayHaveRun ? this._failed(request) : outOfReachError()
    const opened = await this._context.calls.open(request, options).catch(err => {
      // The other host only knows whether the request has run there.
      throw this._failed(request, mayHaveRun ? undefined : err)
    })
    if (opened !== undefined) return opened
    if (request.signal.aborted) throw abortError(request, mayHaveRun)
    throw mayHaveRun ? this._failed(request) : outOfReachError()
  }

  private _failed (request: GatewayRequest, cause?: unknown): Error {
    if (cause !== undefined && !(cause instanceof ExchangeError)) return cause as Error
    if (request.signal.aborted) return abortError(request, true)
    return new RequestError(ErrorKind.EndpointFailed, 'no complete response arrived and no endpoint is in reach', { ran: RanState.Unknown, cause })
  }

  private _elapsedMs ({ arrivedMs }: GatewayRequest): number {
    return Math.round(this._context.clock.nowMs() - arrivedMs)
  }
}

function outOfReachError (): RequestError {
  return new RequestError(ErrorKind.OutOfReach, 'no endpoint is in reach', { retryAfterMs: OUT_OF_REACH_RETRY_AFTER_MS })
}
