import { setTimeout as sleep } from 'node:timers/promises'
import { isIdempotent, JaymillError, RanState, RequestError, type EndpointRecord } from '@jaymill/core'
import { abortReasonOf } from '../callers/JaymillAbortError.js'
import { abortResponse, sendResponse } from '../callers/JaymillCallerResponse.js'
import type { GatewayRequest } from '../callers/JaymillGatewayRequest.js'
import { MAX_BUFFERED_RESPONSE_BYTES } from '../endpoints/constants.js'
import { bufferBody, type EndpointCall } from '../endpoints/JaymillEndpointCalls.js'
import { ExchangeError, type ExchangeFailure } from '../endpoints/JaymillExchangeError.js'
import { LinkedAbort } from '../endpoints/JaymillLinkedAbort.js'
import type { StreamedResponse } from '../endpoints/JaymillStreamedResponse.js'
import type { PeerResponse } from '../peers/JaymillPeerCalls.js'
import { MIN_CALL_MS, PEER_STREAM_SILENCE_MS, RUN_OVERLAP_MS } from './constants.js'
import { Forwarder } from './JaymillForwarder.js'
import { classifyResponse, ResponseVerdict } from './JaymillResponseVerdict.js'
import { RetryRefusal } from './JaymillRetryRefusal.js'
import type { RunProgress } from './JaymillRunProgress.js'
import { raceSilence, type SilenceRaceResult } from './JaymillSilenceRace.js'
import { RunEnd, type StreamRun } from './JaymillStreamRun.js'

/** Head of an endpoint's response. */
export interface OpenedResponse {
  readonly response: StreamedResponse
  readonly verdict: ResponseVerdict
}

/** What came of a call to an endpoint. */
export interface CallResult {
  /** The run that continues the stream: the call's own, or one that replaces it. */
  readonly run?: StreamRun
  /** Response other than a success. */
  readonly refusal?: OpenedResponse
  /** Whether the endpoint has accepted the call; without a run, its response has broken off then. */
  readonly accepted: boolean
}

/** A run that may fall silent. */
export interface SilenceOptions {
  /** Endpoint or host of the run. */
  readonly target: string
  /** Time after which a replacement is prepared, in milliseconds; `undefined` where none is allowed. */
  readonly silenceMs: number | undefined
  readonly onSilent: () => void
  /** Called when the run itself goes on after it was silent. */
  readonly onContinued: () => void
}

/**
 * Forwards streams by runs. A run that breaks off is followed by another one; while a run is silent, another one is prepared, and the
 * first to send events goes on.
 */
export abstract class RunForwarder<Progress extends RunProgress> extends Forwarder {
  /**
   * Begins one run: selects an endpoint, or another host, and sends the request to it.
   *
   * @param request - The request.
   * @param progress - Its progress.
   * @returns The run, once it responds with success; `undefined` when it fails, so that another one may be tried.
   * @throws RequestError when no run can be begun.
   */
  protected abstract _begin (request: GatewayRequest, progress: Progress): Promise<StreamRun | undefined>

  /** Returns why no other run of the kind may be begun; `undefined` if one may. */
  protected abstract _endpointRefusal (request: GatewayRequest, progress: Progress): RetryRefusal | undefined

  /** Creates the error of a request that can't be completed. */
  protected abstract _finalError (request: GatewayRequest, progress: Progress): RequestError

  /** Releases what a run that was not begun still holds at the endpoints. */
  protected abstract _releaseUnused (request: GatewayRequest, progress: Progress): void

  /**
   * Serves a stream until its response is complete.
   *
   * @param request - The request.
   * @param progress - Its progress.
   * @throws RequestError when it can't be completed.
   */
  protected async _serve (request: GatewayRequest, progress: Progress): Promise<void> {
    const run = await this._beginNext(request, progress)
    if (run === undefined) {
      this._giveUp(request, progress)
      return
    }
    const end = await progress.relay.forward(run, async current => await this._raceSilence(request, progress, current.options, current.peek()))
    if (end === RunEnd.Aborted) abortResponse(request.res)
    if (end !== RunEnd.Broken) return
    if (this._mayRunAgain(request, progress)) await this._serve(request, progress)
    else this._giveUp(request, progress)
  }

  /** Begins runs until one responds; resolves to `undefined` when no other one is allowed. */
  private async _beginNext (request: GatewayRequest, progress: Progress): Promise<StreamRun | undefined> {
    const run = await this._begin(request, progress)
    if (run !== undefined || !this._mayRunAgain(request, progress)) return run
    return await this._beginNext(request, progress)
  }

  /** Responds with the failure of the last endpoint, if there is one. */
  private _giveUp (request: GatewayRequest, progress: Progress): void {
    const { failure, relay } = progress
    if (failure === undefined || relay.started || request.signal.aborted) throw this._finalError(request, progress)
    sendResponse(request.res, failure)
  }

