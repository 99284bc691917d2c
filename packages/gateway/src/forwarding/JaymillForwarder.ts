import { setTimeout as sleep } from 'node:timers/promises'
import {
  CallOutcome, earliestAnswerMs, ErrorKind, ExpectedTimeRanking, isIdempotent, LateReportForecast, REPORTED_LOAD_MEMORY_MS, RequestError, sampleEndpoints, sampleSize,
  serviceRanks, urgencyLevel,
  type Candidate, type EndpointRanking, type EndpointRecord, type ExpectedWork, type KnownWork, type OutstandingWork, type RetryCharge, type WorkForecast
} from '@jaymill/core'
import { BUSY_RETRY_AFTER_MS } from '../callers/constants.js'
import { checkAccount } from '../callers/JaymillCallerAccount.js'
import { forwardedHeaders } from '../callers/JaymillCallerResponse.js'
import type { GatewayRequest } from '../callers/JaymillGatewayRequest.js'
import type { EndpointCall } from '../endpoints/JaymillEndpointCalls.js'
import type { CallMetadata } from '../ports/JaymillWireDialect.js'
import { EXPECTED_SAMPLED_ENDPOINTS, PLAIN_INITIAL_MS, RATE_LIMIT_WAIT_SHARE } from './constants.js'
import type { ForwardingContext } from './JaymillForwardingContext.js'
import { chargeRetry, recordRetry, type RetriedCall } from './JaymillRetryRecord.js'

const MS_PER_SECOND = 1_000

/** Forwards requests of one kind to endpoints. */
export abstract class Forwarder {
  protected readonly _context: ForwardingContext
  protected readonly _ranking: EndpointRanking
  private readonly _forecast: WorkForecast = new LateReportForecast()

  /**
   * @param context - Components of the host.
   * @param ranking - Ranks the endpoints of a service.
   */
  constructor (context: ForwardingContext, ranking: EndpointRanking = new ExpectedTimeRanking()) {
    this._context = context
    this._ranking = ranking
  }

  /**
   * Serves a request until its response is complete.
   *
   * @param request - The request.
   * @throws RequestError when the host itself must respond with a problem document.
   */
  abstract forward (request: GatewayRequest): Promise<void>

  protected _call (request: GatewayRequest, endpoint: EndpointRecord, metadata: Omit<CallMetadata, 'deadlineMs' | 'endpointId'>): EndpointCall {
    const { dialect } = this._context
    const { req, body, account } = request
    const headers = forwardedHeaders(request, this._context)
    const accountMetadata = account === undefined ? {} : { account: account.name }
    const callHeaders = dialect.callHeaders({ ...metadata, ...accountMetadata, ...this._rankMetadata(request), endpointId: endpoint.id, deadlineMs: this._remainingMs(request) })
    return {
      endpoint,
      method: req.method ?? 'GET',
      path: req.url ?? '/',
      headers: [...headers, ...callHeaders],
      body,
      ownConnection: !isIdempotent(request.route),
      requestId: request.id
    }
  }

  /** Endpoints get the place of a request among the ranks of their service, and only where there are several. */
  private _rankMetadata ({ service, priority, route }: GatewayRequest): Pick<CallMetadata, 'priority'> {
    const { config } = this._context.state
    const ranks = config === undefined ? [] : serviceRanks(config, service.name)
    return ranks.length <= 1 ? {} : { priority: urgencyLevel(ranks, { rank: priority, routeRank: route.priority }) }
  }

  protected _remainingMs ({ deadlineMs }: GatewayRequest): number {
    return Math.max(0, Math.floor(deadlineMs - this._context.clock.nowMs()))
  }

  /**
   * Estimates an upper bound of the time that a request takes.
   *
   * @param request - A request.
   * @returns The longest time that it usually takes, in milliseconds.
   */
  abstract durationMs (request: GatewayRequest): number

  /**
   * Refuses a request that must not run any more: its key was removed, or it may not end before this host stops. It must not have run.
   *
   * @param request - The request.
   * @param durationMs - Returns the longest time that it usually still takes, in milliseconds; called only while the host stops.
   * @throws RequestError when it is refused.
   */
  checkBeforeRun (request: GatewayRequest, durationMs: () => number): void {
    checkAccount(this._context.state, request)
    this._checkEndsBeforeStop(request, durationMs)
  }

