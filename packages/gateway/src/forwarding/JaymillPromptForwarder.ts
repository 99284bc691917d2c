import {
  callerPatienceMs, CallOutcome, DirectWhenOnTime, drainMs, EngineStage, ErrorKind, isIdempotent, RanState, ReadingPlace, RequestError, RoomQuestions,
  type EndpointRecord, type Outstanding, type PromptReading, type ReadingOptions
} from '@jaymill/core'
import { BUSY_RETRY_MS } from '../callers/constants.js'
import type { GatewayRequest } from '../callers/JaymillGatewayRequest.js'
import { relay } from '../callers/JaymillReply.js'
import { WHOLE_ANSWER_BYTES } from '../endpoints/constants.js'
import { readWhole } from '../endpoints/JaymillEndpointCalls.js'
import { ExchangeError, ExchangeFailure } from '../endpoints/JaymillExchangeError.js'
import type { OpenAnswer } from '../endpoints/JaymillOpenAnswer.js'
import { TimeLimit } from '../endpoints/JaymillTimeLimit.js'
import type { Reservation } from '../ports/JaymillEngineControl.js'
import {
  ANSWER_WEIGHT, DECODE_TOKEN_MS, FIRST_EVENT_FIXED_MS, FIRST_EVENT_MARGIN_MS, LONG_ANSWER, MAX_PROMPT_ROUNDS, MIN_CALL_MS,
  PREFILL_BACKLOG_MS, PREFILL_INITIAL_TOKEN_MS, PREFILL_PATIENCE, PREFILL_PATIENCE_MS, RESERVATION_MARGIN_MS,
  RESERVE_TIMEOUT_MS, RETURNED_SHARE, STREAM_SILENCE_MS
} from './constants.js'
import { Verdict, verdictOf } from './JaymillAnswerVerdict.js'
import { Forwarder } from './JaymillForwarder.js'
import type { HeldPrompt, PromptProgress } from './JaymillPromptProgress.js'
import { promptTokensOf, tokensOf } from './JaymillPromptSize.js'
import { RoomQueue } from './JaymillRoomQueue.js'
import { RelayEnd, StreamRelay } from './JaymillStreamRelay.js'

const STATUS_OK = 200

/**
 * Serves generation requests on split pools: reserves room at a decode engine, has a prefill engine read the prompt, then
 * runs the request where room is reserved. What was held for a request is given back however the request ends.
 */
export class PromptForwarder extends Forwarder {
  private readonly _queues = new Map<string, RoomQueue>()
  /** Estimate of an answer, in tokens; mean of recent ones. */
  private _answerTokens = 0
  private readonly _questions = new RoomQuestions()
  private readonly _reading: PromptReading = new DirectWhenOnTime()

  /** {@inheritDoc Forwarder.durationMs} */
  durationMs ({ facts, service }: GatewayRequest): number {
    const expected = facts.prompt?.expectedAnswerTokens ?? 0
    return this._parts.demand.heldMs(service.name) * LONG_ANSWER * expected / Math.max(1, this._answerTokens)
  }

  /** {@inheritDoc Forwarder.forward} */
  async forward (request: GatewayRequest): Promise<void> {
    const { budget, demand, clock } = this._parts
    budget.counted(request.service.name, clock.nowMs())
    demand.add(request.service.name, promptTokensOf(request), tokensOf(request), clock.nowMs())
    await this._round(request, { relay: new StreamRelay(request), runs: 0, rounds: 0, prefills: 0, avoided: new Set() })
  }

  private async _round (request: GatewayRequest, progress: PromptProgress): Promise<void> {
    progress.rounds += 1
    const held = new AbortController()
    let engineId: string | undefined
    try {
      const reservation = await this._reserve(request, progress)
      engineId = reservation.endpoint.id
      this._trackLoad(reservation.endpoint, tokensOf(request), held.signal)
      const again = await this._run(request, progress, reservation)
      if (!again) return
    } finally {
      held.abort()
      if (engineId !== undefined) this._questions.freed(engineId)
      this._queue(request).roomFreed()
    }
    if (request.res.writableEnded) return
    if (!this._mayGoOn(request, progress)) throw this._givenUp(request, progress)
    await this._round(request, progress)
  }

  private _noteHeld ({ facts, service }: GatewayRequest, ms: number): void {
    const expected = facts.prompt?.expectedAnswerTokens ?? 0
    this._parts.demand.noteHeld(service.name, ms)
    this._answerTokens += (expected - this._answerTokens) * (this._answerTokens === 0 ? 1 : ANSWER_WEIGHT)
  }

