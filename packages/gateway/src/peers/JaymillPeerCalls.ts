import { ErrorKind, fromProblem, isIdempotent, RanState, RequestError, shuffled, type Clock, type EndpointRecord, type Random } from '@jaymill/core'
import { checkAccount } from '../callers/JaymillCallerAccount.js'
import { forwardedHeaders } from '../callers/JaymillCallerResponse.js'
import { forwardedMetadataHeaders } from '../callers/JaymillForwardedRequest.js'
import type { GatewayRequest } from '../callers/JaymillGatewayRequest.js'
import { MAX_BUFFERED_RESPONSE_BYTES } from '../endpoints/constants.js'
import { bufferBody, EndpointCalls, type EndpointCall } from '../endpoints/JaymillEndpointCalls.js'
import { ExchangeError, ExchangeFailure } from '../endpoints/JaymillExchangeError.js'
import type { StreamedResponse } from '../endpoints/JaymillStreamedResponse.js'
import type { FleetState } from '../fleet/JaymillFleetState.js'
import { MAX_TRIED_PEERS, MIN_CALL_MS, PEER_PAUSE_MS } from '../forwarding/constants.js'
import { classifyResponse, ResponseVerdict } from '../forwarding/JaymillResponseVerdict.js'
import type { GatewayLog } from '../logging/JaymillGatewayLog.js'
import type { GatewayMetrics } from '../metrics/JaymillGatewayMetrics.js'
import type { WireDialect } from '../ports/JaymillWireDialect.js'

/** Dependencies of the calls. */
export interface PeerCallsContext {
  /** Port on which the other hosts accept forwarded requests; without it, nothing is forwarded. */
  readonly port: number | undefined
  /** Returns the IP addresses of the hosts that take new work. */
  readonly peers: () => readonly string[]
  /** Returns the IP addresses of the hosts that shut down. They take work that ends before they do. */
  readonly stoppingPeers: () => readonly string[]
  readonly state: FleetState
  readonly dialect: WireDialect
  readonly clock: Clock
  readonly random: Random
  readonly log: GatewayLog
  readonly metrics: GatewayMetrics
}

/** What another host may do with a request. */
export interface PeerCallOptions {
  /** Number of endpoints that may run the request. */
  readonly attempts: number
  /** Whether an endpoint may have run it; its account is not checked again then. */
  readonly mayHaveRun?: boolean
  /** Id of the event after which the stream continues. */
  readonly lastEventId?: string | undefined
  /** Addresses of hosts that still work on the request. */
  readonly excluded?: ReadonlySet<string>
}

/** Response of an endpoint, forwarded by another host. */
export interface PeerResponse {
  readonly peer: string
  readonly response: StreamedResponse
  /** `Success` or `Failed`. */
  readonly verdict: ResponseVerdict
}

/** Refusals of a host that another host may not share; all mean that the request has not run. */
const HOST_REFUSALS: readonly ErrorKind[] = [ErrorKind.OutOfReach, ErrorKind.NotReady, ErrorKind.Stopping]

/**
 * Forwards requests to other hosts. A host that can't take a request gets no more of the same service for some time, so that the
 * hosts that reach the service are found without asking all of them each time.
 */
export class PeerCalls {
  private readonly _context: PeerCallsContext
  private readonly _calls = new EndpointCalls()
  private readonly _pausedUntilMs = new Map<string, number>()

  /**
   * @param context - Dependencies.
   */
  constructor (context: PeerCallsContext) {
    this._context = context
  }

  /** Whether this host can forward requests. */
  get enabled (): boolean {
    return this._context.port !== undefined
  }

  /**
   * Forwards a request to the first host that takes it.
   *
   * @param request - The request.
   * @param options - What the other host may do.
   * @returns The response of an endpoint; `undefined` when no host has taken the request, which then has not run.
   * @throws RequestError when a host refuses the request for a reason that holds on all hosts, or can't tell its outcome.
   * @throws ExchangeError when the request may have run and no response arrives.
   */
  async open (request: GatewayRequest, options: PeerCallOptions): Promise<PeerResponse | undefined> {
    return this.enabled ? await this._tryNext(request, options, this._candidates(request.service.name, options.excluded)) : undefined
  }