  /**
   * Refuses a request that may not end before this host stops. It must not have run. The estimate of its duration can be wrong,
   * so it is enough only while callers cannot know yet that the host stops; later the time limit of the request has to end
   * before the stop.
   *
   * @param request - The request.
   * @param durationMs - Returns the longest time that it usually still takes, in milliseconds; called only while the host stops.
   * @throws RequestError when the host may stop before.
   */
  private _checkEndsBeforeStop (request: GatewayRequest, durationMs: () => number): void {
    const { plannedStop, clock, log } = this._context
    const stop = plannedStop()
    if (stop === undefined) return
    const { arrivedMs, deadlineMs } = request
    const leftMs = stop.endMs - clock.nowMs()
    const expectedMs = durationMs()
    const bounded = deadlineMs <= stop.endMs
    const ends = bounded || (arrivedMs <= stop.acceptUntilMs && expectedMs <= leftMs)
    log.request(request.id, 'checked while stopping', { ends, bounded, expectedMs: Math.round(expectedMs), leftMs: Math.round(leftMs), ms: this._elapsedMs(request) })
    if (!ends) throw new RequestError(ErrorKind.Stopping, 'the host may stop before the request ends', { retryAfterMs: 0 })
  }

  /** Estimates the latency of a request: one service time per full set of slots ahead of it, plus the slowdown by concurrent requests. */
  protected _expectedMs ({ id, service, slots }: EndpointRecord, { requests }: OutstandingWork, _tokens: number): number {
    const { latencyModel, clock } = this._context
    const unitMs = latencyModel.expectedMs({ group: service, endpointId: id }, 1, PLAIN_INITIAL_MS, clock.nowMs())
    return unitMs * (1 + Math.floor(requests / Math.max(1, slots)) + requests / Math.max(1, slots))
  }

  /**
   * Selects the best-ranked endpoint of a plain service that has not been tried. When all of them have used up their rate limits, it
   * waits for the next one that may get a request, unless the request would then be late.
   *
   * @param request - The request.
   * @param triedIds - Endpoints that have been tried.
   * @returns The endpoint, counted against its limit; `undefined` when there is none.
   */
  protected async _selectEndpoint (request: GatewayRequest, triedIds: readonly string[]): Promise<EndpointRecord | undefined> {
    const endpoint = this._takeEndpoint(request, triedIds)
    const waitMs = endpoint === undefined ? this._untilAllowedMs(request, triedIds) : undefined
    if (waitMs === undefined || this._elapsedMs(request) + waitMs > RATE_LIMIT_WAIT_SHARE * request.route.targetLatencyMs) return endpoint
    await sleep(waitMs, undefined, { signal: request.signal }).catch(() => { /* The caller of this method checks the signal. */ })
    return request.signal.aborted ? undefined : this._takeEndpoint(request, triedIds)
  }

  private _takeEndpoint (request: GatewayRequest, triedIds: readonly string[]): EndpointRecord | undefined {
    const { admission } = this._context
    const [endpoint] = this._rankPlain(request, this._untried(request, triedIds).filter(record => admission.allows(record)))
    if (endpoint !== undefined) admission.sent(endpoint)
    return endpoint
  }

  private _untried (request: GatewayRequest, triedIds: readonly string[]): readonly EndpointRecord[] {
    return this._context.state.directory.usable(request.service.name).filter(({ id }) => !triedIds.includes(id))
  }

  /** Returns the time until an endpoint that has not been tried may get a request, in milliseconds; `undefined` if none has a limit. */
  protected _untilAllowedMs (request: GatewayRequest, triedIds: readonly string[]): number | undefined {
    return this._context.admission.untilAllowedMs(this._untried(request, triedIds))
  }

