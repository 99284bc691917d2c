import {
  Booking, BookingRequest, BookingStage, EngineCall, ErrorKind, fleetIndex, JaymillError, KvTransferParams, RanState, RequestError,
  RequestEvent, RouteClass, TokenEvent
} from '@jaymill/core'
import type { HostContext } from '../JaymillHostContext.js'
import { CompletionJob, estimateTokens, piecesOf } from './JaymillCompletionJob.js'

const MAX_ATTEMPTS = 4
const EXPECTED_PREFILL_MS_PER_TOKEN = 0.05
const RETRIED: readonly ErrorKind[] = [ErrorKind.EndpointFailed, ErrorKind.EndpointRefused, ErrorKind.Stalled]
const PRIORITIES = Object.values(RouteClass)

interface Progress {
  attempt: number
  generated: string
  tokens: number
  exclude: string[]
}

/** Runs completions: books decode, then prefill, prefills, and streams the answer. */
export class CompletionRunner {
  private readonly _ctx: HostContext

  /**
   * @param ctx - Shared parts of the host.
   */
  constructor (ctx: HostContext) {
    this._ctx = ctx
  }

  /**
   * Streams the whole answer, going on at another endpoint when one fails.
   *
   * @param job - Completion.
   * @param signal - Aborts when the caller is gone or the deadline has passed; frees engine memory.
   * @returns Tokens in order, without gaps or repeats.
   * @throws RequestError when the answer cannot be completed.
   */
  async * run (job: CompletionJob, signal: AbortSignal): AsyncIterable<TokenEvent> {
    const progress: Progress = { attempt: 1, generated: '', tokens: 0, exclude: [] }
    job.record.decide(RequestEvent.Admit, 'admitted', this._ctx.clock.nowMs())
    while (true) {
      try {
        yield * this._attempt(job, progress, signal)
        return
      } catch (err) {
        this._planRetry(job, progress, err, signal)
      }
    }
  }

  private _planRetry (job: CompletionJob, progress: Progress, err: unknown, signal: AbortSignal): void {
    signal.throwIfAborted()
    const retried = err instanceof JaymillError && RETRIED.includes(err.kind)
    if (!retried || progress.attempt >= MAX_ATTEMPTS) throw err
    progress.attempt++
    job.record.decide(RequestEvent.Retry, err.message, this._ctx.clock.nowMs())
  }

  private async * _attempt (job: CompletionJob, progress: Progress, signal: AbortSignal): AsyncIterable<TokenEvent> {
    const decode = await this._book(job, progress, BookingStage.Decode, job.model.decodePool, signal)
    try {
      const kv = await this._prefill(job, progress, signal)
      yield * this._decode(job, progress, decode, kv, signal)
    } catch (err) {
      progress.exclude.push(decode.endpointId)
      throw err
    } finally {
      this._ctx.booker.release(decode)
    }
  }

  private async _prefill (job: CompletionJob, progress: Progress, signal: AbortSignal): Promise<KvTransferParams | null> {
    if (job.model.prefillPool === job.model.decodePool) return null
    const booking = await this._book(job, progress, BookingStage.Prefill, job.model.prefillPool, signal)
    job.record.decide(RequestEvent.Prefill, `attempt ${progress.attempt}`, this._ctx.clock.nowMs(), booking.endpointId)
    try {
      return (await this._ctx.engines.prefill(this._call(job, progress, booking.endpointId), signal)).kv
    } catch (err) {
      progress.exclude.push(booking.endpointId)
      throw err
    } finally {
      this._ctx.booker.release(booking)
    }
  }

  private async * _decode (
    job: CompletionJob, progress: Progress, booking: Booking, kv: KvTransferParams | null, signal: AbortSignal
  ): AsyncIterable<TokenEvent> {
    job.record.decide(RequestEvent.Decode, `attempt ${progress.attempt}`, this._ctx.clock.nowMs(), booking.endpointId)
    for await (const event of this._ctx.engines.decode(this._call(job, progress, booking.endpointId), kv, signal)) {
      progress.tokens = event.id
      progress.generated += event.text
      yield event
      if (event.finishReason !== null) return
    }
    throw new RequestError(ErrorKind.EndpointFailed, `endpoint ${booking.endpointId} ended its answer early`, { ran: RanState.Yes })
  }

  private async _book (
    job: CompletionJob, progress: Progress, stage: BookingStage, poolId: string, signal: AbortSignal
  ): Promise<Booking> {
    const promptTokens = estimateTokens(job.prompt)
    const prefillMs = promptTokens * EXPECTED_PREFILL_MS_PER_TOKEN
    const decode = stage === BookingStage.Decode
    const req: BookingRequest = {
      requestId: job.requestId,
      attempt: progress.attempt,
      stage,
      poolId,
      pieces: decode ? piecesOf(job) : 0,
      transferBytes: decode ? promptTokens * job.model.kvBytesPerToken : 0,
      startInMs: decode ? prefillMs : 0,
      expectedMs: decode ? job.maxTokens * job.route.interTokenMs : prefillMs,
      exclude: progress.exclude,
      prefer: [],
      priority: PRIORITIES.indexOf(job.route.class)
    }
    const booking = await this._ctx.booker.book(req, signal)
    if (decode) job.record.decide(RequestEvent.Reserve, `owner ${booking.ownerId}`, this._ctx.clock.nowMs(), booking.endpointId)
    return booking
  }

  private _call (job: CompletionJob, progress: Progress, endpointId: string): EngineCall {
    const endpoint = fleetIndex(this._ctx.fleet()).endpoint(endpointId)
    return {
      tag: {
        requestId: job.requestId,
        attempt: progress.attempt,
        hostId: this._ctx.identity.id,
        incarnation: this._ctx.identity.incarnation,
        ...(job.idempotencyKey === undefined ? {} : { idempotencyKey: job.idempotencyKey })
      },
      endpointId,
      url: endpoint.url,
      model: job.modelName,
      prompt: job.prompt,
      generated: progress.generated,
      generatedTokens: progress.tokens,
      maxTokens: job.maxTokens,
      priority: PRIORITIES.indexOf(job.route.class),
      sampling: job.sampling
    }
  }
}
