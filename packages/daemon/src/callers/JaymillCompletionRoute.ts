import { randomUUID } from 'node:crypto'
import { ErrorKind, fleetIndex, ModelConfig, RequestError, RequestRecord, RouteClass, RouteConfig, TokenEvent } from '@jaymill/core'
import type { HostContext } from '../JaymillHostContext.js'
import { CompletionOrder } from '../requests/JaymillCompletionJob.js'
import { CompletionRunner } from '../requests/JaymillCompletionRunner.js'
import { endRecord } from '../requests/JaymillRecordEnd.js'
import { AnswerService } from '../streams/JaymillAnswerService.js'
import { parseJson, readBody } from './JaymillBody.js'
import { CallerExchange, withDeadline } from './JaymillCallerExchange.js'
import { CompletionBody, CompletionForm, parseCompletionBody } from './JaymillCompletionBody.js'
import { sendCompletion, streamCompletion } from './JaymillCompletionReply.js'

const MODEL_CLASSES: readonly RouteClass[] = [RouteClass.Verdict, RouteClass.Summary]
const MS_PER_SECOND = 1_000

/** Paths of the completion API. */
export const COMPLETION_FORMS: Readonly<Record<string, CompletionForm>> = {
  '/v1/completions': CompletionForm.Text,
  '/v1/chat/completions': CompletionForm.Chat
}

/** Serves completions. */
export class CompletionRoute {
  private readonly _ctx: HostContext
  private readonly _answers: AnswerService

  /**
   * @param ctx - Shared parts of the host.
   */
  constructor (ctx: HostContext) {
    this._ctx = ctx
    this._answers = new AnswerService(ctx, new CompletionRunner(ctx))
  }

  /**
   * Serves one completion.
   *
   * @param exchange - Request of a caller.
   * @param form - Form of the API that was called.
   * @throws RequestError when the request cannot be served.
   */
  async handle (exchange: CallerExchange, form: CompletionForm): Promise<void> {
    const raw = await readBody(exchange.req, this._ctx.settings.limits.bodyBytes)
    const body = parseCompletionBody(form, parseJson(raw))
    const model = fleetIndex(this._ctx.fleet()).model(body.model)
    const route = this._route(model, exchange.headers.routeId)
    const record = this._ctx.requests.open({
      requestId: exchange.headers.requestId,
      accountId: exchange.account.id,
      routeId: route.id,
      routeClass: route.class,
      ...(exchange.headers.idempotencyKey === undefined ? {} : { idempotencyKey: exchange.headers.idempotencyKey })
    }, this._ctx.clock.nowMs())
    await endRecord(this._ctx, record, () => this._serve(exchange, body, model, route, record))
  }

  private async _serve (
    exchange: CallerExchange, body: CompletionBody, model: ModelConfig, route: RouteConfig, record: RequestRecord
  ): Promise<void> {
    const owner = new AbortController()
    try {
      const { signal, budgetMs } = withDeadline(exchange, route, owner.signal)
      const order = this._order(exchange, body, model, route, record, budgetMs)
      const events = this._counted(order, exchange.headers.lastEventId ?? 0, signal)
      const meta = { requestId: order.requestId, created: Math.floor(this._ctx.clock.wallMs() / MS_PER_SECOND), stallMs: this._ctx.settings.limits.callerStallMs }
      if (body.stream) await streamCompletion(exchange.res, body, meta, events, signal)
      else await sendCompletion(exchange.res, body, meta, events)
    } finally {
      owner.abort()
    }
  }

  private async * _counted (order: CompletionOrder, lastId: number, signal: AbortSignal): AsyncGenerator<TokenEvent> {
    for await (const event of this._answers.read(order, lastId, signal)) {
      order.record.noteTokens(this._ctx.clock.nowMs())
      yield event
    }
  }

  private _order (
    exchange: CallerExchange, body: CompletionBody, model: ModelConfig, route: RouteConfig, record: RequestRecord, budgetMs: number
  ): CompletionOrder {
    return {
      runId: randomUUID(),
      requestId: exchange.headers.requestId,
      idempotencyKey: exchange.headers.idempotencyKey,
      account: exchange.account,
      route,
      model,
      modelName: body.model,
      prompt: body.prompt,
      maxTokens: body.maxTokens,
      sampling: body.sampling,
      record,
      deadlineAtMs: this._ctx.clock.nowMs() + budgetMs
    }
  }

  private _route (model: ModelConfig, wanted: string | undefined): RouteConfig {
    const route = fleetIndex(this._ctx.fleet()).route(wanted ?? model.route)
    if (!MODEL_CLASSES.includes(route.class)) throw new RequestError(ErrorKind.BadRequest, `route ${route.id} does not serve models`)
    return route
  }
}
