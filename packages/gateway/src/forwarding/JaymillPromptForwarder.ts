import {
  callerTimeoutMs, CallOutcome, CapacityProbeLimiter, drainMs, EngineRole, ErrorKind, isIdempotent, LatencyTargetPlacement,
  PrefillLocation, RanState, RequestError, type EndpointRecord, type OutstandingWork, type PrefillPlacement, type PrefillPlacementOptions,
  type RetryCharge
} from '@jaymill/core'
import { abortError, abortReasonOf } from '../callers/JaymillAbortError.js'
import { BUSY_RETRY_AFTER_MS } from '../callers/constants.js'
import { abortResponse, sendResponse } from '../callers/JaymillCallerResponse.js'
import type { GatewayRequest } from '../callers/JaymillGatewayRequest.js'
import { MAX_BUFFERED_RESPONSE_BYTES } from '../endpoints/constants.js'
import { bufferBody } from '../endpoints/JaymillEndpointCalls.js'
import { ExchangeError, ExchangeFailure } from '../endpoints/JaymillExchangeError.js'
import type { BufferedResponse, StreamedResponse } from '../endpoints/JaymillStreamedResponse.js'
import { TimeLimit } from '../endpoints/JaymillTimeLimit.js'
import type { Reservation } from '../ports/JaymillEngineControl.js'
import {
  DECODE_TOKEN_MS, FIRST_EVENT_MARGIN_MS, KV_FETCH_MARGIN_MS, MAX_PROBES_PER_PASS, MAX_PROMPT_ROUNDS, MIN_CALL_MS, PREFILL_BACKLOG_MS,
  PREFILL_INITIAL_TOKEN_MS, PREFILL_TIMEOUT_FACTOR, PREFILL_TIMEOUT_MARGIN_MS, RETRY_DEADLINE_SHARE, STREAM_IDLE_TIMEOUT_MS
} from './constants.js'
import { CapacityQueue } from './JaymillCapacityQueue.js'
import { EngineReservations } from './JaymillEngineReservations.js'
import { Forwarder } from './JaymillForwarder.js'
import type { ForwardingContext } from './JaymillForwardingContext.js'
import { prefillGroup } from './JaymillLatencyGroups.js'
import { PrefillOutcome, PrefillRetries, type PrefillAttempt } from './JaymillPrefillRetries.js'
import { PromptEstimates } from './JaymillPromptEstimates.js'
import type { PrefilledPrompt, PromptProgress } from './JaymillPromptProgress.js'
import { kvTokensOf, promptTokensOf } from './JaymillPromptSize.js'
import { RelayOutcome, StreamRelay } from './JaymillStreamRelay.js'
import { RetriedCall } from './JaymillRetryRecord.js'
import { RetryRefusal } from './JaymillRetryRefusal.js'
import { classifyResponse, isOfOtherRequest, ResponseVerdict } from './JaymillResponseVerdict.js'
import type { TrackedRun } from './JaymillTrackedRun.js'

const STATUS_OK = 200

/** Charge of the first round, which is no retry. */
const NO_CHARGE: RetryCharge = { refund: () => {}, moveTo: () => {} }

/**
 * Forwards generation requests to separate prefill and decode pools: reserves capacity at a decode engine, prefills the prompt
 * at a prefill engine, then runs the request at the reserved engine. Unused reservations and KV caches are released however
 * the request ends.
 */
export class PromptForwarder extends Forwarder {
  private readonly _queues = new Map<string, CapacityQueue>()
  private readonly _estimates: PromptEstimates
  private readonly _probeLimiter = new CapacityProbeLimiter()
  private readonly _reservations: EngineReservations
  private readonly _prefillRetries: PrefillRetries
  private readonly _prefillPlacement: PrefillPlacement = new LatencyTargetPlacement()

  /**
   * @param context - Components of the host.
   */
  constructor (context: ForwardingContext) {
    super(context)
    this._estimates = new PromptEstimates(context)
    this._prefillRetries = new PrefillRetries(context)
    this._reservations = new EngineReservations(context, this._probeLimiter, endpoint => this._recordOutcome(endpoint, CallOutcome.Unreachable))
    context.reachability.onLost(service => this._queues.get(service)?.releaseAll())
    context.load.onFreed(() => this._queues.forEach(queue => queue.capacityFreed()))
  }

