import {
  ReservationHandle, CapacityRequest, EndpointRole, EngineCall, fleetIndex, KvTransferParams, PaceMeasure, RequestEvent, routePriority, TokenEvent
} from '@jaymill/core'
import type { HostContext } from '../JaymillHostContext.js'
import { AnswerRecovery } from '../streams/JaymillAnswerRecovery.js'
import { expectedPrefillMs, expectedTransferMs, paceOf } from '../streams/JaymillPaceWatch.js'
import { CompletionJob, estimateTokens, piecesOf } from './JaymillCompletionJob.js'

/** A prefill result that an engine holds. */
interface HeldPrefill {
  readonly call: EngineCall
  readonly kv: KvTransferParams
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
   * Streams the whole answer, reading on after silence and going on at another endpoint when one fails.
   *
   * @param job - Completion.
   * @param onAttempt - Called with the number of each attempt before it begins.
   * @param signal - Aborts when nobody wants the answer; frees engine memory.
   * @returns Tokens after the job's prefix, in order, without gaps or repeats.
   * @throws JaymillError when the answer cannot be completed.
   */
  async * run (job: CompletionJob, onAttempt: (attempt: number) => void, signal: AbortSignal): AsyncGenerator<TokenEvent> {
    const recovery = new AnswerRecovery(this._ctx, job)
    job.record.decide(RequestEvent.Admit, 'admitted', this._ctx.clock.nowMs())
    this._ctx.health.moves.counted(job.route.id)
    while (true) {
      try {
        onAttempt(recovery.assembler.attempt)
        yield * this._attempt(job, recovery, signal)
        return recovery.finished()
      } catch (err) {
        await recovery.next(err, signal)
      }
    }
  }

  private async * _attempt (job: CompletionJob, recovery: AnswerRecovery, signal: AbortSignal): AsyncGenerator<TokenEvent> {
    recovery.check()
    const decode = await this._book(job, recovery, EndpointRole.Decode, job.model.decodePool, signal)
    let held: HeldPrefill | null = null
    try {
      held = await this._prefill(job, recovery, signal)
      for await (const token of this._decode(job, recovery, decode, held?.kv ?? null, signal)) {
        held = null
        yield token
      }
    } finally {
      if (held !== null) recovery.prefillUnused(held.call)
      this._ctx.booker.release(decode)
    }
  }

  private async _prefill (job: CompletionJob, recovery: AnswerRecovery, signal: AbortSignal): Promise<HeldPrefill | null> {
    if (job.model.prefillPool === job.model.decodePool) return null
    const booking = await this._book(job, recovery, EndpointRole.Prefill, job.model.prefillPool, signal)
    const { attempt } = recovery.assembler
    job.record.decide(RequestEvent.Prefill, `attempt ${attempt}`, this._ctx.clock.nowMs(), booking.endpointId)
    const call = this._call(job, recovery, booking.endpointId, expectedPrefillMs(estimateTokens(job.prompt)))
    const run = this._runs(job, booking)
    const startedMs = this._ctx.clock.nowMs()
    try {
      const { kv, promptTokens } = await this._ctx.engines.prefill(call, signal)
      this._observePrefill(booking.endpointId, promptTokens, startedMs)
      return { call, kv }
    } catch (err) {
      await recovery.prefillFailed(call, err, signal)
      throw err
    } finally {
      run.abort()
      this._ctx.booker.release(booking)
    }
  }

  private async * _decode (
    job: CompletionJob, recovery: AnswerRecovery, booking: ReservationHandle, kv: KvTransferParams | null, signal: AbortSignal
  ): AsyncGenerator<TokenEvent> {
    const { attempt } = recovery.assembler
    job.record.decide(RequestEvent.Decode, `attempt ${attempt}`, this._ctx.clock.nowMs(), booking.endpointId)
    const run = this._runs(job, booking)
    try {
      yield * recovery.tokens(this._call(job, recovery, booking.endpointId, this._firstTokenMs(job, kv)), kv, signal)
    } finally {
      run.abort()
    }
  }

  private _firstTokenMs (job: CompletionJob, kv: KvTransferParams | null): number {
    const promptTokens = estimateTokens(job.prompt)
    if (kv === null) return Math.max(job.route.ttftMs, expectedPrefillMs(promptTokens))
    const { linkBytesPerSecond } = fleetIndex(this._ctx.fleet()).pool(job.model.decodePool)
    return expectedTransferMs(promptTokens, job.model, linkBytesPerSecond) + job.route.interTokenMs
  }

  private _runs (job: CompletionJob, booking: ReservationHandle): AbortController {
    const run = new AbortController()
    this._ctx.health.quarantine.running(job.fingerprint, booking.endpointId, run.signal)
    return run
  }

  private _observePrefill (endpointId: string, promptTokens: number, startedMs: number): void {
    const nowMs = this._ctx.clock.nowMs()
    const expectedMs = expectedPrefillMs(promptTokens)
    const observedMs = nowMs - startedMs
    this._ctx.health.scorer.observe({ endpointId, measure: PaceMeasure.FirstToken, observedMs, expectedMs }, nowMs)
  }

  private async _book (
    job: CompletionJob, recovery: AnswerRecovery, role: EndpointRole, poolId: string, signal: AbortSignal
  ): Promise<ReservationHandle> {
    const promptTokens = estimateTokens(job.prompt)
    const prefillMs = expectedPrefillMs(promptTokens)
    const decode = role === EndpointRole.Decode
    const req: CapacityRequest = {
      requestId: job.engineRequestId,
      attempt: recovery.assembler.attempt,
      role,
      poolId,
      pieces: decode ? piecesOf(job) : 0,
      transferBytes: decode ? promptTokens * job.model.kvBytesPerToken : 0,
      startInMs: decode ? prefillMs : 0,
      expectedMs: decode ? job.maxTokens * job.route.interTokenMs : prefillMs,
      exclude: recovery.exclude,
      prefer: [],
      priority: routePriority(job.route.class),
      accountId: job.account.id,
      tokens: promptTokens + job.maxTokens,
      latestStartInMs: recovery.assembler.attempt === 1 ? Math.max(0, job.route.ttftMs - prefillMs) : job.route.deadlineMs
    }
    const booking = await this._ctx.booker.reserve(req, signal)
    if (decode) job.record.decide(RequestEvent.Reserve, `owner ${booking.ownerId}`, this._ctx.clock.nowMs(), booking.endpointId)
    return booking
  }

  private _call (job: CompletionJob, recovery: AnswerRecovery, endpointId: string, firstTokenMs: number): EngineCall {
    const endpoint = fleetIndex(this._ctx.fleet()).endpoint(endpointId)
    return {
      tag: {
        requestId: job.engineRequestId,
        attempt: recovery.assembler.attempt,
        hostId: this._ctx.identity.id,
        incarnation: this._ctx.identity.incarnation,
        ...(job.idempotencyKey === undefined ? {} : { idempotencyKey: job.idempotencyKey })
      },
      endpointId,
      url: endpoint.url,
      model: job.modelName,
      prompt: job.prompt,
      generated: recovery.assembler.text(),
      generatedTokens: recovery.assembler.lastId,
      maxTokens: job.maxTokens,
      priority: routePriority(job.route.class),
      sampling: job.sampling,
      pace: paceOf(job.route, firstTokenMs, job.deadlineAtMs - this._ctx.clock.nowMs())
    }
  }
}