  private _mayGoOn (request: GatewayRequest, { runs, rounds }: PromptProgress): boolean {
    if (request.signal.aborted || this._leftMs(request) < MIN_CALL_MS) return false
    if (runs > 0 && !isIdempotent(request.route)) return false
    return runs < request.route.maxAttempts && rounds < MAX_PROMPT_ROUNDS && this._spendRetry(request)
  }

  private async _reserve (request: GatewayRequest, progress: PromptProgress): Promise<Reservation> {
    const { arrivedMs, route, signal, facts } = request
    const nowMs = this._parts.clock.nowMs()
    const returned = (facts.deadlineMs ?? route.timeoutMs) < route.timeoutMs * RETURNED_SHARE
    const firstEventMs = this._firstEventMs(request)
    const givesUpMs = progress.rounds > 1 ? nowMs + callerPatienceMs(route) : arrivedMs + callerPatienceMs(route)
    const patientUntilMs = Math.min(givesUpMs, request.deadlineMs) - firstEventMs - FIRST_EVENT_MARGIN_MS
    const { reservation, comeBackMs } = await this._queue(request).acquire({
      id: request.id,
      arrivedMs,
      onTimeUntilMs: returned ? Number.NEGATIVE_INFINITY : arrivedMs + route.targetLatencyMs - firstEventMs,
      patientUntilMs: Math.max(patientUntilMs, nowMs),
      tokens: tokensOf(request),
      cost: tokensOf(request) * (facts.prompt?.expectedAnswerTokens ?? 0),
      returned: returned || progress.rounds > 1,
      signal,
      reserve: async () => this._readMs(request) > PREFILL_BACKLOG_MS ? undefined : await this._firstReservation(request, this._withRoom(request, progress))
    })
    if (reservation !== undefined && !signal.aborted) return reservation
    if (reservation !== undefined) this._giveBack(request, reservation, undefined)
    if (signal.aborted || progress.relay.started) throw this._givenUp(request, progress)
    throw new RequestError(ErrorKind.Overloaded, 'no decode engine has room', { retryAfterMs: comeBackMs ?? BUSY_RETRY_MS })
  }

  private _queue (request: GatewayRequest): RoomQueue {
    const service = request.service.name
    const known = this._queues.get(service)
    if (known !== undefined) return known
    const queue = new RoomQueue(this._parts.clock, () => this._backlogMs(request))
    this._queues.set(service, queue)
    this._parts.demand.watchWaiting(service, () => queue.tokens)
    return queue
  }

  /** Time until all that wait for room will have got it. */
  private _backlogMs (request: GatewayRequest): number {
    const { demand, clock } = this._parts
    const service = request.service.name
    const capacityTokens = this._pool(request, EngineStage.Decode).length * (request.service.engine?.kvTokens ?? 0)
    const { waitingTokens, kvRate } = demand.total(service, clock.nowMs())
    return drainMs({ waitingTokens, arrivingRate: kvRate, capacityTokens, heldMs: demand.heldMs(service) })
  }

  /** Engines that seem to have room, and those that were not asked for a while. */
  private _withRoom (request: GatewayRequest, progress: PromptProgress): readonly EndpointRecord[] {
    const { load, clock, reliability } = this._parts
    const kvTokens = request.service.engine?.kvTokens ?? Number.POSITIVE_INFINITY
    const nowMs = clock.nowMs()
    const ranked = this._ranked(request, EngineStage.Decode, progress)
    const trusted = ranked.filter(({ id }) => !reliability.isSuspect(id, nowMs))
    return (trusted.length > 0 ? trusted : ranked).filter(({ id }) => {
      const fits = load.at(id).tokens + tokensOf(request) <= kvTokens
      return this._questions.worthAsking(id, fits, ranked.length, nowMs)
    })
  }

  private async _firstReservation (request: GatewayRequest, ranked: readonly EndpointRecord[]): Promise<Reservation | undefined> {
    const [endpoint, ...rest] = ranked
    if (endpoint === undefined || request.signal.aborted) return undefined
    return await this._reserveAt(request, endpoint) ?? await this._firstReservation(request, rest)
  }

