import type { IncomingMessage, ServerResponse } from 'node:http'
import type { ServiceResponse } from '@jaymill/adapters'
import { RequestEvent, RequestRecord, ServiceMatch } from '@jaymill/core'
import { RepeatableCall } from '../health/JaymillRepeatableCall.js'
import { KeyedRequests } from '../idempotency/JaymillKeyedRequests.js'
import type { OwnedRequests } from '../idempotency/JaymillOwnedRequests.js'
import type { HostContext } from '../JaymillHostContext.js'
import { runWithRecord } from '../requests/JaymillRunWithRecord.js'
import { CallerExchange, withDeadline, writeToCaller } from './JaymillCallerExchange.js'
import { writeRelayedHead } from './JaymillRelayedResponse.js'
import { callService, forwardedHeaders, reserveServiceSlot, responseHeaders, ServiceRequest } from './JaymillServiceCall.js'

/** Serves requests to plain services. */
export class ServiceHandler {
  private readonly _ctx: HostContext
  private readonly _keyedRequests: KeyedRequests

  /**
   * @param ctx - Shared components of the host.
   * @param ownedRequests - Requests whose idempotency keys this host owns.
   */
  constructor (ctx: HostContext, ownedRequests: OwnedRequests) {
    this._ctx = ctx
    this._keyedRequests = new KeyedRequests(ctx, ownedRequests)
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
    await runWithRecord(this._ctx, record, () => this._serve(exchange, match, record))
  }

  private async _serve (exchange: CallerExchange, match: ServiceMatch, record: RequestRecord): Promise<void> {
    if (!match.route.idempotent) return await this._keyedRequests.handle(exchange, match, record)
    const controller = new AbortController()
    const { signal } = withDeadline(exchange, match.route, controller.signal)
    record.decide(RequestEvent.Admit, 'admitted', this._ctx.clock.nowMs())
    try {
      if (hasBody(exchange.req)) await this._serveOnce(exchange, match, record, signal)
      else await this._serveRepeatable(exchange, match, record, signal)
    } finally {
      controller.abort()
    }
  }

  private async _serveOnce (
    exchange: CallerExchange, match: ServiceMatch, record: RequestRecord, signal: AbortSignal
  ): Promise<void> {
    const reservation = await reserveServiceSlot(this._ctx, exchange.headers.requestId, exchange.account.id, match, signal)
    record.decide(RequestEvent.Execute, `owner ${reservation.ownerId}`, this._ctx.clock.nowMs(), reservation.endpointId)
    try {
      await this._sendResponse(
        exchange, record, await callService(this._ctx, toServiceRequest(exchange, match), reservation, signal), signal
      )
    } finally {
      this._ctx.slotAllocator.release(reservation)
    }
  }

  private async _serveRepeatable (
    exchange: CallerExchange, match: ServiceMatch, record: RequestRecord, signal: AbortSignal
  ): Promise<void> {
    const call = new RepeatableCall(this._ctx, toServiceRequest(exchange, match), exchange.account.id, record)
    try {
      await this._sendResponse(exchange, record, await call.execute(signal), signal)
    } finally {
      call.release()
    }
  }

  private async _sendResponse (
    exchange: CallerExchange, record: RequestRecord, response: ServiceResponse, signal: AbortSignal
  ): Promise<void> {
    record.recordTokens(this._ctx.clock.nowMs(), 0)
    await pipeResponse(exchange.res, response, exchange.headers.requestId, this._ctx.settings.limits.callerStallMs, signal)
  }
}

function toServiceRequest ({ req, headers }: CallerExchange, match: ServiceMatch): ServiceRequest {
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

async function pipeResponse (
  res: ServerResponse, response: ServiceResponse, requestId: string, stallMs: number, signal: AbortSignal
): Promise<void> {
  writeRelayedHead(res, { status: response.status, headers: { ...responseHeaders(response.headers), 'X-Request-Id': requestId } })
  for await (const chunk of response.body) {
    await writeToCaller(res, chunk, stallMs, signal)
  }
  res.end()
}