  /** {@inheritDoc Forwarder.durationMs} */
  durationMs (request: GatewayRequest): number {
    const waitMs = this._queue(request).size > 0 ? this._backlogMs(request) : 0
    return waitMs + this._expectedFirstEventMs(request) + this._estimates.decodeMs(request)
  }

  /** {@inheritDoc Forwarder.forward} */
  async forward (original: GatewayRequest): Promise<void> {
    const { demand, clock, crashes, peers } = this._context
    const request = this._estimates.withExpectedOutput(original)
    const hintTokens = original.metadata.prompt?.expectedOutputTokens ?? 0
    crashes.admit(request)
    this._countRequest(request)
    const relay = new StreamRelay(request)
    if (peers.shouldForward(request)) {
      await peers.forwardStream(request, relay, 0)
      return
    }
    demand.add(request.service.name, promptTokensOf(request), kvTokensOf(request), clock.nowMs())
    const progress: PromptProgress = { relay, hintTokens, runs: 0, rounds: 0, prefilled: false, prompt: undefined, avoidedIds: new Set() }
    await this._round(request, progress).finally(() => this._freePrompt(request, progress))
  }

  private async _round (request: GatewayRequest, progress: PromptProgress): Promise<void> {
    progress.rounds += 1
    const reservationEnded = new AbortController()
    let engineId: string | undefined
    try {
      const reservation = await this._reserve(request, progress)
      if (reservation === undefined) {
        if (this._chargeRound(request, progress) === undefined) throw this._finalError(request, progress)
        this._freePrompt(request, progress)
        await this._context.peers.forwardStream(request, progress.relay, progress.runs)
        return
      }
      engineId = reservation.endpoint.id
      this._trackLoad(reservation.endpoint, kvTokensOf(request), reservationEnded.signal)
      const needsAnotherRound = await this._run(request, progress, reservation)
      if (!needsAnotherRound) return
    } finally {
      reservationEnded.abort()
      if (engineId !== undefined) this._probeLimiter.recordRelease(engineId)
      this._queue(request).capacityFreed()
    }
    if (request.res.writableEnded) return
    if (!this._mayRetry(request, progress)) throw this._finalError(request, progress)
    await this._round(request, progress)
  }

  private _mayRetry (request: GatewayRequest, progress: PromptProgress): boolean {
    const refusal = this._retryRefusal(request, progress)
    if (refusal !== undefined) this._context.log.request(request.id, 'not run again', { reason: refusal, runs: progress.runs, rounds: progress.rounds, ms: this._elapsedMs(request) })
    return refusal === undefined
  }

  private _retryRefusal (request: GatewayRequest, { runs, rounds, relay }: PromptProgress): RetryRefusal | undefined {
    if (request.signal.aborted) return RetryRefusal.Aborted
    if (this._remainingMs(request) < MIN_CALL_MS) return RetryRefusal.Deadline
    if (!relay.acceptsRun || (runs > 0 && !isIdempotent(request.route))) return RetryRefusal.NotIdempotent
    if (runs >= request.route.maxAttempts) return RetryRefusal.Attempts
    if (rounds >= MAX_PROMPT_ROUNDS) return RetryRefusal.Rounds
    return this._hasRetry(request, RetriedCall.Decode) ? undefined : RetryRefusal.Budget
  }

  /** Charges a round that repeats the request only now: it may have waited for capacity since the last one failed. */
  private _chargeRound (request: GatewayRequest, { rounds }: PromptProgress): RetryCharge | undefined {
    return rounds === 1 ? NO_CHARGE : this._chargeRetry(request, RetriedCall.Decode)
  }

