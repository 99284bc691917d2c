import {
  CallOutcome, CapacityProbeLimiter, EngineRole, LatencyTargetPlacement, PrefillLocation, type EndpointRecord, type OutstandingWork, type PrefillPlacement,
  type PrefillPlacementOptions
} from '@jaymill/core'
import type { GatewayRequest } from '../callers/JaymillGatewayRequest.js'
import { MAX_BUFFERED_RESPONSE_BYTES } from '../endpoints/constants.js'
import { ExchangeError, ExchangeFailure } from '../endpoints/JaymillExchangeError.js'
import type { BufferedResponse } from '../endpoints/JaymillStreamedResponse.js'
import { TimeLimit } from '../endpoints/JaymillTimeLimit.js'
import {
  DECODE_TOKEN_MS, KV_FETCH_MARGIN_MS, PREFILL_BACKLOG_MS, PREFILL_INITIAL_TOKEN_MS, PREFILL_TIMEOUT_FACTOR, PREFILL_TIMEOUT_MARGIN_MS
} from './constants.js'
import { EngineReservations } from './JaymillEngineReservations.js'
import type { ForwardingContext } from './JaymillForwardingContext.js'
import { prefillGroup } from './JaymillLatencyGroups.js'
import { PrefillOutcome, PrefillRetries, type PrefillAttempt } from './JaymillPrefillRetries.js'
import { PromptEstimates } from './JaymillPromptEstimates.js'
import type { PrefilledPrompt, PromptProgress } from './JaymillPromptProgress.js'
import { kvTokensOf, promptTokensOf } from './JaymillPromptSize.js'
import { isOfOtherRequest } from './JaymillResponseVerdict.js'
import { RunForwarder } from './JaymillRunForwarder.js'

const STATUS_OK = 200

/**
 * Knows the prefill and decode pools of a service: ranks their engines, estimates how long they take, and prefills prompts. The KV
 * cache of a prompt is kept for another round while its engine holds it, and freed when it is no longer needed.
 */
export abstract class PrefillForwarder extends RunForwarder<PromptProgress> {
  protected readonly _estimates: PromptEstimates
  protected readonly _probeLimiter = new CapacityProbeLimiter()
  protected readonly _reservations: EngineReservations
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
  }

  protected _isUsable ({ id, service }: EndpointRecord): boolean {
    return this._context.state.directory.usable(service).some(record => record.id === id)
  }

  /** Returns the prompt of an earlier round if its engine still holds it, and frees it otherwise. */
  protected _keptPrompt (request: GatewayRequest, progress: PromptProgress): PrefilledPrompt | undefined {
    const { prompt } = progress
    if (prompt === undefined) return undefined
    const ageMs = this._context.clock.nowMs() - prompt.prefilledMs
    if (ageMs < (request.service.engine?.handleTtlMs ?? 0) - KV_FETCH_MARGIN_MS && this._isUsable(prompt.endpoint)) return prompt
    this._freePrompt(request, progress)
    return undefined
  }

  protected _freePrompt (request: GatewayRequest, progress: PromptProgress): void {
    if (progress.prompt !== undefined) this._reservations.free(request, progress.prompt)
    progress.prompt = undefined
  }

  /** Keeps the prompt of a call that has not run for the next round. */
  protected _keepPrompt (request: GatewayRequest, progress: PromptProgress, prompt: PrefilledPrompt | undefined): void {
    this._freePrompt(request, progress)
    progress.prompt = prompt
  }

  protected async _prefillFor (request: GatewayRequest, progress: PromptProgress, engine: EndpointRecord): Promise<PrefilledPrompt | undefined> {
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

  protected override _expectedMs ({ id, service, stage }: EndpointRecord, work: OutstandingWork, tokens: number): number {
    const { latencyModel, loadAgeMs, clock } = this._context
    if (stage === EngineRole.Prefill) {
      return latencyModel.expectedMs({ group: prefillGroup(service), endpointId: id }, work.tokens + tokens, PREFILL_INITIAL_TOKEN_MS, clock.nowMs())
    }
    const slowness = loadAgeMs() > 0 ? latencyModel.factor(id, clock.nowMs()) : 1
    return (work.tokens + tokens) * DECODE_TOKEN_MS * slowness
  }

  /** Returns the engines that don't work on the request already, best first. */
  protected _rankedEngines (request: GatewayRequest, role: EngineRole, { avoidedIds, busyIds }: PromptProgress): readonly EndpointRecord[] {
    const pool = this._pool(request, role).filter(({ id }) => !busyIds.has(id))
    const preferred = pool.filter(({ id }) => !avoidedIds.has(id))
    const records = preferred.length > 0 ? preferred : pool
    return role === EngineRole.Prefill ? this._rankExpected(request, records, promptTokensOf(request)) : this._rank(request, records, kvTokensOf(request))
  }

  protected _pool (request: GatewayRequest, role: EngineRole): readonly EndpointRecord[] {
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
  protected _expectedPrefillMs (request: GatewayRequest): number {
    const ms = this._prefillPlacement.expectedMs(this._placementOptions(request))
    return this._hasIdlePrefill(request) ? Math.min(ms, PREFILL_BACKLOG_MS) : ms
  }

  private _hasIdlePrefill (request: GatewayRequest): boolean {
    const { load, directPrefills } = this._context
    const prefillEngines = this._pool(request, EngineRole.Prefill)
    if (prefillEngines.length > 0) return prefillEngines.some(({ id }) => load.at(id).tokens === 0)
    return this._pool(request, EngineRole.Decode).some(({ id }) => directPrefills.at(id).tokens === 0)
  }

  protected _expectedFirstEventMs (request: GatewayRequest): number {
    return this._estimates.firstEventMs(request) + this._expectedPrefillMs(request)
  }
}

function prefillOutcome (prompt: PrefilledPrompt | undefined, failure: ExchangeFailure | undefined, signal: AbortSignal): PrefillOutcome {
  if (failure === ExchangeFailure.Connect) return PrefillOutcome.Unsent
  return prompt !== undefined || signal.aborted ? PrefillOutcome.Accepted : PrefillOutcome.Failed
}
