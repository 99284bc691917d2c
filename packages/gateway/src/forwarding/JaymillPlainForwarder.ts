import {
  CallOutcome, ErrorKind, isIdempotent, RanState, RequestError, type EndpointRecord
} from '@jaymill/core'
import { BUSY_RETRY_MS } from '../callers/constants.js'
import type { GatewayRequest } from '../callers/JaymillGatewayRequest.js'
import { relay } from '../callers/JaymillReply.js'
import { WHOLE_ANSWER_BYTES } from '../endpoints/constants.js'
import { ExchangeError, ExchangeFailure } from '../endpoints/JaymillExchangeError.js'
import type { WholeAnswer } from '../endpoints/JaymillOpenAnswer.js'
import { MAX_REFUSED_TRIES, MIN_CALL_MS, PLAIN_DURATION_TARGETS } from './constants.js'
import { Verdict, verdictOf } from './JaymillAnswerVerdict.js'
import { Forwarder } from './JaymillForwarder.js'

/** What became of one call. */
interface Attempt {
  readonly endpoint: EndpointRecord
  readonly verdict: Verdict
  /** Present when an endpoint gave a whole answer. */
  readonly answer?: WholeAnswer
}

/** What has been tried for one request. */
interface Progress {
  readonly tried: readonly Attempt[]
}

const PATH_ONLY = {}

/** Serves requests of plain services: the answer is held until it is whole, so that a broken one can be repeated where that is allowed. */
export class PlainForwarder extends Forwarder {
  /** {@inheritDoc Forwarder.durationMs} */
  durationMs ({ route }: GatewayRequest): number {
    return PLAIN_DURATION_TARGETS * route.targetLatencyMs
  }

  /** {@inheritDoc Forwarder.forward} */
  async forward (request: GatewayRequest): Promise<void> {
    this._parts.budget.counted(request.service.name, this._parts.clock.nowMs())
    await this._next(request, { tried: [] })
  }

  private async _next (request: GatewayRequest, progress: Progress): Promise<void> {
    const endpoint = this._mayTry(request, progress) ? this._choose(request, progress.tried.map(({ endpoint }) => endpoint.id)) : undefined
    if (endpoint === undefined) {
      this._finish(request, progress)
      return
    }
    const attempt = await this._attempt(request, endpoint, progress)
    if (attempt.verdict === Verdict.Success) this._finish(request, { tried: [...progress.tried, attempt] })
    else await this._next(request, { tried: [...progress.tried, attempt] })
  }

  private _mayTry (request: GatewayRequest, { tried }: Progress): boolean {
    if (request.signal.aborted || this._leftMs(request) < MIN_CALL_MS) return false
    const runs = tried.filter(({ verdict }) => verdict !== Verdict.NotRun).length
    if (runs > 0 && !isIdempotent(request.route)) return false
    if (runs >= request.route.maxAttempts || tried.length >= MAX_REFUSED_TRIES) return false
    return tried.length === 0 || this._spendRetry(request)
  }

  private async _attempt (request: GatewayRequest, endpoint: EndpointRecord, { tried }: Progress): Promise<Attempt> {
    const { calls, clock, log, pace, metrics, load, state } = this._parts
    const work = load.at(endpoint.id)
    const done = new AbortController()
    this._trackLoad(endpoint, 0, done.signal)
    const startMs = clock.nowMs()
    const attempt = await calls.collect(this._call(request, endpoint, PATH_ONLY), WHOLE_ANSWER_BYTES, request.signal)
      .then(answer => this._judge(request, endpoint, answer), err => this._unanswered(request, endpoint, err))
    done.abort()
    const ms = clock.nowMs() - startMs
    if (attempt.verdict === Verdict.Success) pace.note(endpoint.id, 1 + Math.floor(work.requests / Math.max(1, endpoint.slots)), ms)
    metrics.called('request', attempt.verdict)
    log.request(request.id, 'attempt ended', {
      endpoint: endpoint.id,
      service: request.service.name,
      attempt: tried.length + 1,
      verdict: attempt.verdict,
      status: attempt.answer?.status,
      ms: Math.round(ms),
      outstanding: work.requests,
      directory: state.directory.revision,
      config: request.version
    })
    return attempt
  }

  private _judge (request: GatewayRequest, endpoint: EndpointRecord, answer: WholeAnswer): Attempt {
    const verdict = verdictOf(this._parts.dialect, request.id, answer.status, answer.headers)
    this._note(endpoint, verdict === Verdict.Success ? CallOutcome.Success : CallOutcome.Failure)
    if (verdict === Verdict.Unusable) this._parts.calls.forget(endpoint)
    return { endpoint, verdict, answer }
  }

  private _unanswered (request: GatewayRequest, endpoint: EndpointRecord, err: unknown): Attempt {
    if (!(err instanceof ExchangeError)) throw err
    const connect = err.failure === ExchangeFailure.Connect
    if (!request.signal.aborted) this._note(endpoint, connect ? CallOutcome.Unreachable : CallOutcome.Failure)
    return { endpoint, verdict: err.ran === RanState.No ? Verdict.NotRun : Verdict.Unusable }
  }

  private _finish (request: GatewayRequest, { tried }: Progress): void {
    const usable = [...tried].reverse().find(({ verdict }) => verdict === Verdict.Success || verdict === Verdict.Failed)
    if (usable?.answer !== undefined) {
      this._relay(request, usable.answer)
      return
    }
    const mayHaveRun = tried.some(({ verdict }) => verdict !== Verdict.NotRun)
    if (request.signal.aborted) throw this._ended(request, mayHaveRun)
    if (mayHaveRun) throw new RequestError(ErrorKind.EndpointFailed, 'the endpoint gave no usable answer', { ran: RanState.Unknown })
    const reason = tried.length === 0 ? 'no endpoint is known' : 'no endpoint took the request'
    throw new RequestError(ErrorKind.NoEndpoint, reason, { retryAfterMs: BUSY_RETRY_MS })
  }

  private _relay (request: GatewayRequest, answer: WholeAnswer): void {
    relay(request.res, answer)
    const ms = this._sinceMs(request)
    this._parts.metrics.answered(request.route.kind, answer.status, ms)
    this._parts.log.request(request.id, 'answered', { status: answer.status, route: request.route.name, ms, config: request.version })
  }
}
