import {
  callerTimeoutMs, CallOutcome, EngineRole, ErrorKind, isIdempotent, isProbablyRetry, RanState, RequestError, type EndpointRecord, type RetryCharge
} from '@jaymill/core'
import { abortError } from '../callers/JaymillAbortError.js'
import { BUSY_RETRY_AFTER_MS } from '../callers/constants.js'
import type { GatewayRequest } from '../callers/JaymillGatewayRequest.js'
import { ExchangeError, ExchangeFailure } from '../endpoints/JaymillExchangeError.js'
import type { StreamedResponse } from '../endpoints/JaymillStreamedResponse.js'
import type { Reservation } from '../ports/JaymillEngineControl.js'
import { FIRST_EVENT_MARGIN_MS, MAX_PROMPT_ROUNDS, PREFILL_TIMEOUT_FACTOR, STREAM_SILENCE_MS } from './constants.js'
import { EngineCapacity } from './JaymillEngineCapacity.js'
import type { ForwardingContext } from './JaymillForwardingContext.js'
import { PrefillForwarder } from './JaymillPrefillForwarder.js'
import type { PrefilledPrompt, PromptProgress } from './JaymillPromptProgress.js'
import { kvTokensOf, promptTokensOf } from './JaymillPromptSize.js'
import { ResponseVerdict } from './JaymillResponseVerdict.js'
import { RetriedCall } from './JaymillRetryRecord.js'
import { RetryRefusal } from './JaymillRetryRefusal.js'
import type { OpenedResponse } from './JaymillRunForwarder.js'
import { StreamRelay } from './JaymillStreamRelay.js'
import { RunEnd, type StreamRun } from './JaymillStreamRun.js'
import type { TrackedRun } from './JaymillTrackedRun.js'

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
export class PromptForwarder extends PrefillForwarder {
  private readonly _capacity: EngineCapacity

  /**
   * @param context - Components of the host.
   */
  constructor (context: ForwardingContext) {
    super(context)
    const pools = {
      pool: (request: GatewayRequest, role: EngineRole) => this._pool(request, role),
      rankedDecoders: (request: GatewayRequest, progress: PromptProgress) => this._rankedEngines(request, EngineRole.Decode, progress),
      prefillMs: (request: GatewayRequest) => this._expectedPrefillMs(request)
    }
    this._capacity = new EngineCapacity(context, pools, this._reservations, this._probeLimiter)
  }

  /** {@inheritDoc Forwarder.durationMs} */
  durationMs (request: GatewayRequest): number {
    return this._capacity.waitMs(request) + this._expectedFirstEventMs(request) + this._estimates.decodeMs(request)
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
      urgency: undefined,
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
    finished.signal.addEventListener('abort', () => this._capacity.released(request, endpoint), { once: true })
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
    const isRetry = isProbablyRetry(metadata.deadlineMs, route.timeoutMs)
    const firstEventMs = this._expectedFirstEventMs(request)
    const callerTimeoutAtMs = progress.rounds > 1 ? nowMs + callerTimeoutMs(route) : arrivedMs + callerTimeoutMs(route)
    const reservationDeadlineMs = Math.min(callerTimeoutAtMs, request.deadlineMs) - firstEventMs - FIRST_EVENT_MARGIN_MS
    this._checkAdmission(request, progress, Math.max(reservationDeadlineMs, nowMs))
    const { reservation, refusal } = await this._capacity.acquire(request, progress, {
      targetDeadlineMs: isRetry ? Number.NEGATIVE_INFINITY : arrivedMs + route.targetLatencyMs - firstEventMs,
      callerDeadlineMs: Math.max(reservationDeadlineMs, nowMs),
      isRetry: isRetry || progress.rounds > 1
    })
    if (reservation !== undefined && !signal.aborted) return reservation
    if (reservation !== undefined) this._reservations.release(request, reservation)
    if (signal.aborted) throw this._finalError(request, progress)
    if (peers.shouldForward(request, mayHaveRun)) return undefined
    if (mayHaveRun) throw this._finalError(request, progress)
    throw new RequestError(ErrorKind.Overloaded, 'no decode engine has room', { retryAfterMs: refusal?.retryAfterMs ?? BUSY_RETRY_AFTER_MS })
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
}
