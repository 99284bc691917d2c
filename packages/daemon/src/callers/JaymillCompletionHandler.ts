import { fleetIndex, RequestRecord, TokenEvent } from '@jaymill/core'
import type { HostContext } from '../JaymillHostContext.js'
import { CompletionRequest, openRecord, routeOf } from '../requests/JaymillCompletionRequest.js'
import { runWithRecord } from '../requests/JaymillRunWithRecord.js'
import type { CompletionRouter } from '../streams/JaymillCompletionRouter.js'
import { parseJson, readBody } from './JaymillBody.js'
import { CallerExchange, withDeadline } from './JaymillCallerExchange.js'
import { CompletionForm, parseCompletionBody } from './JaymillCompletionBody.js'
import { sendCompletion, streamCompletion } from './JaymillCompletionResponse.js'
import { entryRefusal } from './JaymillEntryRefusal.js'

const MS_PER_SECOND = 1_000

/** Variant of the completion API by path. */
export const COMPLETION_FORMS: Readonly<Record<string, CompletionForm>> = {
  '/v1/completions': CompletionForm.Text,
  '/v1/chat/completions': CompletionForm.Chat
}

/** Serves completions. */
export class CompletionHandler {
  private readonly _ctx: HostContext
  private readonly _router: CompletionRouter

  /**
   * @param ctx - Shared components of the host.
   * @param router - Runs completions, here or on the owner of their key.
   */
  constructor (ctx: HostContext, router: CompletionRouter) {
    this._ctx = ctx
    this._router = router
  }

  /**
   * Serves one completion.
   *
   * @param exchange - Request of a caller.
   * @param form - Variant of the API that was called.
   * @throws RequestError when the request cannot be served.
   */
  async handle (exchange: CallerExchange, form: CompletionForm): Promise<void> {
    const req = await this._readRequest(exchange, form)
      .catch((err: unknown) => { throw entryRefusal(err, exchange.headers.idempotencyKey) })
    const record = openRecord(this._ctx, req)
    await runWithRecord(this._ctx, record, () => this._serve(exchange, req, record))
  }

  private async _readRequest ({ req, res, headers, account }: CallerExchange, form: CompletionForm): Promise<CompletionRequest> {
    const raw = await readBody(req, res, this._ctx)
    return {
      requestId: headers.requestId,
      ...(headers.idempotencyKey === undefined ? {} : { idempotencyKey: headers.idempotencyKey }),
      accountId: account.id,
      ...(headers.routeId === undefined ? {} : { routeId: headers.routeId }),
      lastId: headers.lastEventId ?? 0,
      body: parseCompletionBody(form, parseJson(raw))
    }
  }

  private async _serve (exchange: CallerExchange, req: CompletionRequest, record: RequestRecord): Promise<void> {
    const controller = new AbortController()
    try {
      const { signal, budgetMs } = withDeadline(exchange, routeOf(fleetIndex(this._ctx.fleet()), req), controller.signal)
      const events = this._recordTokens(req, record, budgetMs, signal)
      const meta = {
        requestId: req.requestId,
        created: Math.floor(this._ctx.clock.wallMs() / MS_PER_SECOND),
        stallMs: this._ctx.settings.limits.callerStallMs
      }
      if (req.body.stream) await streamCompletion(exchange.res, req.body, meta, events, signal)
      else await sendCompletion(exchange.res, req.body, meta, events)
    } finally {
      controller.abort()
    }
  }

  private async * _recordTokens (
    req: CompletionRequest, record: RequestRecord, budgetMs: number, signal: AbortSignal
  ): AsyncGenerator<TokenEvent> {
    for await (const event of this._router.read(req, record, budgetMs, signal)) {
      record.recordTokens(this._ctx.clock.nowMs())
      yield event
    }
  }
}