  private async _reserveAt (request: GatewayRequest, endpoint: EndpointRecord): Promise<Reservation | undefined> {
    const { engines, log, metrics, load, clock } = this._parts
    const limit = new TimeLimit(request.signal, RESERVE_TIMEOUT_MS)
    const startMs = clock.nowMs()
    this._questions.asked(endpoint.id, startMs)
    const work = load.at(endpoint.id)
    const tokens = tokensOf(request)
    const ttlMs = Math.min(request.service.engine?.reservationMaxMs ?? RESERVATION_MARGIN_MS, RESERVATION_MARGIN_MS + PREFILL_PATIENCE * this._readMs(request))
    try {
      const reservation = await engines.reserve({ endpoint, tokens, ttlMs }, limit.signal)
      const outcome = reservation === undefined ? 'full' : 'reserved'
      if (reservation === undefined) this._questions.refused(endpoint.id, clock.nowMs())
      metrics.called('reserve', outcome)
      log.request(request.id, 'reservation', {
        endpoint: endpoint.id,
        outcome,
        tokens,
        outstanding: work.requests,
        outstandingTokens: work.tokens,
        ms: Math.round(clock.nowMs() - startMs),
        directory: this._parts.state.directory.revision
      })
      return reservation
    } catch (err) {
      if (!(err instanceof ExchangeError)) throw err
      if (!request.signal.aborted) this._note(endpoint, CallOutcome.Unreachable)
      metrics.called('reserve', err.failure)
      log.request(request.id, 'reservation', { endpoint: endpoint.id, outcome: err.failure, reason: err.message })
      return undefined
    } finally {
      limit.done()
    }
  }

  /** @returns Whether another round is needed. */
  private async _run (request: GatewayRequest, progress: PromptProgress, reservation: Reservation): Promise<boolean> {
    const place = this._reading.choose(this._readingOptions(request, reservation.endpoint))
    const prompt = place === ReadingPlace.Prefill ? await this._prefill(request, progress, new Set()) : undefined
    if (request.signal.aborted) {
      this._giveBack(request, reservation, prompt)
      throw this._givenUp(request, progress)
    }
    if (!this._isUsable(reservation.endpoint)) {
      this._parts.log.request(request.id, 'reserved engine left', { endpoint: reservation.endpoint.id, directory: this._parts.state.directory.revision })
      this._giveBack(request, reservation, prompt)
      return true
    }
    const answer = await this._openDecode(request, progress, reservation, prompt)
    if (answer === undefined) return true
    return await this._pass(request, progress, reservation.endpoint, answer)
  }

  private _isUsable ({ id, service }: EndpointRecord): boolean {
    return this._parts.state.directory.usable(service).some(record => record.id === id)
  }

  private async _prefill (request: GatewayRequest, progress: PromptProgress, tried: ReadonlySet<string>): Promise<HeldPrompt | undefined> {
    const endpoint = this._ranked(request, EngineStage.Prefill, progress).find(({ id }) => !tried.has(id))
    if (endpoint === undefined || request.signal.aborted) return undefined
    if (progress.prefills > 0 && !this._spendRetry(request)) return undefined
    progress.prefills += 1
    return await this._prefillAt(request, endpoint) ?? await this._prefill(request, progress, new Set([...tried, endpoint.id]))
  }

  private async _prefillAt (request: GatewayRequest, endpoint: EndpointRecord): Promise<HeldPrompt | undefined> {
    const { calls, clock, load, pace, log, metrics } = this._parts
    const work = load.at(endpoint.id)
    const tokens = promptTokensOf(request)
    const expectedMs = this._expectedMs(endpoint, work, tokens)
    const busy = new AbortController()
    this._trackLoad(endpoint, tokens, busy.signal)
    const limit = new TimeLimit(request.signal, expectedMs * PREFILL_PATIENCE + PREFILL_PATIENCE_MS)
    const startMs = clock.nowMs()
    const call = { ...this._call(request, endpoint, { stage: EngineStage.Prefill }), ownConnection: false }
    const held = await calls.collect(call, WHOLE_ANSWER_BYTES, limit.signal).then(
      ({ status, body }) => this._held(endpoint, status, body),
      (err: ExchangeError) => {
        if (!request.signal.aborted) this._note(endpoint, err.failure === ExchangeFailure.Broken ? CallOutcome.Failure : CallOutcome.Unreachable)
        return undefined
      }
    )
    limit.done()
    busy.abort()
    const ms = clock.nowMs() - startMs
    if (held !== undefined) pace.note(endpoint.id, work.tokens + tokens, ms)
    const outcome = held === undefined ? 'failed' : 'read'
    metrics.called('prefill', outcome)
    log.request(request.id, 'prefill', {
      endpoint: endpoint.id, outcome, tokens, outstandingTokens: work.tokens, expectedMs: Math.round(expectedMs), ms: Math.round(ms)
    })
    return held
  }