  /** Returns `undefined` when this host has lost its paths to the engines and another host has to serve the request. */
  private async _reserve (request: GatewayRequest, progress: PromptProgress): Promise<Reservation | undefined> {
    const { arrivedMs, route, signal, metadata } = request
    const { peers } = this._context
    const mayHaveRun = progress.runs > 0 || progress.relay.started
    if (peers.shouldForward(request, mayHaveRun)) return undefined
    const nowMs = this._context.clock.nowMs()
    const isRetry = (metadata.deadlineMs ?? route.timeoutMs) < route.timeoutMs * RETRY_DEADLINE_SHARE
    const firstEventMs = this._expectedFirstEventMs(request)
    const callerTimeoutAtMs = progress.rounds > 1 ? nowMs + callerTimeoutMs(route) : arrivedMs + callerTimeoutMs(route)
    const reservationDeadlineMs = Math.min(callerTimeoutAtMs, request.deadlineMs) - firstEventMs - FIRST_EVENT_MARGIN_MS
    this._checkAdmission(request, progress, Math.max(reservationDeadlineMs, nowMs))
    const { reservation, retryAfterMs } = await this._queue(request).acquire({
      id: request.id,
      arrivedMs,
      targetDeadlineMs: isRetry ? Number.NEGATIVE_INFINITY : arrivedMs + route.targetLatencyMs - firstEventMs,
      callerDeadlineMs: Math.max(reservationDeadlineMs, nowMs),
      tokens: kvTokensOf(request),
      cost: kvTokensOf(request) * (metadata.prompt?.expectedOutputTokens ?? 0),
      isRetry: isRetry || progress.rounds > 1,
      signal,
      reserve: async () => await this._tryReserve(request, progress)
    })
    if (reservation !== undefined && !signal.aborted) return reservation
    if (reservation !== undefined) this._reservations.release(request, reservation)
    if (signal.aborted) throw this._finalError(request, progress)
    if (peers.shouldForward(request, mayHaveRun)) return undefined
    if (mayHaveRun) throw this._finalError(request, progress)
    throw new RequestError(ErrorKind.Overloaded, 'no decode engine has room', { retryAfterMs: retryAfterMs ?? BUSY_RETRY_AFTER_MS })
  }

  /** Refuses a request at once when no decode engine may get it before its caller gives up. */
  private _checkAdmission (request: GatewayRequest, progress: PromptProgress, deadlineMs: number): void {
    const { admission, clock, log } = this._context
    const waitMs = admission.untilAllowedMs(this._pool(request, EngineRole.Decode))
    if (waitMs === undefined || clock.nowMs() + waitMs <= deadlineMs) return
    log.request(request.id, 'no engine accepts requests', { waitMs: Math.round(waitMs) })
    if (progress.relay.started || progress.runs > 0) throw this._finalError(request, progress)
    throw new RequestError(ErrorKind.Overloaded, 'the decode engines accept no more requests now', { retryAfterMs: waitMs })
  }

  private async _tryReserve (request: GatewayRequest, progress: PromptProgress): Promise<Reservation | undefined> {
    const prefillMs = progress.prompt === undefined ? this._expectedPrefillMs(request) : 0
    if (prefillMs > PREFILL_BACKLOG_MS) return undefined
    return await this._reservations.reserveFirst(request, this._enginesToProbe(request, progress), prefillMs)
  }

  private _queue (request: GatewayRequest): CapacityQueue {
    const service = request.service.name
    const existing = this._queues.get(service)
    if (existing !== undefined) return existing
    const queue = new CapacityQueue(this._context.clock, () => this._backlogMs(request))
    this._queues.set(service, queue)
    this._context.demand.registerWaitingTokens(service, () => queue.waitingTokens)
    return queue
  }

  /** Estimates the time until all waiting requests have capacity, in milliseconds. */
  private _backlogMs (request: GatewayRequest): number {
    const { demand, clock } = this._context
    const service = request.service.name
    const capacityTokens = this._pool(request, EngineRole.Decode).length * (request.service.engine?.kvTokens ?? 0)
    const { waitingTokens, kvRate } = demand.total(service, clock.nowMs())
    return drainMs({ waitingTokens, arrivalRate: kvRate, capacityTokens, holdingTimeMs: demand.holdingTimeMs(service) })
  }

  /**
   * Returns engines whose reported load leaves enough capacity. While the work of other hosts is known late, it also returns full
   * ones that are due for a probe: an engine grants less than the load that hosts count, so a probe could overfill it.
   */
  private _enginesToProbe (request: GatewayRequest, progress: PromptProgress): readonly EndpointRecord[] {
    const { load, loadAgeMs, clock, reliability, admission } = this._context
    const kvTokens = request.service.engine?.kvTokens ?? Number.POSITIVE_INFINITY
    const nowMs = clock.nowMs()
    const ranked = this._rankedEngines(request, EngineRole.Decode, progress)
    const trusted = ranked.filter(({ id }) => !reliability.isSuspect(id, nowMs))
    const due = (trusted.length > 0 ? trusted : ranked).filter(record => admission.allows(record)).filter(({ id }) => {
      const hasCapacity = load.at(id).tokens + kvTokensOf(request) <= kvTokens
      return (hasCapacity || loadAgeMs() > 0) && this._probeLimiter.shouldProbe(id, hasCapacity, ranked.length, nowMs)
    })
    return due.slice(0, MAX_PROBES_PER_PASS)
  }