  private _mayRunAgain (request: GatewayRequest, progress: Progress): boolean {
    const reason = this._refusal(request, progress)
    if (reason !== undefined) this._context.log.request(request.id, 'not run again', { reason, runs: progress.runs, ms: this._elapsedMs(request) })
    return reason === undefined
  }

  private _refusal (request: GatewayRequest, progress: Progress): RetryRefusal | undefined {
    const { runs, relay } = progress
    if (request.signal.aborted) return RetryRefusal.Aborted
    if (this._remainingMs(request) < MIN_CALL_MS) return RetryRefusal.Deadline
    if (!relay.acceptsRun || (runs > 0 && !isIdempotent(request.route))) return RetryRefusal.NotIdempotent
    if (runs >= request.route.maxAttempts) return RetryRefusal.Attempts
    return this._endpointRefusal(request, progress)
  }

  /** Waits for the next step of a run, and lets another run replace it if that one sends events first. */
  private async _raceSilence<T> (
    request: GatewayRequest, progress: Progress, { target, silenceMs, onSilent, onContinued }: SilenceOptions, own: Promise<T>, isUsable: (value: T) => boolean = () => true
  ): Promise<SilenceRaceResult<T>> {
    const { clock, log, metrics } = this._context
    if (silenceMs === undefined) return { own: await own }
    const startMs = clock.nowMs()
    let silent = false
    const result = await raceSilence(own, {
      signal: request.signal,
      silenceMs,
      isUsable,
      replace: async signal => await this._replacement({ ...request, signal }, progress),
      onSilent: () => {
        silent = true
        log.request(request.id, 'run silent', { target, afterEvent: progress.relay.lastEventId, runs: progress.runs, ms: this._elapsedMs(request) })
        onSilent()
      }
    }).catch(err => {
      if (silent) metrics.recordCall('silent-run', 'failed')
      throw err
    })
    if (!silent) return result
    const outcome = result.replacement === undefined ? 'continued' : 'replaced'
    metrics.recordCall('silent-run', outcome)
    log.request(request.id, 'silence ended', { target, outcome, by: result.replacement?.options.target, silentMs: Math.round(clock.nowMs() - startMs) })
    if (result.replacement === undefined) onContinued()
    return result
  }

  /** Prepares a run that replaces a silent one, until its events arrive. It never rejects: the silent run is waited for in any case. */
  private async _replacement (request: GatewayRequest, progress: Progress): Promise<StreamRun | undefined> {
    try {
      return this._mayRunAgain(request, progress) ? await this._beginNext(request, progress) : undefined
    } catch (err) {
      const reason = err instanceof JaymillError ? err.message : String(err)
      if (!(err instanceof JaymillError)) this._context.log.warn('replacement of a silent run failed unexpectedly', { requestId: request.id, reason })
      else if (!request.signal.aborted) this._context.log.request(request.id, 'silent run not replaced', { reason, ms: this._elapsedMs(request) })
      return undefined
    } finally {
      this._releaseUnused(request, progress)
    }
  }

  /**
   * Sends a request to an endpoint, and waits for the first events of the response or for a run that replaces a silent call.
   *
   * @param request - The request.
   * @param progress - Its progress; the call counts as a run until it is known that it is none.
   * @param call - The call.
   * @param silence - When the call counts as silent.
   * @param createRun - Creates the run for a response of success.
   * @returns What came of the call.
   * @throws ExchangeError when no head of a response arrives, or RequestError of kind `NotForwardable`.
   */
  protected async _open (
    request: GatewayRequest, progress: Progress, call: EndpointCall, silence: SilenceOptions, createRun: (response: StreamedResponse) => StreamRun
  ): Promise<CallResult> {
    const { target } = silence
    const cancel = new LinkedAbort(request.signal)
    const limitMs = progress.busyIds.size > 0 ? RUN_OVERLAP_MS : undefined
    progress.runs += 1
    progress.failure = undefined
    progress.busyIds.add(target)
    let run: StreamRun | undefined
    const opened = this._context.calls.open(call, cancel.signal).then(async response => {
      const verdict = classifyResponse(this._context.dialect, request.id, response.status, response.headers)
      if (verdict !== ResponseVerdict.Success) return { refusal: { response, verdict }, accepted: false }
      run = createRun(response)
      if (limitMs === undefined) progress.relay.sendHead(response)
      if (silence.silenceMs !== undefined) await firstEvents(run, limitMs)
      return { run, accepted: true }
    })
    try {
      const { own, replacement } = await this._raceSilence<CallResult>(request, progress, silence, opened, result => result.accepted)
      if (replacement !== undefined) {
        run?.end(RunEnd.Replaced)
        cancel.abort()
        progress.busyIds.delete(target)
        return { run: replacement, accepted: run !== undefined }
      }
      if (own.refusal !== undefined) this._noLongerRuns(progress, target, own.refusal.verdict === ResponseVerdict.NotRun)
      return own
    } catch (err) {
      cancel.dispose()
      if (run === undefined) this._noLongerRuns(progress, target, err instanceof JaymillError && err.ran === RanState.No)
      if (run === undefined || !(err instanceof ExchangeError)) throw err
      run.end(endOf(request))
      return { accepted: true }
    }
  }

