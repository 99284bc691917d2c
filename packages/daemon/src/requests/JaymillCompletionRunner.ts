import {
  CapacityRequest, EndpointRole, EngineCall, fleetIndex, KvTransferParams, LatencyMeasure, RequestEvent, ReservationHandle,
  routePriority, TokenEvent
} from '@jaymill/core'
import type { HostContext } from '../JaymillHostContext.js'
import { CompletionRecovery } from '../streams/JaymillCompletionRecovery.js'
import { expectedPrefillMs, expectedTransferMs, streamTimeouts } from '../streams/JaymillStreamLatencyMonitor.js'
import { CompletionJob, estimateTokens, requiredPieces } from './JaymillCompletionJob.js'

/** A prefill result that an engine retains until decoding starts. */
interface RetainedPrefill {
  readonly call: EngineCall
  readonly kv: KvTransferParams
}

/** Runs completions: reserves a decode slot, then a prefill slot, prefills, and streams the response. */
export class CompletionRunner {
  private readonly _ctx: HostContext

  /**
   * @param ctx - Shared components of the host.
   */
  constructor (ctx: HostContext) {
    this._ctx = ctx
  }

  /**
   * Streams the whole response. Resumes after a stall and moves to another endpoint when one fails.
   *
   * @param job - Completion to run.
   * @param onAttempt - Called with the number of each attempt before it starts.
   * @param signal - Aborts when no caller reads the response any more; frees the engine memory of the request.
   * @returns Tokens after the job's prefix, in order, without gaps or duplicates.
   * @throws JaymillError if the response cannot be completed.
   */
  async * run (job: CompletionJob, onAttempt: (attempt: number) => void, signal: AbortSignal): AsyncGenerator<TokenEvent> {
    const recovery = new CompletionRecovery(this._ctx, job)
    job.record.decide(RequestEvent.Admit, 'admitted', this._ctx.clock.nowMs())
    this._ctx.health.moves.recordRequest(job.route.id)
    while (true) {
      try {
        onAttempt(recovery.assembler.attempt)
        yield * this._runAttempt(job, recovery, signal)
        return recovery.recordSuccess()
      } catch (err) {
        await recovery.prepareRetry(err, signal)
      }
    }
  }

  private async * _runAttempt (job: CompletionJob, recovery: CompletionRecovery, signal: AbortSignal): AsyncGenerator<TokenEvent> {
    recovery.checkQuarantine()
    const decodeReservation = await this._reserve(job, recovery, EndpointRole.Decode, job.model.decodePool, signal)
    let retained: RetainedPrefill | null = null
    try {
      retained = await this._prefill(job, recovery, signal)
      for await (const token of this._decode(job, recovery, decodeReservation, retained?.kv ?? null, signal)) {
        retained = null
        yield token
      }
    } finally {
      if (retained !== null) recovery.discardPrefill(retained.call)
      this._ctx.slotAllocator.release(decodeReservation)
    }
  }

  private async _prefill (
    job: CompletionJob, recovery: CompletionRecovery, signal: AbortSignal
  ): Promise<RetainedPrefill | null> {
    if (job.model.prefillPool === job.model.decodePool) return null
    const reservation = await this._reserve(job, recovery, EndpointRole.Prefill, job.model.prefillPool, signal)
    const { attempt } = recovery.assembler
    job.record.decide(RequestEvent.Prefill, `attempt ${attempt}`, this._ctx.clock.nowMs(), reservation.endpointId)
    const call = this._createCall(job, recovery, reservation.endpointId, expectedPrefillMs(estimateTokens(job.prompt)))
    const runController = this._trackRun(job, reservation)
    const startedMs = this._ctx.clock.nowMs()
    try {
      const { kv, promptTokens } = await this._ctx.engines.prefill(call, signal)
      this._observePrefill(reservation.endpointId, promptTokens, startedMs)
      return { call, kv }
    } catch (err) {
      await recovery.handlePrefillFailure(call, err, signal)
      throw err
    } finally {
      runController.abort()
      this._ctx.slotAllocator.release(reservation)
    }
  }

  private async * _decode (
    job: CompletionJob, recovery: CompletionRecovery, reservation: ReservationHandle, kv: KvTransferParams | null,
    signal: AbortSignal
  ): AsyncGenerator<TokenEvent> {
    const { attempt } = recovery.assembler
    job.record.decide(RequestEvent.Decode, `attempt ${attempt}`, this._ctx.clock.nowMs(), reservation.endpointId)
    const runController = this._trackRun(job, reservation)
    try {
      yield * recovery.streamTokens(
        this._createCall(job, recovery, reservation.endpointId, this._firstTokenMs(job, kv)), kv, signal
      )
    } finally {
      runController.abort()
    }
  }

  private _firstTokenMs (job: CompletionJob, kv: KvTransferParams | null): number {
    const promptTokens = estimateTokens(job.prompt)
    if (kv === null) return Math.max(job.route.ttftMs, expectedPrefillMs(promptTokens))
    const { linkBytesPerSecond } = fleetIndex(this._ctx.fleet()).pool(job.model.decodePool)
    return expectedTransferMs(promptTokens, job.model, linkBytesPerSecond) + job.route.interTokenMs
  }

  private _trackRun (job: CompletionJob, reservation: ReservationHandle): AbortController {
    const controller = new AbortController()
    this._ctx.health.quarantine.trackRun(job.fingerprint, reservation.endpointId, controller.signal)
    return controller
  }

  private _observePrefill (endpointId: string, promptTokens: number, startedMs: number): void {
    const nowMs = this._ctx.clock.nowMs()
    const expectedMs = expectedPrefillMs(promptTokens)
    const observedMs = nowMs - startedMs
    this._ctx.health.scorer.observe({ endpointId, measure: LatencyMeasure.FirstToken, observedMs, expectedMs }, nowMs)
  }

  private async _reserve (
    job: CompletionJob, recovery: CompletionRecovery, role: EndpointRole, poolId: string, signal: AbortSignal
  ): Promise<ReservationHandle> {
    const promptTokens = estimateTokens(job.prompt)
    const prefillMs = expectedPrefillMs(promptTokens)
    const isDecode = role === EndpointRole.Decode
    const req: CapacityRequest = {
      requestId: job.engineRequestId,
      attempt: recovery.assembler.attempt,
      role,
      poolId,
      pieces: isDecode ? requiredPieces(job) : 0,
      transferBytes: isDecode ? promptTokens * job.model.kvBytesPerToken : 0,
      startInMs: isDecode ? prefillMs : 0,
      expectedMs: isDecode ? job.maxTokens * job.route.interTokenMs : prefillMs,
      exclude: recovery.exclude,
      prefer: [],
      priority: routePriority(job.route.class),
      accountId: job.account.id,
      tokens: promptTokens + job.maxTokens,
      latestStartInMs: recovery.assembler.attempt === 1 ? Math.max(0, job.route.ttftMs - prefillMs) : job.route.deadlineMs
    }
    const reservation = await this._ctx.slotAllocator.reserve(req, signal)
    if (isDecode) job.record.decide(RequestEvent.Reserve, `owner ${reservation.ownerId}`, this._ctx.clock.nowMs(), reservation.endpointId)
    return reservation
  }

  private _createCall (job: CompletionJob, recovery: CompletionRecovery, endpointId: string, firstTokenMs: number): EngineCall {
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
      timeouts: streamTimeouts(job.route, firstTokenMs, job.deadlineAtMs - this._ctx.clock.nowMs())
    }
  }
}
