import { setTimeout as delay } from 'node:timers/promises'
import {
  EngineCall, ErrorKind, JaymillError, KvTransferParams, RanState, RecoveryPlanner, RecoveryStep, RequestError, RequestEvent,
  ResponseAssembler, ResumeOrMovePlanner, TokenEvent, TokenOutcome
} from '@jaymill/core'
import type { HostContext } from '../JaymillHostContext.js'
import type { CompletionJob } from '../requests/JaymillCompletionJob.js'
import { RESERVATION_RETRY_MS } from './constants.js'
import { StreamLatencyMonitor } from './JaymillStreamLatencyMonitor.js'

/** Reservation failures that may be temporary: other requests end, or the anti-affinity of suspects is relaxed. */
const NO_CAPACITY_KINDS: readonly ErrorKind[] = [ErrorKind.Overloaded, ErrorKind.NoEndpoint]

/** Recovers one response from stalled or broken connections and failed endpoints. */
export class CompletionRecovery {
  readonly assembler: ResponseAssembler
  private readonly _ctx: HostContext
  private readonly _job: CompletionJob
  private readonly _planner: RecoveryPlanner = new ResumeOrMovePlanner()
  private _step: RecoveryStep | null = null
  private _failedEndpoints: string[] = []
  private _relaxAntiAffinity = false

  /**
   * @param ctx - Shared components of the host.
   * @param job - Completion to run.
   */
  constructor (ctx: HostContext, job: CompletionJob) {
    this._ctx = ctx
    this._job = job
    this.assembler = new ResponseAssembler(job.prefix, job.firstAttempt)
  }

  /** Endpoints on which the next attempt must not run. */
  get exclude (): readonly string[] {
    const { endpoints, strict } = this._ctx.health.quarantine.antiAffinity(this._job.fingerprint, this._ctx.clock.nowMs())
    return strict || !this._relaxAntiAffinity ? [...this._failedEndpoints, ...endpoints] : this._failedEndpoints
  }

  /**
   * Refuses a request that has crashed endpoints.
   *
   * @throws RequestError of kind `Quarantined`.
   */
  checkQuarantine (): void {
    const ran = this.assembler.lastId > 0 ? RanState.Yes : this.assembler.attempt > 1 ? RanState.Unknown : RanState.No
    this._ctx.health.quarantine.check(this._job.fingerprint, this._ctx.clock.nowMs(), ran)
  }

  /**
   * Streams from one decode endpoint and resumes after a connection to it stalls or breaks.
   *
   * @param call - Call to run.
   * @param kv - KV transfer parameters from the prefill; `null` if the endpoint prefills by itself.
   * @param signal - Cancels the call and frees engine memory.
   * @returns Tokens in order, each once.
   * @throws JaymillError if this endpoint cannot complete the response; `prepareRetry` decides how to continue.
   */
  async * streamTokens (call: EngineCall, kv: KvTransferParams | null, signal: AbortSignal): AsyncGenerator<TokenEvent> {
    let stream = this._ctx.engines.decode(call, kv, signal)
    let mayBeRunning = false
    try {
      while (true) {
        const err = yield * this._readTokens(call, stream)
        if (err === null) {
          mayBeRunning = false
          return
        }
        mayBeRunning ||= err.ran !== RanState.No
        if (await this._handleStreamFailure(call, err, signal) !== RecoveryStep.Resume) throw err
        this._planner.onAttemptStarted()
        this._recordDecision(RequestEvent.Decode, `resumed after ${this.assembler.lastId}`, call.endpointId)
        stream = this._ctx.engines.resume(call, this.assembler.lastId, signal)
      }
    } finally {
      if (mayBeRunning) this._ctx.engines.cancelInBackground(call.url, call.tag)
    }
  }

  /**
   * Handles the failure of a prefill: excludes its endpoint and probes it if the call may have run.
   *
   * @param call - The prefill.
   * @param err - Its failure.
   * @param signal - Cancels the probe.
   */
  async handlePrefillFailure (call: EngineCall, err: unknown, signal: AbortSignal): Promise<void> {
    signal.throwIfAborted()
    const failure = toFailure(err)
    this._failedEndpoints.push(call.endpointId)
    if (failure.ran === RanState.No) this._ctx.health.scorer.recordFailure(call.endpointId)
    else await this._ctx.health.probe(call.endpointId, call.url, signal)
    this._step = this._planner.onFailure(failure, false)
  }