  private _noLongerRuns (progress: Progress, target: string, notRun: boolean): void {
    if (notRun) progress.runs -= 1
    progress.busyIds.delete(target)
  }

  /**
   * Keeps the failure that an endpoint has responded with, to respond with it, unless another run is allowed.
   *
   * @param request - The request.
   * @param progress - Its progress.
   * @param response - The response.
   */
  protected async _keepFailure ({ route }: GatewayRequest, progress: Progress, { status, headers, body }: StreamedResponse): Promise<void> {
    if (progress.runs < route.maxAttempts) {
      body.destroy()
      return
    }
    progress.failure = await bufferBody(body, MAX_BUFFERED_RESPONSE_BYTES).then(bytes => ({ status, headers, body: bytes }), () => undefined)
  }

  /**
   * Begins a run through another host, because this one reaches no endpoint of the service.
   *
   * @param request - The request.
   * @param progress - Its progress.
   * @returns The run; `undefined` when the other host, or an endpoint there, has failed.
   * @throws RequestError when no host takes the request.
   */
  protected async _beginAtPeer (request: GatewayRequest, progress: Progress): Promise<StreamRun | undefined> {
    const { peers, metrics } = this._context
    const { relay, runs, busyIds } = progress
    const attempts = peers.attemptsOf(request.route, runs)
    const mayHaveRun = runs > 0 || relay.started
    progress.runs += attempts
    progress.failure = undefined
    let opened: PeerResponse | undefined
    try {
      opened = await peers.open(request, { attempts, lastEventId: relay.lastEventId, excluded: busyIds }, mayHaveRun)
    } catch (err) {
      if (!(err instanceof RequestError) || err.ran !== RanState.Unknown || request.signal.aborted) throw err
      return undefined
    }
    if (opened === undefined) {
      progress.runs -= attempts
      throw peers.notTakenError(request, mayHaveRun)
    }
    const { peer, response, verdict } = opened
    if (verdict === ResponseVerdict.Failed) {
      await this._keepFailure(request, progress, response)
      return undefined
    }
    const isReplacement = busyIds.size > 0
    busyIds.add(peer)
    const run = relay.createRun({
      response,
      target: peer,
      silenceMs: PEER_STREAM_SILENCE_MS,
      finished: new AbortController(),
      onFirst: () => metrics.recordFirstEvent(this._elapsedMs(request)),
      onEvents: () => { /* The other host tracks the run. */ },
      onSilent: () => {},
      onContinued: () => {},
      onEnd: (end, failure) => {
        busyIds.delete(peer)
        if (end === RunEnd.Complete) metrics.recordResponse(request.route.kind, response.status, this._elapsedMs(request))
        this._logEnd(request, progress, { peer }, end, failure)
      }
    })
    return isReplacement ? await this._begunPeerRun(request, run) : run
  }

  /** Waits for the first events of a run at another host; resolves to `undefined` when its response breaks off before. */
  private async _begunPeerRun (request: GatewayRequest, run: StreamRun): Promise<StreamRun | undefined> {
    try {
      await firstEvents(run, RUN_OVERLAP_MS)
      return run
    } catch (err) {
      run.end(endOf(request))
      if (!(err instanceof ExchangeError)) throw err
      return undefined
    }
  }

  /** Tracks the load of an endpoint until the returned controller is aborted, at the end of its run. */
  protected _trackRun (endpoint: EndpointRecord, tokens: number): AbortController {
    const finished = new AbortController()
    this._trackLoad(endpoint, tokens, finished.signal)
    return finished
  }

  /** Logs the end of a run. */
  protected _logEnd (
    request: GatewayRequest, { relay }: Progress, target: { endpoint: string } | { peer: string }, end: RunEnd, failure: ExchangeFailure | undefined
  ): void {
    this._context.log.request(request.id, 'stream ended', {
      ...target,
      end,
      failure,
      abortReason: abortReasonOf(request),
      bytes: relay.bytes,
      lastEvent: relay.lastEventId,
      route: request.route.name,
      account: request.account?.name,
      ms: this._elapsedMs(request),
      config: request.version
    })
  }
}

/** Tells how a run has ended that fails before its first events. */
function endOf (request: GatewayRequest): RunEnd {
  if (!request.signal.aborted) return RunEnd.Broken
  return abortReasonOf(request) === undefined ? RunEnd.Unneeded : RunEnd.Aborted
}

/** Waits for the first events of a run. In place of a silent run it does so for a limited time: the other endpoint may work on as well. */
async function firstEvents (run: StreamRun, limitMs: number | undefined): Promise<void> {
  const events = run.peek()
  await (limitMs === undefined ? events : Promise.race([events, sleep(limitMs)]))
}
