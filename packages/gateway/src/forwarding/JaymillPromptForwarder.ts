import {
  callerTimeoutMs, CallOutcome, CapacityProbeLimiter, drainMs, EngineRole, ErrorKind, isIdempotent, LatencyTargetPlacement,
  PrefillLocation, RanState, RequestError, type EndpointRecord, type OutstandingWork, type PrefillPlacement, type PrefillPlacementOptions,
  type RetryCharge
} from '@jaymill/core'
import { abortError } from '../callers/JaymillAbortError.js'
import { BUSY_RETRY_AFTER_MS } from '../callers/constants.js'
import type { GatewayRequest } from '../callers/JaymillGatewayRequest.js'
import { MAX_BUFFERED_RESPONSE_BYTES } from '../endpoints/constants.js'
import { ExchangeError, ExchangeFailure } from '../endpoints/JaymillExchangeError.js'
import type { BufferedResponse, StreamedResponse } from '../endpoints/JaymillStreamedResponse.js'
import { TimeLimit } from '../endpoints/JaymillTimeLimit.js'
import type { Reservation } from '../ports/JaymillEngineControl.js'
import {
  DECODE_TOKEN_MS, FIRST_EVENT_MARGIN_MS, KV_FETCH_MARGIN_MS, MAX_PROBES_PER_PASS, MAX_PROMPT_ROUNDS, PREFILL_BACKLOG_MS,
  PREFILL_INITIAL_TOKEN_MS, PREFILL_TIMEOUT_FACTOR, PREFILL_TIMEOUT_MARGIN_MS, RETRY_DEADLINE_SHARE, STREAM_SILENCE_MS
} from './constants.js'
import { CapacityQueue } from './JaymillCapacityQueue.js'
import { EngineReservations } from './JaymillEngineReservations.js'
import type { ForwardingContext } from './JaymillForwardingContext.js'
import { prefillGroup } from './JaymillLatencyGroups.js'
import { PrefillOutcome, PrefillRetries, type PrefillAttempt } from './JaymillPrefillRetries.js'
import { PromptEstimates } from './JaymillPromptEstimates.js'
import type { PrefilledPrompt, PromptProgress } from './JaymillPromptProgress.js'
import { kvTokensOf, promptTokensOf } from './JaymillPromptSize.js'
import { RetriedCall } from './JaymillRetryRecord.js'
import { RetryRefusal } from './JaymillRetryRefusal.js'
import { isOfOtherRequest, ResponseVerdict } from './JaymillResponseVerdict.js'
import { RunForwarder, type OpenedResponse } from './JaymillRunForwarder.js'
import { StreamRelay } from './JaymillStreamRelay.js'
import { RunEnd, type StreamRun } from './JaymillStreamRun.js'
import type { TrackedRun } from './JaymillTrackedRun.js'

const STATUS_OK = 200

/** A run that capacity is reserved for. */
interface ReservedRun {
  readonly reservation: Reservation
  /** Aborted when the run has ended. */
  readonly finished: AbortController
}

/** Charge of the first round, which is no retry. */
const NO_CHARGE: RetryCharge = { refund: () => {}, moveTo: () => {} }

/**
 * Forwards generation requests to separate prefill and decode pools: reserves capacity at a decode engine, prefills the prompt
 * at a prefill engine, then runs the request at the reserved engine. Unused reservations and KV caches are released however
 * the request ends.
 */