  /**
   * Ranks endpoints of a plain service, best first. While the work of other hosts is known late, endpoints that report their load
   * are compared by the work that is to be expected there now.
   */
  private _rankPlain (request: GatewayRequest, records: readonly EndpointRecord[]): readonly EndpointRecord[] {
    const { zone, random, reliability, clock } = this._context
    if (!this._expectsWork(request)) return this._rank(request, records, 0)
    const nowMs = clock.nowMs()
    const suspects = records.filter(({ id }) => reliability.isSuspect(id, nowMs))
    const { sampled, rest } = sampleEndpoints(records.filter(record => !suspects.includes(record)), zone, EXPECTED_SAMPLED_ENDPOINTS, random)
    const known = sampled.map(record => this._knownWork(record))
    const expected = this._forecast.expect(known, nowMs, random)
    const candidates = this._candidates(sampled, 0).map((candidate, i) => {
      const { requests, slowness } = expected[i] ?? { requests: candidate.work.requests, slowness: 1 }
      return { ...candidate, expectedMs: slowness * this._expectedMs(candidate.record, { requests, tokens: 0 }, 0) }
    })
    const ranked = this._ranking.rank(candidates, zone, random)
    const best = candidates.findIndex(({ record }) => record === ranked[0])
    this._logChoice(request, candidates[best], known[best], expected[best])
    return [...ranked, ...rest, ...suspects]
  }

  private _expectsWork ({ service }: GatewayRequest): boolean {
    const { loadAgeMs, reportedLoads, state } = this._context
    return loadAgeMs() > 0 && state.directory.usable(service.name).some(({ id }) => reportedLoads.at(id) !== undefined)
  }

  private _logChoice ({ id }: GatewayRequest, candidate: Candidate | undefined, known: KnownWork | undefined, expected: ExpectedWork | undefined): void {
    const { loadAgeMs, clock, log, metrics } = this._context
    if (candidate === undefined || known === undefined) return
    const { own, others, seen } = known
    const seenAgeMs = seen === undefined ? undefined : clock.nowMs() - seen.atMs
    metrics.recordChoice(seenAgeMs !== undefined && seenAgeMs < REPORTED_LOAD_MEMORY_MS)
    log.request(id, 'endpoint chosen', {
      endpoint: candidate.record.id,
      expectedMs: Math.round(candidate.expectedMs),
      expectedRequests: Math.round(expected?.requests ?? 0),
      own,
      others,
      othersAgeMs: loadAgeMs(),
      seenOthers: seen?.others,
      seenSlowness: seen?.slowness,
      seenAgeMs: seenAgeMs === undefined ? undefined : Math.round(seenAgeMs)
    })
  }

  protected _knownWork ({ id }: EndpointRecord): KnownWork {
    const { load, reportedLoads } = this._context
    const own = load.ownAt(id).requests
    return { own, others: load.at(id).requests - own, seen: reportedLoads.at(id) }
  }

  /**
   * Refuses a request at once when each endpoint of its plain service has lately reported more work than it can end before the caller's
   * deadline.
   *
   * @param request - A request that no endpoint has got.
   * @throws RequestError when no endpoint can answer it in time.
   */
  protected _checkAnswerable (request: GatewayRequest): void {
    const { clock, log, latencyModel } = this._context
    const nowMs = clock.nowMs()
    const times = this._untried(request, []).map(record => {
      const serviceMs = latencyModel.expectedMs({ group: record.service, endpointId: record.id }, 1, PLAIN_INITIAL_MS, nowMs)
      return earliestAnswerMs(this._knownWork(record), record.slots, serviceMs, nowMs)
    })
    const earliestMs = times.length === 0 ? 0 : Math.min(...times)
    const remainingMs = this._remainingMs(request)
    if (earliestMs <= remainingMs) return
    log.request(request.id, 'no endpoint can answer in time', { earliestMs: Math.round(earliestMs), remainingMs, endpoints: times.length })
    throw new RequestError(ErrorKind.Overloaded, 'no endpoint can answer before the deadline', { retryAfterMs: Math.max(BUSY_RETRY_AFTER_MS, earliestMs - remainingMs) })
  }