  /** An engine that refuses prompts is full or changes its stage; it is left alone for a while like one that is unreachable. */
  private _held (endpoint: EndpointRecord, status: number, body: Buffer): HeldPrompt | undefined {
    const result = status === STATUS_OK ? this._parts.engines.prefillResult(body) : undefined
    this._note(endpoint, result === undefined ? CallOutcome.Unreachable : CallOutcome.Success)
    return result === undefined ? undefined : { endpoint, address: endpoint.address, handle: result.handle }
  }

  private async _openDecode (
    request: GatewayRequest, progress: PromptProgress, reservation: Reservation, prompt: HeldPrompt | undefined
  ): Promise<OpenAnswer | undefined> {
    const { calls, dialect, log, clock } = this._parts
    const { endpoint } = reservation
    const resumed = progress.relay.lastEventId === undefined ? {} : { lastEventId: progress.relay.lastEventId }
    const intent = { reservationId: reservation.id, ...resumed, ...(prompt === undefined ? {} : { kvSource: prompt }) }
    const directMs = prompt === undefined ? this._readMs(request) : 0
    const limit = new TimeLimit(request.signal, isIdempotent(request.route) ? STREAM_SILENCE_MS + PREFILL_PATIENCE * directMs : this._leftMs(request))
    const direct = new AbortController()
    if (prompt === undefined) this._parts.directReads.add(endpoint.id, promptTokensOf(request), direct.signal)
    const startMs = clock.nowMs()
    const done = (verdict: Verdict, reason?: string): void => {
      limit.lift()
      direct.abort()
      const readAt = prompt?.endpoint.id ?? endpoint.id
      log.request(request.id, 'decode', { endpoint: endpoint.id, readAt, verdict, reason, afterEvent: progress.relay.lastEventId, ms: Math.round(clock.nowMs() - startMs) })
    }
    try {
      const answer = await calls.open(this._call(request, endpoint, intent), limit.signal)
      const verdict = verdictOf(dialect, request.id, answer.status, answer.headers)
      done(verdict)
      return await this._judge(request, progress, reservation, prompt, answer, verdict)
    } catch (err) {
      limit.done()
      if (!(err instanceof ExchangeError)) throw err
      const notRun = err.ran === RanState.No
      done(notRun ? Verdict.NotRun : Verdict.Unusable, err.message)
      this._giveBack(request, reservation, prompt)
      if (!request.signal.aborted) this._note(endpoint, err.failure === ExchangeFailure.Broken ? CallOutcome.Failure : CallOutcome.Unreachable)
      if (!notRun) progress.runs += 1
      progress.avoided.add(endpoint.id)
      return undefined
    }
  }

  private async _judge (
    request: GatewayRequest, progress: PromptProgress, reservation: Reservation, prompt: HeldPrompt | undefined, answer: OpenAnswer, verdict: Verdict
  ): Promise<OpenAnswer | undefined> {
    const { endpoint } = reservation
    if (verdict === Verdict.NotRun) {
      answer.body.destroy()
      this._giveBack(request, reservation, prompt)
      this._note(endpoint, CallOutcome.Unreachable)
      progress.avoided.add(endpoint.id)
      return undefined
    }
    progress.runs += 1
    if (verdict === Verdict.Success) {
      this._note(endpoint, CallOutcome.Success)
      return answer
    }
    this._note(endpoint, CallOutcome.Failure)
    progress.avoided.add(endpoint.id)
    if (verdict === Verdict.Failed && !progress.relay.started && progress.runs >= request.route.maxAttempts) await this._relayFailure(request, answer)
    answer.body.destroy()
    return undefined
  }

  private async _relayFailure (request: GatewayRequest, { status, headers, body }: OpenAnswer): Promise<void> {
    const whole = await readWhole(body, WHOLE_ANSWER_BYTES).catch(() => undefined)
    if (whole !== undefined) relay(request.res, { status, headers, body: whole })
  }