export class PromptForwarder extends RunForwarder<PromptProgress> {
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
    if (!peers.shouldForward(request)) demand.add(request.service.name, promptTokensOf(request), kvTokensOf(request), clock.nowMs())
    const progress: PromptProgress = {
      relay: new StreamRelay(request),
      hintTokens,
      runs: 0,
      rounds: 0,
      failure: undefined,
      busyIds: new Set(),
      prefilled: false,
      prompt: undefined,
      avoidedIds: new Set()
    }
    await this._serve(request, progress).finally(() => this._freePrompt(request, progress))
  }

  protected override async _begin (request: GatewayRequest, progress: PromptProgress): Promise<StreamRun | undefined> {
    progress.rounds += 1
    const reservation = await this._reserve(request, progress)
    if (reservation === undefined) {
      if (this._chargeRound(request, progress) === undefined) throw this._finalError(request, progress)
      this._freePrompt(request, progress)
      return await this._beginAtPeer(request, progress)
    }
    const { endpoint } = reservation
    const finished = this._trackRun(endpoint, kvTokensOf(request))
    finished.signal.addEventListener('abort', () => {
      this._probeLimiter.recordRelease(endpoint.id)
      this._queue(request).capacityFreed()
    }, { once: true })
    let run: StreamRun | undefined
    try {
      run = await this._run(request, progress, { reservation, finished })
    } finally {
      if (run?.options.finished !== finished) finished.abort()
    }
    return run
  }

  protected override _endpointRefusal (request: GatewayRequest, { rounds }: PromptProgress): RetryRefusal | undefined {
    if (rounds >= MAX_PROMPT_ROUNDS) return RetryRefusal.Rounds
    return this._hasRetry(request, RetriedCall.Decode) ? undefined : RetryRefusal.Budget
  }

  protected override _releaseUnused (request: GatewayRequest, progress: PromptProgress): void {
    this._freePrompt(request, progress)
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

  /** Prefills a request and runs it at the reserved engine. Resolves to `undefined` when another round is needed. */
  private async _run (request: GatewayRequest, progress: PromptProgress, reserved: ReservedRun): Promise<StreamRun | undefined> {
    const { reservation } = reserved
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
      return undefined
    }
    this._checkStage(request, progress, () => this._estimates.decodeMs(request), release)
    charge.moveTo(this._context.clock.nowMs())
    return await this._decode(request, progress, reserved)
  }

  /**
   * Refuses a request that is quarantined by now, or that has not run and would no longer end before this host stops. Releases
   * what it holds.
   */
  private _checkStage (request: GatewayRequest, { runs, relay }: PromptProgress, durationMs: () => number, release: () => void): void {
    const mayHaveRun = runs > 0 || relay.started
    try {
      this._context.crashes.check(request, mayHaveRun)
      if (!mayHaveRun) this.checkBeforeRun(request, durationMs)
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

  /** Runs a request at its reserved engine. Resolves to the run, or to one that replaces it, once the engine responds. */
  private async _decode (request: GatewayRequest, progress: PromptProgress, reserved: ReservedRun): Promise<StreamRun | undefined> {
    const { log, clock, directPrefills } = this._context
    const { reservation } = reserved
    const { endpoint } = reservation
    const { prompt } = progress
    progress.prompt = undefined
    const run = this._context.crashes.track(request, endpoint)
    const resumption = progress.relay.lastEventId === undefined ? {} : { lastEventId: progress.relay.lastEventId }
    const metadata = { reservationId: reservation.id, ...resumption, ...(prompt === undefined ? {} : { kvSource: prompt }) }
    const directPrefillMs = prompt === undefined ? this._expectedPrefillMs(request) : 0
    const directPrefill = new AbortController()
    const queuedTokens = directPrefills.at(endpoint.id).tokens
    if (prompt === undefined) directPrefills.add(endpoint.id, promptTokensOf(request), directPrefill.signal)
    const startMs = clock.nowMs()
    const logDecode = (verdict: ResponseVerdict | RunEnd, reason?: string): void => {
      const readAt = prompt?.endpoint.id ?? endpoint.id
      log.request(request.id, 'decode', { endpoint: endpoint.id, readAt, verdict, reason, afterEvent: progress.relay.lastEventId, ms: Math.round(clock.nowMs() - startMs) })
    }
    const silence = {
      target: endpoint.id,
      silenceMs: isIdempotent(request.route) ? STREAM_SILENCE_MS + PREFILL_TIMEOUT_FACTOR * directPrefillMs : undefined,
      onSilent: () => this._fellSilent(progress, run, CallOutcome.Unreachable),
      onContinued: () => this._continued(progress, endpoint)
    }
    const createRun = (response: StreamedResponse): StreamRun => {
      const ms = Math.min(clock.nowMs() - startMs, STREAM_SILENCE_MS + PREFILL_TIMEOUT_FACTOR * directPrefillMs)
      this._estimates.recordFirstEvent(request, { engineId: endpoint.id, ms, direct: prompt === undefined, queuedTokens })
      logDecode(ResponseVerdict.Success)
      directPrefill.abort()
      return this._createRun(request, progress, reserved, run, response)
    }
    try {
      const { run: begun, refusal, accepted } = await this._open(request, progress, this._call(request, endpoint, metadata), silence, createRun)
      if (refusal !== undefined) {
        logDecode(refusal.verdict)
        progress.avoidedIds.add(endpoint.id)
        await this._decodeRefused(request, progress, reservation, refusal, prompt)
      } else if (!accepted) {
        logDecode(RunEnd.Replaced)
        this._releaseCall(request, reservation, prompt)
      }
      return begun
    } catch (err) {
      this._reservations.release(request, reservation)
      if (!(err instanceof ExchangeError)) throw err
      logDecode(err.ran === RanState.No ? ResponseVerdict.NotRun : ResponseVerdict.Unusable, err.message)
      progress.avoidedIds.add(endpoint.id)
      this._decodeFailed(request, progress, run, err, prompt)
      return undefined
    } finally {
      directPrefill.abort()
    }
  }

  /** Handles a response of an engine other than a success. */
  private async _decodeRefused (
    request: GatewayRequest, progress: PromptProgress, reservation: Reservation, { response, verdict }: OpenedResponse, prompt: PrefilledPrompt | undefined
  ): Promise<void> {
    const { endpoint } = reservation
    if (verdict === ResponseVerdict.NotRun) {
      this._reservations.release(request, reservation)
      this._recordOutcome(endpoint, CallOutcome.Unreachable)
      this._keepPrompt(request, progress, prompt)
    } else {
      this._recordOutcome(endpoint, CallOutcome.Failure)
    }
    if (verdict === ResponseVerdict.Failed) await this._keepFailure(request, progress, response)
    if (verdict === ResponseVerdict.Unusable) this._context.calls.closeConnections(endpoint)
    response.body.destroy()
  }

  /** Handles a call to an engine that has got no response. */
  private _decodeFailed (request: GatewayRequest, progress: PromptProgress, run: TrackedRun, err: ExchangeError, prompt: PrefilledPrompt | undefined): void {
    const { endpoint } = run
    const isOwnFailure = !request.signal.aborted
    if (isOwnFailure) this._recordOutcome(endpoint, err.failure === ExchangeFailure.Broken ? CallOutcome.Failure : CallOutcome.Unreachable)
    if (err.ran === RanState.No) {
      this._keepPrompt(request, progress, prompt)
      return
    }
    if (isOwnFailure) this._context.crashes.brokeOff(run)
    if (prompt !== undefined) this._reservations.free(request, prompt)
  }

  private _releaseCall (request: GatewayRequest, reservation: Reservation, prompt: PrefilledPrompt | undefined): void {
    this._reservations.release(request, reservation)
    if (prompt !== undefined) this._reservations.free(request, prompt)
  }

  /** Keeps the prompt of a call that has not run for the next round. */
  private _keepPrompt (request: GatewayRequest, progress: PromptProgress, prompt: PrefilledPrompt | undefined): void {
    this._freePrompt(request, progress)
    progress.prompt = prompt
  }

  private _createRun (request: GatewayRequest, progress: PromptProgress, { reservation: { endpoint }, finished }: ReservedRun, run: TrackedRun, response: StreamedResponse): StreamRun {
    const { log, metrics, clock, crashes } = this._context
    const startMs = clock.nowMs()
    this._recordOutcome(endpoint, CallOutcome.Success)
    const created: StreamRun = progress.relay.createRun({
      response,
      target: endpoint.id,
      silenceMs: STREAM_SILENCE_MS,
      finished,
      onFirst: () => {
        metrics.recordFirstEvent(this._elapsedMs(request))
        log.request(request.id, 'first event', { endpoint: endpoint.id, ms: this._elapsedMs(request) })
      },
      onEvents: () => crashes.eventsArrived(run),
      onSilent: () => this._fellSilent(progress, run, CallOutcome.Failure),
      onContinued: () => this._continued(progress, endpoint),
      onEnd: (end, failure) => {
        progress.busyIds.delete(endpoint.id)
        this._logEnd(request, progress, { endpoint: endpoint.id }, end, failure)
        if (end === RunEnd.Broken) {
          this._recordOutcome(endpoint, CallOutcome.Failure)
          crashes.brokeOff(run)
          progress.avoidedIds.add(endpoint.id)
        }
        if (end !== RunEnd.Complete) return
        metrics.recordResponse(request.route.kind, response.status, this._elapsedMs(request))
        this._estimates.recordCompleted(request, progress.hintTokens, progress.relay.bytes, clock.nowMs() - startMs)
        crashes.completed(run, created.endsWithConnection)
      }
    })
    return created
  }

  /**
   * An engine that has crashed, or that the host has lost its links to, may be silent as well: then its connections are not closed, but
   * it accepts no other one.
   */
  private _fellSilent (progress: PromptProgress, run: TrackedRun, outcome: CallOutcome): void {
    const { crashes, reachability } = this._context
    this._recordOutcome(run.endpoint, outcome)
    crashes.brokeOff(run)
    reachability.silent(run.endpoint)
    progress.avoidedIds.add(run.endpoint.id)
  }

  /** Rounds that were prepared in vain while an engine was silent do not count. */
  private _continued (progress: PromptProgress, endpoint: EndpointRecord): void {
    this._recordOutcome(endpoint, CallOutcome.Success)
    progress.rounds = 1
  }

  protected override _finalError (request: GatewayRequest, { runs, relay }: PromptProgress): RequestError {
    if (request.signal.aborted) return abortError(request, runs > 0 || relay.started)
    if (runs > 0) return new RequestError(ErrorKind.EndpointFailed, 'no engine returned a complete response', { ran: RanState.Unknown })
    return new RequestError(ErrorKind.Overloaded, 'no engine ran the request', { retryAfterMs: BUSY_RETRY_AFTER_MS })
  }

  protected override _expectedMs ({ id, service, stage }: EndpointRecord, work: OutstandingWork, tokens: number): number {
    const { latencyModel, loadAgeMs, clock } = this._context
    if (stage === EngineRole.Prefill) {
      return latencyModel.expectedMs({ group: prefillGroup(service), endpointId: id }, work.tokens + tokens, PREFILL_INITIAL_TOKEN_MS, clock.nowMs())
    }
    const slowness = loadAgeMs() > 0 ? latencyModel.factor(id, clock.nowMs()) : 1
    return (work.tokens + tokens) * DECODE_TOKEN_MS * slowness
  }

  /** Returns the engines that don't work on the request already, best first. */
  private _rankedEngines (request: GatewayRequest, role: EngineRole, { avoidedIds, busyIds }: PromptProgress): readonly EndpointRecord[] {
    const pool = this._pool(request, role).filter(({ id }) => !busyIds.has(id))
    const preferred = pool.filter(({ id }) => !avoidedIds.has(id))
    const records = preferred.length > 0 ? preferred : pool
    return role === EngineRole.Prefill ? this._rankExpected(request, records, promptTokensOf(request)) : this._rank(request, records, kvTokensOf(request))
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

  /**
   * Returns the expected prefill time at the chosen location, in milliseconds. A long time at an engine that has no other prefill is
   * an old measurement, and only a new one can correct it.
   */
  private _expectedPrefillMs (request: GatewayRequest): number {
    const ms = this._prefillPlacement.expectedMs(this._placementOptions(request))
    return this._hasIdlePrefill(request) ? Math.min(ms, PREFILL_BACKLOG_MS) : ms
  }

  private _hasIdlePrefill (request: GatewayRequest): boolean {
    const { load, directPrefills } = this._context
    const prefillEngines = this._pool(request, EngineRole.Prefill)
    if (prefillEngines.length > 0) return prefillEngines.some(({ id }) => load.at(id).tokens === 0)
    return this._pool(request, EngineRole.Decode).some(({ id }) => directPrefills.at(id).tokens === 0)
  }

  private _expectedFirstEventMs (request: GatewayRequest): number {
    return this._estimates.firstEventMs(request) + this._expectedPrefillMs(request)
  }
}

function prefillOutcome (prompt: PrefilledPrompt | undefined, failure: ExchangeFailure | undefined, signal: AbortSignal): PrefillOutcome {
  if (failure === ExchangeFailure.Connect) return PrefillOutcome.Unsent
  return prompt !== undefined || signal.aborted ? PrefillOutcome.Accepted : PrefillOutcome.Failed
}