  /** Prefills and decodes a request. Returns whether another round is needed. */
  private async _run (request: GatewayRequest, progress: PromptProgress, reservation: Reservation): Promise<boolean> {
    const charge = this._chargeRound(request, progress)
    const release = (): void => {
      this._reservations.release(request, reservation)
      charge?.refund()
    }
    if (charge === undefined) {
      release()
      throw this._finalError(request, progress)
    }
    this._checkStage(request, progress, () => this._expectedFirstEventMs(request) + this._estimates.decodeMs(request), release)
    progress.prompt = this._keptPrompt(request, progress) ?? await this._prefillFor(request, progress, reservation.endpoint).catch(err => {
      release()
      throw err
    })
    if (request.signal.aborted) {
      release()
      throw this._finalError(request, progress)
    }
    if (!this._isUsable(reservation.endpoint)) {
      this._context.log.request(request.id, 'reserved engine left', { endpoint: reservation.endpoint.id, directory: this._context.state.directory.revision })
      release()
      return true
    }
    this._checkStage(request, progress, () => this._estimates.decodeMs(request), release)
    charge.moveTo(this._context.clock.nowMs())
    const run = this._context.crashes.track(request, reservation.endpoint)
    const response = await this._openDecode(request, progress, reservation, run)
    if (response === undefined) return true
    return await this._relayStream(request, progress, run, response)
  }

  /**
   * Refuses a request that is quarantined by now, or that has not run and would no longer end before this host stops. Releases
   * what it holds.
   */
  private _checkStage (request: GatewayRequest, { runs, relay }: PromptProgress, durationMs: () => number, release: () => void): void {
    const mayHaveRun = runs > 0 || relay.started
    try {
      this._context.crashes.check(request, mayHaveRun)
      if (!mayHaveRun) this.checkEndsBeforeStop(request, durationMs)
    } catch (err) {
      release()
      throw err
    }
  }

  private _isUsable ({ id, service }: EndpointRecord): boolean {
    return this._context.state.directory.usable(service).some(record => record.id === id)
  }

  /** Returns the prompt of an earlier round if its engine still holds it, and frees it otherwise. */
  private _keptPrompt (request: GatewayRequest, progress: PromptProgress): PrefilledPrompt | undefined {
    const { prompt } = progress
    if (prompt === undefined) return undefined
    const ageMs = this._context.clock.nowMs() - prompt.prefilledMs
    if (ageMs < (request.service.engine?.handleTtlMs ?? 0) - KV_FETCH_MARGIN_MS && this._isUsable(prompt.endpoint)) return prompt
    this._freePrompt(request, progress)
    return undefined
  }

  private _freePrompt (request: GatewayRequest, progress: PromptProgress): void {
    if (progress.prompt !== undefined) this._reservations.free(request, progress.prompt)
    progress.prompt = undefined
  }

  private async _prefillFor (request: GatewayRequest, progress: PromptProgress, engine: EndpointRecord): Promise<PrefilledPrompt | undefined> {
    const location = this._prefillPlacement.choose(this._placementOptions(request, engine))
    return location === PrefillLocation.Prefill ? await this._prefill(request, progress, new Set()) : undefined
  }

  private async _prefill (request: GatewayRequest, progress: PromptProgress, tried: ReadonlySet<string>): Promise<PrefilledPrompt | undefined> {
    const endpoint = this._rankedEngines(request, EngineRole.Prefill, progress).find(record => !tried.has(record.id) && this._context.admission.allows(record))
    if (endpoint === undefined || request.signal.aborted) return undefined
    const attempt = this._prefillRetries.begin(request, progress.prefilled)
    if (attempt === undefined) return undefined
    this._context.admission.sent(endpoint)
    const prompt = await this._prefillAt(request, endpoint, attempt)
    if (prompt === undefined) return await this._prefill(request, progress, new Set([...tried, endpoint.id]))
    progress.prefilled = true
    return prompt
  }

