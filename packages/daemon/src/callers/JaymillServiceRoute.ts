import type { IncomingMessage, ServerResponse } from 'node:http'
import type { ServiceAnswer } from '@jaymill/adapters'
import { RequestEvent, RequestRecord, ServiceMatch } from '@jaymill/core'
import { RepeatableCall } from '../health/JaymillRepeatableCall.js'
import { KeyedRequests } from '../idempotency/JaymillKeyedRequests.js'
import type { OwnedRequests } from '../idempotency/JaymillOwnedRequests.js'
import type { HostContext } from '../JaymillHostContext.js'
import { endRecord } from '../requests/JaymillRecordEnd.js'
import { CallerExchange, withDeadline, writeToCaller } from './JaymillCallerExchange.js'
import { answerHeaders, bookService, callService, forwardedHeaders, ServiceSend } from './JaymillServiceCall.js'

/** Serves plain services. */
export class ServiceRoute {
  private readonly _ctx: HostContext
  private readonly _keyed: KeyedRequests

  /**
   * @param ctx - Shared parts of the host.
   * @param owned - Requests whose keys this host owns.
   */
  constructor (ctx: HostContext, owned: OwnedRequests) {
    this._ctx = ctx
    this._keyed = new KeyedRequests(ctx, owned)
  }

  /**
   * Serves one request.
   *
   * @param exchange - Request of a caller.
   * @param match - Service and route.
   * @throws RequestError when the request cannot be served.
   */
  async handle (exchange: CallerExchange, match: ServiceMatch): Promise<void> {
    const record = this._ctx.requests.open({
      requestId: exchange.headers.requestId,
      accountId: exchange.account.id,
      routeId: match.route.id,
      routeClass: match.route.class,
      ...(exchange.headers.idempotencyKey === undefined ? {} : { idempotencyKey: exchange.headers.idempotencyKey })
    }, this._ctx.clock.nowMs())
    await endRecord(this._ctx, record, () => this._serve(exchange, match, record))
  }

  private async _serve (exchange: CallerExchange, match: ServiceMatch, record: RequestRecord): Promise<void> {
    if (!match.route.idempotent) return await this._keyed.handle(exchange, match, record)
    const owner = new AbortController()
    const { signal } = withDeadline(exchange, match.route, owner.signal)
    record.decide(RequestEvent.Admit, 'admitted', this._ctx.clock.nowMs())
    try {
      if (hasBody(exchange.req)) await this._once(exchange, match, record, signal)
      else await this._repeatably(exchange, match, record, signal)
    } finally {
      owner.abort()
    }
  }

  private async _once (exchange: CallerExchange, match: ServiceMatch, record: RequestRecord, signal: AbortSignal): Promise<void> {
    const booking = await bookService(this._ctx, exchange.headers.requestId, exchange.account.id, match, signal)
    record.decide(RequestEvent.Execute, `owner ${booking.ownerId}`, this._ctx.clock.nowMs(), booking.endpointId)
    try {
      await this._reply(exchange, record, await callService(this._ctx, sendOf(exchange, match), booking, signal), signal)
    } finally {
      this._ctx.booker.release(booking)
    }
  }

  private async _repeatably (exchange: CallerExchange, match: ServiceMatch, record: RequestRecord, signal: AbortSignal): Promise<void> {
    const call = new RepeatableCall(this._ctx, sendOf(exchange, match), exchange.account.id, record)
    try {
      await this._reply(exchange, record, await call.answer(signal), signal)
    } finally {
      call.release()
    }
  }

  private async _reply (exchange: CallerExchange, record: RequestRecord, reply: ServiceAnswer, signal: AbortSignal): Promise<void> {
    record.noteTokens(this._ctx.clock.nowMs(), 0)
    await pipeReply(exchange.res, reply, exchange.headers.requestId, this._ctx.settings.limits.callerStallMs, signal)
  }
}

function sendOf ({ req, headers }: CallerExchange, match: ServiceMatch): ServiceSend {
  return {
    requestId: headers.requestId,
    idempotencyKey: headers.idempotencyKey,
    match,
    method: req.method ?? 'GET',
    path: req.url ?? '/',
    headers: forwardedHeaders(req),
    body: hasBody(req) ? req : null
  }
}

function hasBody (req: IncomingMessage): boolean {
  return req.headers['content-length'] !== undefined || req.headers['transfer-encoding'] !== undefined
}

async function pipeReply (res: ServerResponse, reply: ServiceAnswer, requestId: string, stallMs: number, signal: AbortSignal): Promise<void> {
  res.writeHead(reply.status, { ...answerHeaders(reply.headers), 'X-Request-Id': requestId })
  for await (const chunk of reply.body) {
    await writeToCaller(res, chunk, stallMs, signal)
  }
  res.end()
}
