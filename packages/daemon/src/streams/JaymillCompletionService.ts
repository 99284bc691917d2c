import {
  ErrorKind, fingerprint, JaymillError, OpenedResponse, RanState, RequestError, RequestEvent, ResponseBuffer,
  ResponseOpenOutcome, ResponseStore, TokenEvent
} from '@jaymill/core'
import type { HostContext } from '../JaymillHostContext.js'
import type { CompletionJob, ResolvedCompletion } from '../requests/JaymillCompletionJob.js'
import type { CompletionRunner } from '../requests/JaymillCompletionRunner.js'

/** Runs completions independently of the connections that read them, so that a retry joins the running completion. */
export class CompletionService {
  private readonly _ctx: HostContext
  private readonly _runner: CompletionRunner
  private readonly _store = new ResponseStore()
  private readonly _runControllers = new Map<ResponseBuffer, AbortController>()

  /**
   * @param ctx - Shared components of the host.
   * @param runner - Runs a completion.
   */
  constructor (ctx: HostContext, runner: CompletionRunner) {
    this._ctx = ctx
    this._runner = runner
  }

  /**
   * Reads the response to a completion, which is started, joined or continued as necessary.
   *
   * @param completion - Completion to read.
   * @param lastId - Id of the last token that the caller has; 0 for all tokens.
   * @param signal - Aborts when the caller disconnects or its deadline has passed.
   * @param receivedTokens - Tokens with ids from 1 to `lastId` that another host generated; a new run continues after them.
   * @returns Tokens after `lastId`, each once.
   * @throws RequestError of kind `Superseded` if a newer connection takes over, else the failure of the response.
   */
  async * read (
    completion: ResolvedCompletion, lastId: number, signal: AbortSignal, receivedTokens: readonly TokenEvent[] = []
  ): AsyncGenerator<TokenEvent> {
    const key = storeKeyOf(completion)
    if (lastId > receivedTokens.length && !this._store.has(key)) {
      throw new RequestError(ErrorKind.NotFound, 'this host does not have the response', { ran: RanState.Unknown })
    }
    const opened = this._store.open(key, fingerprintOf(completion), this._ctx.clock.nowMs())
    if (opened.outcome !== ResponseOpenOutcome.Joined) this._start(completion, key, opened, receivedTokens)
    else completion.record.decide(RequestEvent.Admit, 'joined the response of an earlier connection', this._ctx.clock.nowMs())
    yield * this._readBuffer(opened.buffer, lastId, signal)
  }

  private async * _readBuffer (buffer: ResponseBuffer, lastId: number, signal: AbortSignal): AsyncGenerator<TokenEvent> {
    let wake = (): void => {}
    const reader = buffer.attach(lastId, () => wake())
    const onAbort = (): void => wake()
    signal.addEventListener('abort', onAbort)
    try {
      while (!signal.aborted) {
        const tokens = reader.take()
        yield * tokens
        if (tokens.length > 0) continue
        if (reader.ended) return
        await new Promise<void>(resolve => { wake = resolve })
      }
      signal.throwIfAborted()
    } finally {
      signal.removeEventListener('abort', onAbort)
      if (buffer.detach(reader)) this._cancelUnread(buffer, signal)
    }
  }

  private _start (
    completion: ResolvedCompletion, key: string, opened: OpenedResponse, receivedTokens: readonly TokenEvent[]
  ): void {
    const { buffer, previous } = opened
    const prefix = previous?.tokensAfter(0) ?? receivedTokens
    prefix.forEach(token => buffer.append(token))
    const controller = new AbortController()
    this._runControllers.set(buffer, controller)
    const job: CompletionJob = {
      ...completion, prefix, firstAttempt: (previous?.attempt ?? 0) + 1, fingerprint: fingerprintOf(completion)
    }
    this._run(job, buffer, controller.signal)
      .then(() => buffer.end(null), err => buffer.end(toFailure(err)))
      .finally(() => this._markEnded(completion, key, buffer))
  }

  private async _run (job: CompletionJob, buffer: ResponseBuffer, signal: AbortSignal): Promise<void> {
    const onAttempt = (attempt: number): void => { buffer.attempt = attempt }
    for await (const token of this._runner.run(job, onAttempt, signal)) buffer.append(token)
  }

  private _markEnded (completion: ResolvedCompletion, key: string, buffer: ResponseBuffer): void {
    this._runControllers.delete(buffer)
    this._store.markEnded(key, buffer, this._ctx.clock.nowMs())
    if (completion.idempotencyKey === undefined) this._store.remove(key)
  }

  private _cancelUnread (buffer: ResponseBuffer, signal: AbortSignal): void {
    const reason = toFailure(
      signal.aborted ? signal.reason : new RequestError(ErrorKind.CallerGone, 'no caller reads the response')
    )
    this._runControllers.get(buffer)?.abort(reason)
    buffer.end(reason)
  }
}

function storeKeyOf (completion: ResolvedCompletion): string {
  return completion.idempotencyKey === undefined
    ? `run/${completion.engineRequestId}`
    : `key/${completion.account.id}/${completion.idempotencyKey}`
}

function fingerprintOf (completion: ResolvedCompletion): string {
  return fingerprint([completion.modelName, completion.prompt, String(completion.maxTokens), JSON.stringify(completion.sampling)])
}

function toFailure (err: unknown): JaymillError {
  if (err instanceof JaymillError) return err
  return new RequestError(ErrorKind.Invariant, 'the response was interrupted', { ran: RanState.Unknown, cause: err })
}