  private async _prefillAt (request: GatewayRequest, endpoint: EndpointRecord, attempt: PrefillAttempt): Promise<PrefilledPrompt | undefined> {
    const { calls, clock, load, latencyModel, log, metrics } = this._context
    const work = load.at(endpoint.id)
    const tokens = promptTokensOf(request)
    const expectedMs = this._expectedMs(endpoint, work, tokens)
    const prefillEnded = new AbortController()
    this._trackLoad(endpoint, tokens, prefillEnded.signal)
    const limit = new TimeLimit(request.signal, expectedMs * PREFILL_TIMEOUT_FACTOR + PREFILL_TIMEOUT_MARGIN_MS)
    const startMs = clock.nowMs()
    let failure: ExchangeFailure | undefined
    const call = { ...this._call(request, endpoint, { role: EngineRole.Prefill }), ownConnection: false }
    const end = (outcome: PrefillOutcome): void => {
      limit.dispose()
      prefillEnded.abort()
      attempt.settle(outcome)
    }
    const prompt = await calls.collect(call, MAX_BUFFERED_RESPONSE_BYTES, limit.signal).then(
      response => this._toPrefilledPrompt(request, endpoint, response),
      err => {
        if (!(err instanceof ExchangeError)) {
          end(PrefillOutcome.Unsent)
          throw err
        }
        if (!request.signal.aborted) this._recordOutcome(endpoint, err.failure === ExchangeFailure.Broken ? CallOutcome.Failure : CallOutcome.Unreachable)
        failure = err.failure
        return undefined
      }
    )
    end(prefillOutcome(prompt, failure, request.signal))
    const ms = clock.nowMs() - startMs
    if (prompt !== undefined) latencyModel.addMeasurement({ group: prefillGroup(endpoint.service), endpointId: endpoint.id }, work.tokens + tokens, ms, clock.nowMs())
    const outcome = prompt === undefined ? 'failed' : 'read'
    metrics.recordCall('prefill', outcome)
    log.request(request.id, 'prefill', {
      endpoint: endpoint.id, outcome, failure, tokens, outstandingTokens: work.tokens, expectedMs: Math.round(expectedMs), ms: Math.round(ms)
    })
    return prompt
  }

  /**
   * Treats an engine that refuses a prefill as unreachable: it is full or changing its role, and should get no work for some time.
   * The result of another request is not used, since the request would go on from the prompt of that one.
   */
  private _toPrefilledPrompt (request: GatewayRequest, endpoint: EndpointRecord, { status, headers, body }: BufferedResponse): PrefilledPrompt | undefined {
    const { dialect, engines, calls } = this._context
    const isOwn = !isOfOtherRequest(dialect.responseMetadata(status, headers), request.id)
    if (!isOwn) calls.closeConnections(endpoint)
    const result = isOwn && status === STATUS_OK ? engines.prefillResult(body) : undefined
    this._recordOutcome(endpoint, result === undefined ? CallOutcome.Unreachable : CallOutcome.Success)
    return result === undefined ? undefined : { endpoint, address: endpoint.address, handle: result.handle, prefilledMs: this._context.clock.nowMs() }
  }

