import type { IncomingMessage, ServerResponse } from 'node:http'
import {
  Booking, BookingStage, fleetIndex, RequestEvent, RequestRecord, RouteClass, ServiceMatch
} from '@jaymill/core'
import type { HostContext } from '../JaymillHostContext.js'
import { endRecord } from '../requests/JaymillRecordEnd.js'
import { CallerExchange, withDeadline, writeToCaller } from './JaymillCallerExchange.js'

const PRIORITIES = Object.values(RouteClass)
const DROPPED_HEADERS: readonly string[] = [
  'authorization', 'connection', 'content-length', 'expect', 'host', 'keep-alive', 'proxy-authorization',
  'proxy-connection', 'te', 'trailer', 'transfer-encoding', 'upgrade', 'x-deadline-ms', 'x-jaymill-route'
]

/** Serves plain services. */
export class ServiceRoute {
  private readonly _ctx: HostContext

  /**
   * @param ctx - Shared parts of the host.
   */
  constructor (ctx: HostContext) {
    this._ctx = ctx
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
    const owner = new AbortController()
    const { signal } = withDeadline(exchange, match.route, owner.signal)
    record.decide(RequestEvent.Admit, 'admitted', this._ctx.clock.nowMs())
    const booking = await this._book(exchange, match, signal)
    record.decide(RequestEvent.Execute, `owner ${booking.ownerId}`, this._ctx.clock.nowMs(), booking.endpointId)
    try {
      await this._send(exchange, booking, record, signal)
    } finally {
      this._ctx.booker.release(booking)
      owner.abort()
    }
  }

  private _book (exchange: CallerExchange, { service, route }: ServiceMatch, signal: AbortSignal): Promise<Booking> {
    return this._ctx.booker.book({
      requestId: exchange.headers.requestId,
      attempt: 1,
      stage: BookingStage.Service,
      poolId: service.pool,
      pieces: 0,
      transferBytes: 0,
      startInMs: 0,
      expectedMs: route.ttftMs,
      exclude: [],
      prefer: [],
      priority: PRIORITIES.indexOf(route.class)
    }, signal)
  }

  private async _send (
    exchange: CallerExchange, booking: Booking, record: RequestRecord, signal: AbortSignal
  ): Promise<void> {
    const { req, res, headers } = exchange
    const endpoint = fleetIndex(this._ctx.fleet()).endpoint(booking.endpointId)
    const reply = await this._ctx.services.send({
      url: endpoint.url,
      method: req.method ?? 'GET',
      path: req.url ?? '/',
      headers: forwardedHeaders(req),
      body: hasBody(req) ? req : null,
      tag: {
        requestId: headers.requestId,
        attempt: 1,
        hostId: this._ctx.identity.id,
        incarnation: this._ctx.identity.incarnation,
        ...(headers.idempotencyKey === undefined ? {} : { idempotencyKey: headers.idempotencyKey })
      }
    }, signal)
    record.noteTokens(this._ctx.clock.nowMs(), 0)
    await pipeReply(res, reply, headers.requestId, this._ctx.settings.limits.callerStallMs, signal)
  }
}

function hasBody (req: IncomingMessage): boolean {
  return req.headers['content-length'] !== undefined || req.headers['transfer-encoding'] !== undefined
}

function forwardedHeaders (req: IncomingMessage): Record<string, string> {
  const entries = Object.entries(req.headers).filter(([name]) => !DROPPED_HEADERS.includes(name))
  return Object.fromEntries(entries.map(([name, value]) => [name, String(value)]))
}

/** Reply of a plain service. */
interface ServiceReply {
  readonly status: number
  readonly headers: Readonly<Record<string, string | string[] | undefined>>
  readonly body: AsyncIterable<Uint8Array>
}

async function pipeReply (res: ServerResponse, reply: ServiceReply, requestId: string, stallMs: number, signal: AbortSignal): Promise<void> {
  const headers = Object.entries(reply.headers).filter(([name]) => !DROPPED_HEADERS.includes(name) || name === 'content-length')
  headers.forEach(([name, value]) => value !== undefined && res.setHeader(name, value))
  res.setHeader('X-Request-Id', requestId)
  res.writeHead(reply.status)
  for await (const chunk of reply.body) {
    await writeToCaller(res, chunk, stallMs, signal)
  }
  res.end()
}