  /** Ranks endpoints, best first. While the work of other hosts is known late, only a random sample is compared. */
  protected _rank (request: GatewayRequest, records: readonly EndpointRecord[], tokens: number): readonly EndpointRecord[] {
    const { zone, random, reliability, clock } = this._context
    const nowMs = clock.nowMs()
    const size = sampleSize(records.length, this._unseenRequests(request.service.name))
    if (size >= records.length) return this._ranking.rank(this._candidates(records, tokens), zone, random)
    const suspects = records.filter(({ id }) => reliability.isSuspect(id, nowMs))
    const trusted = records.filter(({ id }) => !reliability.isSuspect(id, nowMs))
    const { sampled, rest } = sampleEndpoints(trusted, zone, size, random)
    return [...this._ranking.rank(this._candidates(sampled, tokens), zone, random), ...rest, ...suspects]
  }

  /** Estimates how many requests other hosts have sent that the reported load does not show yet. */
  private _unseenRequests (service: string): number {
    const { budget, hostCount, loadAgeMs, clock } = this._context
    return budget.requestRate(service, clock.nowMs()) * hostCount() * loadAgeMs() / MS_PER_SECOND
  }

  protected _candidates (records: readonly EndpointRecord[], tokens: number): readonly Candidate[] {
    const { load, reliability, clock } = this._context
    const nowMs = clock.nowMs()
    return records.map(record => ({
      record,
      work: load.at(record.id),
      expectedMs: this._expectedMs(record, load.at(record.id), tokens),
      failureShare: reliability.failureShare(record.id, nowMs),
      suspect: reliability.isSuspect(record.id, nowMs)
    }))
  }

  /** Counts a caller's request towards the retry budget. The host that forwards a request has counted it. */
  protected _countRequest ({ service, fromPeer }: GatewayRequest): void {
    const { budget, clock } = this._context
    if (!fromPeer) budget.countRequest(service.name, clock.nowMs())
  }

  /** Tells whether a retry is left for a call that is made later, which then has to be charged. */
  protected _hasRetry (request: GatewayRequest, call: RetriedCall): boolean {
    const { budget, hostCount, clock } = this._context
    const left = budget.hasRetry(request.service.name, hostCount(), clock.nowMs())
    if (!left) recordRetry(this._context, request, call, false)
    return left
  }

  protected _spendRetry (request: GatewayRequest, call: RetriedCall): boolean {
    return this._chargeRetry(request, call) !== undefined
  }

  protected _chargeRetry (request: GatewayRequest, call: RetriedCall): RetryCharge | undefined {
    return chargeRetry(this._context, request, call)
  }

  protected _recordOutcome (endpoint: EndpointRecord, outcome: CallOutcome): void {
    const { reliability, clock, log } = this._context
    const nowMs = clock.nowMs()
    const wasSuspect = reliability.isSuspect(endpoint.id, nowMs)
    reliability.recordOutcome(endpoint.id, outcome, nowMs)
    const isSuspect = reliability.isSuspect(endpoint.id, nowMs)
    if (wasSuspect !== isSuspect) log.stateChange(isSuspect ? 'endpoint suspected' : 'endpoint answers again', { endpoint: endpoint.id, outcome })
  }

  protected _trackLoad (endpoint: EndpointRecord, tokens: number, signal: AbortSignal): void {
    const { load, scheduleHeartbeat } = this._context
    load.add(endpoint.id, tokens, signal)
    scheduleHeartbeat()
    signal.addEventListener('abort', scheduleHeartbeat, { once: true })
  }

  /**
   * Creates the error for a request that no endpoint has run.
   *
   * @param request - The request.
   * @param triedIds - Endpoints that refused it.
   * @returns The error; it tells the caller to retry when an endpoint may get a request again.
   */
  protected _noEndpointError (request: GatewayRequest, triedIds: readonly string[]): RequestError {
    const waitMs = this._untilAllowedMs(request, triedIds)
    const retryAfterMs = Math.max(BUSY_RETRY_AFTER_MS, waitMs ?? 0)
    if (waitMs !== undefined) return new RequestError(ErrorKind.NoEndpoint, 'the endpoints accept no more requests now', { retryAfterMs })
    return new RequestError(ErrorKind.NoEndpoint, triedIds.length === 0 ? 'no endpoint is known' : 'no endpoint accepted the request', { retryAfterMs })
  }

  protected _elapsedMs ({ arrivedMs }: GatewayRequest): number {
    return Math.round(this._context.clock.nowMs() - arrivedMs)
  }
}