  private async _openDecode (
    request: GatewayRequest, progress: PromptProgress, reservation: Reservation, run: TrackedRun
  ): Promise<StreamedResponse | undefined> {
    const { calls, dialect, log, clock, crashes } = this._context
    const { endpoint } = reservation
    const { prompt } = progress
    const resumption = progress.relay.lastEventId === undefined ? {} : { lastEventId: progress.relay.lastEventId }
    const metadata = { reservationId: reservation.id, ...resumption, ...(prompt === undefined ? {} : { kvSource: prompt }) }
    const directPrefillMs = prompt === undefined ? this._expectedPrefillMs(request) : 0
    const limit = new TimeLimit(request.signal, isIdempotent(request.route) ? STREAM_IDLE_TIMEOUT_MS + PREFILL_TIMEOUT_FACTOR * directPrefillMs : this._remainingMs(request))
    const directPrefill = new AbortController()
    const queuedTokens = this._context.directPrefills.at(endpoint.id).tokens
    if (prompt === undefined) this._context.directPrefills.add(endpoint.id, promptTokensOf(request), directPrefill.signal)
    const startMs = clock.nowMs()
    const finish = (verdict: ResponseVerdict, reason?: string): void => {
      limit.cancelTimeout()
      directPrefill.abort()
      const readAt = prompt?.endpoint.id ?? endpoint.id
      if (verdict === ResponseVerdict.Success) this._estimates.recordFirstEvent(request, { engineId: endpoint.id, ms: clock.nowMs() - startMs, direct: prompt === undefined, queuedTokens })
      log.request(request.id, 'decode', { endpoint: endpoint.id, readAt, verdict, reason, afterEvent: progress.relay.lastEventId, ms: Math.round(clock.nowMs() - startMs) })
    }
    try {
      const response = await calls.open(this._call(request, endpoint, metadata), limit.signal)
      const verdict = classifyResponse(dialect, request.id, response.status, response.headers)
      finish(verdict)
      return await this._handleDecodeResponse(request, progress, reservation, response, verdict)
    } catch (err) {
      limit.dispose()
      directPrefill.abort()
      if (!(err instanceof ExchangeError)) {
        this._reservations.release(request, reservation)
        throw err
      }
      const notRun = err.ran === RanState.No
      finish(notRun ? ResponseVerdict.NotRun : ResponseVerdict.Unusable, err.message)
      this._reservations.release(request, reservation)
      if (!request.signal.aborted) this._recordOutcome(endpoint, err.failure === ExchangeFailure.Broken ? CallOutcome.Failure : CallOutcome.Unreachable)
      if (!notRun && !request.signal.aborted) crashes.brokeOff(run)
      if (!notRun) {
        progress.runs += 1
        this._freePrompt(request, progress)
      }
      progress.avoidedIds.add(endpoint.id)
      return undefined
    }
  }

  private async _handleDecodeResponse (
    request: GatewayRequest, progress: PromptProgress, reservation: Reservation, response: StreamedResponse, verdict: ResponseVerdict
  ): Promise<StreamedResponse | undefined> {
    const { endpoint } = reservation
    if (verdict === ResponseVerdict.NotRun) {
      response.body.destroy()
      this._reservations.release(request, reservation)
      this._recordOutcome(endpoint, CallOutcome.Unreachable)
      progress.avoidedIds.add(endpoint.id)
      return undefined
    }
    progress.runs += 1
    progress.prompt = undefined
    if (verdict === ResponseVerdict.Success) {
      this._recordOutcome(endpoint, CallOutcome.Success)
      return response
    }
    this._recordOutcome(endpoint, CallOutcome.Failure)
    if (verdict === ResponseVerdict.Unusable) this._context.calls.closeConnections(endpoint)
    progress.avoidedIds.add(endpoint.id)
    if (verdict === ResponseVerdict.Failed && !progress.relay.started && progress.runs >= request.route.maxAttempts) await this._relayFailure(request, response)
    response.body.destroy()
    return undefined
  }

  private async _relayFailure (request: GatewayRequest, { status, headers, body }: StreamedResponse): Promise<void> {
    const buffered = await bufferBody(body, MAX_BUFFERED_RESPONSE_BYTES).catch(() => undefined)
    if (buffered !== undefined) sendResponse(request.res, { status, headers, body: buffered })
  }

  /** Relays the stream to the caller. Returns whether it must be resumed at another engine. */
  private async _relayStream (request: GatewayRequest, progress: PromptProgress, run: TrackedRun, response: StreamedResponse): Promise<boolean> {
    const { log, metrics, clock, crashes } = this._context
    const { endpoint } = run
    const startMs = clock.nowMs()
    const idleTimeoutMs = request.route.resumable ? STREAM_IDLE_TIMEOUT_MS : undefined
    const onFirst = (): void => {
      metrics.recordFirstEvent(this._elapsedMs(request))
      log.request(request.id, 'first event', { endpoint: endpoint.id, ms: this._elapsedMs(request) })
    }
    const end = await progress.relay.forward(response, idleTimeoutMs, { onFirst, onEvents: () => crashes.eventsArrived(run) })
    log.request(request.id, 'stream ended', {
      endpoint: endpoint.id,
      end,
      failure: progress.relay.failure,
      abortReason: abortReasonOf(request),
      bytes: progress.relay.bytes,
      lastEvent: progress.relay.lastEventId,
      route: request.route.name,
      ms: this._elapsedMs(request),
      config: request.version
    })
    if (end === RelayOutcome.Complete) {
      metrics.recordResponse(request.route.kind, response.status, this._elapsedMs(request))
      this._estimates.recordCompleted(request, progress.hintTokens, progress.relay.bytes, clock.nowMs() - startMs)
      crashes.completed(run, progress.relay.endedWithConnection)
    }
    if (end === RelayOutcome.Broken) {
      this._recordOutcome(endpoint, CallOutcome.Failure)
      crashes.brokeOff(run)
      progress.avoidedIds.add(endpoint.id)
      return true
    }
    if (end === RelayOutcome.Aborted) abortResponse(request.res)
    return false
  }