  /**
   * Frees a prefill result from which no token was decoded. The next attempt prefills on another endpoint, in case the
   * transfer from this one stalled.
   *
   * @param call - The prefill.
   */
  discardPrefill (call: EngineCall): void {
    this._failedEndpoints.push(call.endpointId)
    this._ctx.engines.cancelInBackground(call.url, call.tag)
  }

  /**
   * Prepares the next attempt after a failed one and waits for its backoff.
   *
   * @param err - Failure of the attempt.
   * @param signal - Cancels the waits.
   * @throws JaymillError for the caller, if the request cannot be retried.
   */
  async prepareRetry (err: unknown, signal: AbortSignal): Promise<void> {
    signal.throwIfAborted()
    const failure = toFailure(err)
    if (this._canWaitForSlot(failure)) return await this._waitForSlot(signal)
    const step = this._step ?? this._planner.onFailure(failure, false)
    const { moves } = this._ctx.health
    if (step !== RecoveryStep.Move || !moves.trySpend(this._job.route.id)) throw this._planner.callerError(failure)
    this._recordDecision(RequestEvent.Retry, failure.message)
    this.assembler.nextAttempt()
    this._planner.onAttemptStarted()
    this._step = null
    this._relaxAntiAffinity = false
    await delay(moves.backoffMs(1), undefined, { signal }).catch(() => signal.throwIfAborted())
  }

  /** Removes the request from the suspects, because it has finished. */
  recordSuccess (): void {
    this._ctx.health.quarantine.clear(this._job.fingerprint, this._ctx.clock.nowMs())
  }

  private async * _readTokens (
    call: EngineCall, stream: AsyncIterable<TokenEvent>
  ): AsyncGenerator<TokenEvent, JaymillError | null> {
    const monitor = new StreamLatencyMonitor(this._ctx.health, this._ctx.clock, this._job.route, call.endpointId)
    try {
      for await (const token of stream) {
        const outcome = this.assembler.accept(call.tag.attempt, token)
        if (outcome === TokenOutcome.Gap) return brokenStreamError('tokens of the response are missing')
        if (outcome !== TokenOutcome.Next) continue
        monitor.recordToken()
        this._planner.onToken()
        yield token
        if (token.finishReason !== null) return null
      }
      return brokenStreamError(`endpoint ${call.endpointId} ended its response early`)
    } catch (err) {
      const failure = toFailure(err)
      if (failure.kind === ErrorKind.Stalled) monitor.recordStall()
      return failure
    }
  }

  private async _handleStreamFailure (call: EngineCall, err: JaymillError, signal: AbortSignal): Promise<RecoveryStep> {
    signal.throwIfAborted()
    this._step = this._planner.onFailure(err, true)
    if (this._step === RecoveryStep.Probe) {
      this._step = this._planner.onProbeResult(await this._ctx.health.probe(call.endpointId, call.url, signal))
    }
    if (this._step !== RecoveryStep.Resume) this._failedEndpoints.push(call.endpointId)
    return this._step
  }

  private _canWaitForSlot (failure: JaymillError): boolean {
    const hasStarted = this.assembler.lastId > 0 || this.assembler.attempt > this._job.firstAttempt
    return hasStarted && this._step === null && NO_CAPACITY_KINDS.includes(failure.kind)
  }

  private async _waitForSlot (signal: AbortSignal): Promise<void> {
    this._relaxAntiAffinity = true
    this._failedEndpoints = this._failedEndpoints.slice(-1)
    await delay(RESERVATION_RETRY_MS, undefined, { signal }).catch(() => signal.throwIfAborted())
  }

  private _recordDecision (event: RequestEvent, reason: string, target?: string): void {
    this._job.record.decide(event, reason, this._ctx.clock.nowMs(), target)
  }
}

function brokenStreamError (message: string): RequestError {
  return new RequestError(ErrorKind.EndpointFailed, message, { ran: RanState.Unknown })
}

function toFailure (err: unknown): JaymillError {
  if (err instanceof JaymillError) return err
  return new RequestError(ErrorKind.Invariant, 'the response was interrupted', { ran: RanState.Unknown, cause: err })
}