  private async _tryNext (request: GatewayRequest, options: PeerCallOptions, peers: readonly string[]): Promise<PeerResponse | undefined> {
    const [peer, ...rest] = peers
    if (peer === undefined || request.signal.aborted || this._remainingMs(request) < MIN_CALL_MS) return undefined
    return await this._tryPeer(request, options, peer) ?? await this._tryNext(request, options, rest)
  }

  private async _tryPeer (request: GatewayRequest, options: PeerCallOptions, peer: string): Promise<PeerResponse | undefined> {
    const { clock, dialect, state } = this._context
    const startMs = clock.nowMs()
    if (options.mayHaveRun !== true) checkAccount(state, request)
    try {
      const response = await this._calls.open(this._call(request, options, peer), request.signal)
      const verdict = classifyResponse(dialect, request.id, response.status, response.headers)
      if (verdict !== ResponseVerdict.Success && verdict !== ResponseVerdict.Failed) throw await refusalOf(response)
      this._record(request, peer, verdict, startMs)
      return { peer, response, verdict }
    } catch (err) {
      if (!(err instanceof ExchangeError || err instanceof RequestError)) throw err
      this._record(request, peer, err instanceof ExchangeError ? err.failure : err.kind, startMs)
      const isHostFailure = err instanceof ExchangeError || HOST_REFUSALS.includes(err.kind)
      if (isHostFailure && !request.signal.aborted) this._pausedUntilMs.set(pauseKey(request.service.name, peer), clock.nowMs() + PEER_PAUSE_MS)
      if (!isHostFailure || err.ran !== RanState.No) throw err
      return undefined
    }
  }

  private _call (request: GatewayRequest, { attempts, lastEventId }: PeerCallOptions, peer: string): EndpointCall {
    const { dialect, state, port } = this._context
    const { req, body, account } = request
    const resumption = lastEventId === undefined ? {} : { lastEventId }
    return {
      endpoint: recordOf(`${peer}:${port}`),
      method: req.method ?? 'GET',
      path: req.url ?? '/',
      headers: [
        ...forwardedHeaders(request, this._context),
        ...dialect.callHeaders({ deadlineMs: this._remainingMs(request), ...resumption }),
        ...forwardedMetadataHeaders({ configVersion: state.version, attempts, ...(account === undefined ? {} : { account: account.name }) })
      ],
      body,
      ownConnection: !isIdempotent(request.route)
    }
  }

  /**
   * Orders the hosts at random, so that the requests of many hosts that are cut off spread over the others. Those that shut down come
   * last: they may be the only ones that reach the service.
   */
  private _candidates (service: string, excluded: ReadonlySet<string> = new Set()): readonly string[] {
    const { peers, stoppingPeers, clock, random } = this._context
    const nowMs = clock.nowMs()
    return [...shuffled(peers(), random), ...shuffled(stoppingPeers(), random)]
      .filter(peer => !excluded.has(peer) && (this._pausedUntilMs.get(pauseKey(service, peer)) ?? nowMs) <= nowMs)
      .slice(0, MAX_TRIED_PEERS)
  }

  private _record (request: GatewayRequest, peer: string, outcome: string, startMs: number): void {
    const { log, metrics, clock } = this._context
    metrics.recordForwarded(outcome)
    log.request(request.id, 'forwarded to host', { peer, outcome, service: request.service.name, ms: Math.round(clock.nowMs() - startMs) })
  }

  private _remainingMs ({ deadlineMs }: GatewayRequest): number {
    return Math.max(0, Math.floor(deadlineMs - this._context.clock.nowMs()))
  }
}

function pauseKey (service: string, peer: string): string {
  return `${peer} ${service}`
}

/** Describes a host as the target of a call. */
function recordOf (address: string): EndpointRecord {
  return { id: address, service: '', address, zone: '', slots: 1, leaving: false, warmupMs: 0 }
}

/** A response that is not the endpoint's is the problem document of the other host. */
async function refusalOf ({ status, body }: StreamedResponse): Promise<RequestError | ExchangeError> {
  const bytes = await bufferBody(body, MAX_BUFFERED_RESPONSE_BYTES)
  return problemOf(bytes) ?? new ExchangeError(ExchangeFailure.Malformed, `the host responded with status ${status} for itself`)
}

function problemOf (bytes: Buffer): RequestError | undefined {
  try {
    return fromProblem(JSON.parse(bytes.toString('utf8')))
  } catch {
    return undefined
  }
}