  private _finalError (request: GatewayRequest, { runs, relay }: PromptProgress): RequestError {
    if (request.signal.aborted) return abortError(request, runs > 0 || relay.started)
    if (runs > 0) return new RequestError(ErrorKind.EndpointFailed, 'no engine returned a complete response', { ran: RanState.Unknown })
    return new RequestError(ErrorKind.Overloaded, 'no engine ran the request', { retryAfterMs: BUSY_RETRY_AFTER_MS })
  }

  protected override _expectedMs ({ id, service, stage }: EndpointRecord, work: OutstandingWork, tokens: number): number {
    const { latencyModel, clock } = this._context
    if (stage === EngineRole.Prefill) {
      return latencyModel.expectedMs({ group: prefillGroup(service), endpointId: id }, work.tokens + tokens, PREFILL_INITIAL_TOKEN_MS, clock.nowMs())
    }
    return (work.tokens + tokens) * DECODE_TOKEN_MS
  }

  private _rankedEngines (request: GatewayRequest, role: EngineRole, { avoidedIds }: PromptProgress): readonly EndpointRecord[] {
    const pool = this._pool(request, role)
    const preferred = pool.filter(({ id }) => !avoidedIds.has(id))
    const tokens = role === EngineRole.Prefill ? promptTokensOf(request) : kvTokensOf(request)
    return this._rank(request, preferred.length > 0 ? preferred : pool, tokens)
  }

  private _pool (request: GatewayRequest, role: EngineRole): readonly EndpointRecord[] {
    const { state, roleChanges, clock } = this._context
    const nowMs = clock.nowMs()
    return state.directory.usable(request.service.name)
      .filter(record => (record.stage ?? EngineRole.Decode) === role && !roleChanges.has(record.id, nowMs))
  }

  /** Returns the lowest expected prefill time over the prefill engines, in milliseconds; `undefined` when there is none. */
  private _prefillEngineMs (request: GatewayRequest): number | undefined {
    const times = this._candidates(this._pool(request, EngineRole.Prefill), promptTokensOf(request))
      .filter(({ suspect }) => !suspect)
      .map(({ expectedMs }) => expectedMs)
    return times.length === 0 ? undefined : Math.min(...times)
  }

  private _placementOptions (request: GatewayRequest, engine?: EndpointRecord): PrefillPlacementOptions {
    const engines = engine === undefined ? this._pool(request, EngineRole.Decode) : [engine]
    const decodeEngineMs = Math.min(...engines.map(({ id }) => this._estimates.directPrefillMs(request, id)))
    const remainingMs = request.arrivedMs + request.route.targetLatencyMs - this._estimates.firstEventMs(request) - this._context.clock.nowMs()
    return { prefillEngineMs: this._prefillEngineMs(request), decodeEngineMs, remainingMs }
  }

  /** Returns the expected prefill time at the chosen location, in milliseconds. */
  private _expectedPrefillMs (request: GatewayRequest): number {
    return this._prefillPlacement.expectedMs(this._placementOptions(request))
  }

  private _expectedFirstEventMs (request: GatewayRequest): number {
    return this._estimates.firstEventMs(request) + this._expectedPrefillMs(request)
  }
}

function prefillOutcome (prompt: PrefilledPrompt | undefined, failure: ExchangeFailure | undefined, signal: AbortSignal): PrefillOutcome {
  if (failure === ExchangeFailure.Connect) return PrefillOutcome.Unsent
  return prompt !== undefined || signal.aborted ? PrefillOutcome.Accepted : PrefillOutcome.Failed
}
