import { setTimeout as delay } from 'node:timers/promises'
import {
  AnswerAssembler, EngineCall, ErrorKind, JaymillError, KvTransferParams, RanState, RecoveryPlanner, RecoveryStep, RequestError,
  RequestEvent, ResumeOrMovePlanner, TokenEvent, TokenFate
} from '@jaymill/core'
import type { HostContext } from '../JaymillHostContext.js'
import type { CompletionJob } from '../requests/JaymillCompletionJob.js'
import { REBOOK_MS } from './constants.js'
import { PaceWatch } from './JaymillPaceWatch.js'

/** Failures of a booking that pass when other requests end or suspects may share an endpoint. */
const NOTHING_FREE: readonly ErrorKind[] = [ErrorKind.Overloaded, ErrorKind.NoEndpoint]

/** Carries one answer over silent connections and dead endpoints. */
export class AnswerRecovery {
  readonly assembler: AnswerAssembler
  private readonly _ctx: HostContext
  private readonly _job: CompletionJob
  private readonly _planner: RecoveryPlanner = new ResumeOrMovePlanner()
  private _step: RecoveryStep | null = null
  private _failed: string[] = []
  private _mayShare = false

  /**
   * @param ctx - Shared parts of the host.
   * @param job - Completion.
   */
  constructor (ctx: HostContext, job: CompletionJob) {
    this._ctx = ctx
    this._job = job
    this.assembler = new AnswerAssembler(job.prefix, job.firstAttempt)
  }

  /**
   * @returns Endpoints on which the next attempt must not run.
   */
  get exclude (): readonly string[] {
    const { endpoints, strict } = this._ctx.health.quarantine.separation(this._job.fingerprint, this._ctx.clock.nowMs())
    return strict || !this._mayShare ? [...this._failed, ...endpoints] : this._failed
  }

  /**
   * Refuses a request that has killed endpoints.
   *
   * @throws RequestError of kind `Quarantined`.
   */
  check (): void {
    const ran = this.assembler.lastId > 0 ? RanState.Yes : this.assembler.attempt > 1 ? RanState.Unknown : RanState.No
    this._ctx.health.quarantine.check(this._job.fingerprint, this._ctx.clock.nowMs(), ran)
  }

  /**
   * Streams from one decode endpoint and reads on after silent or broken connections to it.
   *
   * @param call - What to run.
   * @param kv - Values from the prefill.
   * @param signal - Cancels the call and frees engine memory.
   * @returns Tokens in order, each once.
   * @throws JaymillError when this endpoint can't complete the answer; `next` says how to go on.
   */
  async * tokens (call: EngineCall, kv: KvTransferParams | null, signal: AbortSignal): AsyncGenerator<TokenEvent> {
    let stream = this._ctx.engines.decode(call, kv, signal)
    let mayRun = false
    try {
      while (true) {
        const err = yield * this._take(call, stream)
        if (err === null) {
          mayRun = false
          return
        }
        mayRun ||= err.ran !== RanState.No
        if (await this._afterBreak(call, err, signal) !== RecoveryStep.Resume) throw err
        this._planner.started()
        this._decide(RequestEvent.Decode, `read on after ${this.assembler.lastId}`, call.endpointId)
        stream = this._ctx.engines.resume(call, this.assembler.lastId, signal)
      }
    } finally {
      if (mayRun) this._ctx.engines.abandon(call.url, call.tag)
    }
  }

  /**
   * Notes that a prefill failed.
   *
   * @param call - The prefill.
   * @param err - Its failure.
   * @param signal - Gives up.
   */
  async prefillFailed (call: EngineCall, err: unknown, signal: AbortSignal): Promise<void> {
    signal.throwIfAborted()
    const failure = toFailure(err)
    this._failed.push(call.endpointId)
    if (failure.ran === RanState.No) this._ctx.health.scorer.failed(call.endpointId)
    else await this._ctx.health.probe(call.endpointId, call.url, signal)
    this._step = this._planner.failed(failure, false)
  }

  /**
   * Frees a prefill result that gave no token; the next attempt prefills elsewhere, in case its transfer had stalled.
   *
   * @param call - The prefill.
   */
  prefillUnused (call: EngineCall): void {
    this._failed.push(call.endpointId)
    this._ctx.engines.abandon(call.url, call.tag)
  }

  /**
   * Decides how to go on after a failed attempt.
   *
   * @param err - Failure of the attempt.
   * @param signal - Ends the waits.
   * @throws JaymillError that the caller is told, when the request is given up.
   */
  async next (err: unknown, signal: AbortSignal): Promise<void> {
    signal.throwIfAborted()
    const failure = toFailure(err)
    if (this._mayWait(failure)) return await this._waitForSlot(signal)
    const step = this._step ?? this._planner.failed(failure, false)
    const { moves } = this._ctx.health
    if (step !== RecoveryStep.Move || !moves.spend(this._job.route.id)) throw this._planner.failure(failure)
    this._decide(RequestEvent.Retry, failure.message)
    this.assembler.nextAttempt()
    this._planner.started()
    this._step = null
    this._mayShare = false
    await delay(moves.backoffMs(1), undefined, { signal }).catch(() => signal.throwIfAborted())
  }

  /** Clears the request of suspicion, because it finished. */
  finished (): void {
    this._ctx.health.quarantine.clear(this._job.fingerprint, this._ctx.clock.nowMs())
  }

  private async * _take (call: EngineCall, stream: AsyncIterable<TokenEvent>): AsyncGenerator<TokenEvent, JaymillError | null> {
    const watch = new PaceWatch(this._ctx.health, this._ctx.clock, this._job.route, call.endpointId)
    try {
      for await (const token of stream) {
        const fate = this.assembler.accept(call.tag.attempt, token)
        if (fate === TokenFate.Gap) return broken('tokens of the answer are missing')
        if (fate !== TokenFate.Next) continue
        watch.token()
        this._planner.progressed()
        yield token
        if (token.finishReason !== null) return null
      }
      return broken(`endpoint ${call.endpointId} ended its answer early`)
    } catch (err) {
      const failure = toFailure(err)
      if (failure.kind === ErrorKind.Stalled) watch.silence()
      return failure
    }
  }

  private async _afterBreak (call: EngineCall, err: JaymillError, signal: AbortSignal): Promise<RecoveryStep> {
    signal.throwIfAborted()
    this._step = this._planner.failed(err, true)
    if (this._step === RecoveryStep.Probe) {
      this._step = this._planner.probed(await this._ctx.health.probe(call.endpointId, call.url, signal))
    }
    if (this._step !== RecoveryStep.Resume) this._failed.push(call.endpointId)
    return this._step
  }

  private _mayWait (failure: JaymillError): boolean {
    const begun = this.assembler.lastId > 0 || this.assembler.attempt > this._job.firstAttempt
    return begun && this._step === null && NOTHING_FREE.includes(failure.kind)
  }

  private async _waitForSlot (signal: AbortSignal): Promise<void> {
    this._mayShare = true
    this._failed = this._failed.slice(-1)
    await delay(REBOOK_MS, undefined, { signal }).catch(() => signal.throwIfAborted())
  }

  private _decide (event: RequestEvent, reason: string, target?: string): void {
    this._job.record.decide(event, reason, this._ctx.clock.nowMs(), target)
  }
}

function broken (message: string): RequestError {
  return new RequestError(ErrorKind.EndpointFailed, message, { ran: RanState.Unknown })
}

function toFailure (err: unknown): JaymillError {
  if (err instanceof JaymillError) return err
  return new RequestError(ErrorKind.Invariant, 'the answer was interrupted', { ran: RanState.Unknown, cause: err })
}