  /** @returns Whether the stream has to go on elsewhere. */
  private async _pass (request: GatewayRequest, progress: PromptProgress, endpoint: EndpointRecord, answer: OpenAnswer): Promise<boolean> {
    const { log, metrics, clock } = this._parts
    const startMs = clock.nowMs()
    const silenceMs = request.route.resumable ? STREAM_SILENCE_MS : undefined
    const end = await progress.relay.pass(answer, silenceMs, () => {
      metrics.firstEvent(this._sinceMs(request))
      log.request(request.id, 'first event', { endpoint: endpoint.id, ms: this._sinceMs(request) })
    })
    log.request(request.id, 'stream ended', {
      endpoint: endpoint.id,
      end,
      bytes: progress.relay.bytes,
      lastEvent: progress.relay.lastEventId,
      route: request.route.name,
      ms: this._sinceMs(request),
      config: request.version
    })
    if (end === RelayEnd.Complete) {
      metrics.answered(request.route.kind, answer.status, this._sinceMs(request))
      this._noteHeld(request, clock.nowMs() - startMs)
    }
    if (end === RelayEnd.Broken) {
      this._note(endpoint, CallOutcome.Failure)
      progress.avoided.add(endpoint.id)
      return true
    }
    if (end === RelayEnd.Ended) request.res.destroy()
    return false
  }

  private _giveBack (request: GatewayRequest, reservation: Reservation, prompt: HeldPrompt | undefined): void {
    const { engines, log } = this._parts
    const failed = (what: string) => (err: Error) => log.request(request.id, 'not given back', { what, reason: err.message })
    engines.release(reservation).catch(failed('reservation'))
    if (prompt !== undefined) engines.free(prompt.endpoint, prompt.handle).catch(failed('prompt'))
  }

  private _givenUp (request: GatewayRequest, { runs, relay: passed }: PromptProgress): RequestError {
    if (request.signal.aborted) return this._ended(request, runs > 0 || passed.started)
    if (runs > 0) return new RequestError(ErrorKind.EndpointFailed, 'no engine gave a whole answer', { ran: RanState.Unknown })
    return new RequestError(ErrorKind.Overloaded, 'no engine ran the request', { retryAfterMs: BUSY_RETRY_MS })
  }

  protected override _expectedMs ({ id, stage }: EndpointRecord, work: Outstanding, tokens: number): number {
    if (stage === EngineStage.Prefill) return this._parts.pace.expectedMs(id, work.tokens + tokens, PREFILL_INITIAL_TOKEN_MS)
    return (work.tokens + tokens) * DECODE_TOKEN_MS
  }

  private _ranked (request: GatewayRequest, stage: EngineStage, { avoided }: PromptProgress): readonly EndpointRecord[] {
    const { zone, random } = this._parts
    const pool = this._pool(request, stage)
    const preferred = pool.filter(({ id }) => !avoided.has(id))
    const tokens = stage === EngineStage.Prefill ? promptTokensOf(request) : tokensOf(request)
    return this._ranking.rank(this._candidates(preferred.length > 0 ? preferred : pool, tokens), zone, random)
  }

  private _pool (request: GatewayRequest, stage: EngineStage): readonly EndpointRecord[] {
    const { state, changes, clock } = this._parts
    const nowMs = clock.nowMs()
    return state.directory.usable(request.service.name)
      .filter(record => (record.stage ?? EngineStage.Decode) === stage && !changes.has(record.id, nowMs))
  }

  /** Expected time of the prompt at the prefill engine that is free first; `undefined` when there is none. */
  private _prefillMs (request: GatewayRequest): number | undefined {
    const times = this._candidates(this._pool(request, EngineStage.Prefill), promptTokensOf(request))
      .filter(({ suspect }) => !suspect)
      .map(({ expectedMs }) => expectedMs)
    return times.length === 0 ? undefined : Math.min(...times)
  }

  private _readingOptions (request: GatewayRequest, engine?: EndpointRecord): ReadingOptions {
    const engines = engine === undefined ? this._pool(request, EngineStage.Decode) : [engine]
    const directTokens = Math.min(...engines.map(({ id }) => this._parts.directReads.at(id).tokens))
    const leftMs = request.arrivedMs + request.route.targetLatencyMs - FIRST_EVENT_FIXED_MS - this._parts.clock.nowMs()
    return { promptTokens: promptTokensOf(request), prefillMs: this._prefillMs(request), directTokens, leftMs }
  }

  /** Expected time until the prompt is read where it is read best. */
  private _readMs (request: GatewayRequest): number {
    return this._reading.expectedMs(this._readingOptions(request))
  }

  private _firstEventMs (request: GatewayRequest): number {
    return FIRST_EVENT_FIXED_MS + this._readMs(request)
  }
}
