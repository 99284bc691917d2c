import {
  AnswerBuffer, AnswerJoin, AnswerStore, ErrorKind, fingerprint, JaymillError, OpenedAnswer, RanState, RequestError, RequestEvent,
  TokenEvent
} from '@jaymill/core'
import type { HostContext } from '../JaymillHostContext.js'
import type { CompletionJob, CompletionOrder } from '../requests/JaymillCompletionJob.js'
import type { CompletionRunner } from '../requests/JaymillCompletionRunner.js'

/** Runs completions apart from the connections that read them, so that a resend joins the running answer. */
export class AnswerService {
  private readonly _ctx: HostContext
  private readonly _runner: CompletionRunner
  private readonly _store = new AnswerStore()
  private readonly _runs = new Map<AnswerBuffer, AbortController>()

  /**
   * @param ctx - Shared parts of the host.
   * @param runner - Runs one completion.
   */
  constructor (ctx: HostContext, runner: CompletionRunner) {
    this._ctx = ctx
    this._runner = runner
  }

  /**
   * Reads the answer to a request, which is started, joined or continued as need be.
   *
   * @param order - What the caller asks for.
   * @param lastId - Last id that the caller has; 0 for all.
   * @param signal - Aborts when the caller is gone or its deadline has passed.
   * @param seed - Tokens from 1 to `lastId` that another host generated, to go on from.
   * @returns Tokens after `lastId`, each once.
   * @throws RequestError of kind `Superseded` when a newer connection takes over, or why the answer failed.
   */
  async * read (
    order: CompletionOrder, lastId: number, signal: AbortSignal, seed: readonly TokenEvent[] = []
  ): AsyncGenerator<TokenEvent> {
    const key = keyOf(order)
    if (lastId > seed.length && !this._store.has(key)) {
      throw new RequestError(ErrorKind.NotFound, 'this host does not hold the answer', { ran: RanState.Unknown })
    }
    const opened = this._store.open(key, printOf(order), this._ctx.clock.nowMs())
    if (opened.join !== AnswerJoin.Joined) this._start(order, key, opened, seed)
    else order.record.decide(RequestEvent.Admit, 'joined the answer of an earlier connection', this._ctx.clock.nowMs())
    yield * this._follow(opened.buffer, lastId, signal)
  }

  private async * _follow (buffer: AnswerBuffer, lastId: number, signal: AbortSignal): AsyncGenerator<TokenEvent> {
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
      if (buffer.detach(reader)) this._unread(buffer, signal)
    }
  }

  private _start (order: CompletionOrder, key: string, opened: OpenedAnswer, seed: readonly TokenEvent[]): void {
    const { buffer, previous } = opened
    const prefix = previous?.after(0) ?? seed
    prefix.forEach(token => buffer.append(token))
    const ctl = new AbortController()
    this._runs.set(buffer, ctl)
    const job: CompletionJob = { ...order, prefix, firstAttempt: (previous?.attempt ?? 0) + 1, fingerprint: printOf(order) }
    this._run(job, buffer, ctl.signal)
      .then(() => buffer.end(null), err => buffer.end(toFailure(err)))
      .finally(() => this._ended(order, key, buffer))
  }

  private async _run (job: CompletionJob, buffer: AnswerBuffer, signal: AbortSignal): Promise<void> {
    const onAttempt = (attempt: number): void => { buffer.attempt = attempt }
    for await (const token of this._runner.run(job, onAttempt, signal)) buffer.append(token)
  }

  private _ended (order: CompletionOrder, key: string, buffer: AnswerBuffer): void {
    this._runs.delete(buffer)
    this._store.ended(key, buffer, this._ctx.clock.nowMs())
    if (order.idempotencyKey === undefined) this._store.forget(key)
  }

  private _unread (buffer: AnswerBuffer, signal: AbortSignal): void {
    const reason = toFailure(signal.aborted ? signal.reason : new RequestError(ErrorKind.CallerGone, 'nobody reads the answer'))
    this._runs.get(buffer)?.abort(reason)
    buffer.end(reason)
  }
}

function keyOf (order: CompletionOrder): string {
  return order.idempotencyKey === undefined ? `run/${order.engineRequestId}` : `key/${order.account.id}/${order.idempotencyKey}`
}

function printOf (order: CompletionOrder): string {
  return fingerprint([order.modelName, order.prompt, String(order.maxTokens), JSON.stringify(order.sampling)])
}

function toFailure (err: unknown): JaymillError {
  if (err instanceof JaymillError) return err
  return new RequestError(ErrorKind.Invariant, 'the answer was interrupted', { ran: RanState.Unknown, cause: err })
}
