import { ErrorKind, invariant, isIdempotent, RanState, RequestError, type GatewayRoute } from '@jaymill/core'
import { abortError } from '../callers/JaymillAbortError.js'
import { sendResponse } from '../callers/JaymillCallerResponse.js'
import type { GatewayRequest } from '../callers/JaymillGatewayRequest.js'
import { MAX_BUFFERED_RESPONSE_BYTES } from '../endpoints/constants.js'
import { bufferBody } from '../endpoints/JaymillEndpointCalls.js'
import { ExchangeError } from '../endpoints/JaymillExchangeError.js'
import type { BufferedResponse, StreamedResponse } from '../endpoints/JaymillStreamedResponse.js'
import type { PeerCallOptions, PeerCalls, PeerResponse } from '../peers/JaymillPeerCalls.js'
import { MIN_CALL_MS, OUT_OF_REACH_RETRY_AFTER_MS } from './constants.js'
import type { ReachabilityMonitor } from './JaymillReachabilityMonitor.js'
import { ResponseVerdict } from './JaymillResponseVerdict.js'
import { chargeRetry, RetriedCall, type RetryContext } from './JaymillRetryRecord.js'

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
    log.request(request.id, 'answered', { status, route: request.route.name, ms, account: request.account?.name, config: request.version })
  }

  /**
   * @param route - Route of a request.
   * @param runs - Calls that may have run it already.
   * @returns The number of endpoints that may run it at another host.
   */
  attemptsOf (route: GatewayRoute, runs: number): number {
    const left = route.maxAttempts - runs
    return isIdempotent(route) ? Math.max(1, left - 1) : left
  }

  /**
   * Forwards a request, and once more when the other host, or an endpoint there, has failed and the route allows another run.
   *
   * @param request - The request.
   * @param runs - Calls that may have run it already.
   * @param forward - Forwards it.
   * @returns The result of the last call.
   * @throws RequestError of the last call.
   */
  private async _retry (request: GatewayRequest, runs: number, forward: ForwardCall): Promise<ForwardedResult> {
    const attempts = this.attemptsOf(request.route, runs)
    const mayRetry = (): boolean => runs + attempts < request.route.maxAttempts && this._chargeRetry(request)
    try {
      const result = await forward(runs, attempts)
      if (!result.failed || !mayRetry()) return result
    } catch (err) {
      if (!(err instanceof RequestError) || err.ran !== RanState.Unknown || !mayRetry()) throw err
    }
    return await this._retry(request, runs + attempts, forward)
  }

  private _chargeRetry (request: GatewayRequest): boolean {
    if (request.signal.aborted || request.deadlineMs - this._context.clock.nowMs() < MIN_CALL_MS) return false
    return chargeRetry(this._context, request, RetriedCall.Forwarded) !== undefined
  }

  private async _collect (request: GatewayRequest, runs: number, attempts: number): Promise<ForwardedResult> {
    const opened = await this.open(request, { attempts }, runs > 0)
    if (opened === undefined) throw this.notTakenError(request, runs > 0)
    const { response, verdict } = opened
    return { response: await this._buffer(request, response), failed: verdict === ResponseVerdict.Failed }
  }

  private async _buffer (request: GatewayRequest, { status, headers, body }: StreamedResponse): Promise<BufferedResponse> {
    return { status, headers, body: await bufferBody(body, MAX_BUFFERED_RESPONSE_BYTES, bytes => request.unread.add(bytes)).catch(err => { throw this._failed(request, err) }) }
  }

  /**
   * Sends a request to another host. One that comes from another host is not forwarded again.
   *
   * @param request - The request.
   * @param options - What the other host may do.
   * @param mayHaveRun - Whether an endpoint may have run it.
   * @returns The response of an endpoint; `undefined` when no host has taken the request, which then has not run there.
   * @throws RequestError when there is none; `ran` tells whether the request may have run.
   */
  async open (request: GatewayRequest, options: PeerCallOptions, mayHaveRun: boolean): Promise<PeerResponse | undefined> {
    if (request.fromPeer) return undefined
    return await this._context.calls.open(request, { ...options, mayHaveRun }).catch(err => {
      // The other host only knows whether the request has run there.
      throw this._failed(request, mayHaveRun ? undefined : err)
    })
  }

  /**
   * Creates the error of a request that no other host has taken.
   *
   * @param request - The request.
   * @param mayHaveRun - Whether an endpoint may have run it.
   * @returns The error.
   */
  notTakenError (request: GatewayRequest, mayHaveRun: boolean): Error {
    if (!request.fromPeer && request.signal.aborted) return abortError(request, mayHaveRun)
    return mayHaveRun ? this._failed(request) : outOfReachError()
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
