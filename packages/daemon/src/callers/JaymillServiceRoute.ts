import { once } from 'node:events'
import type { IncomingMessage, ServerResponse } from 'node:http'
import {
  Booking, BookingStage, ErrorKind, RequestError, RequestEvent, RequestRecord, RouteClass, RouteConfig, ServiceConfig
} from '@jaymill/core'
import type { HostContext } from '../JaymillHostContext.js'
import { endRecord } from '../requests/JaymillRecordEnd.js'
import { CallerExchange, withDeadline } from './JaymillCallerExchange.js'

const PRIORITIES = Object.values(RouteClass)
const DROPPED_HEADERS: readonly string[] = [
  'authorization', 'connection', 'content-length', 'expect', 'host', 'keep-alive', 'proxy-authorization',
  'proxy-connection', 'te', 'trailer', 'transfer-encoding', 'upgrade', 'x-deadline-ms', 'x-jaymill-route'
]

/** A service's path that a request matches. */
export interface ServiceMatch {
  readonly service: ServiceConfig
  readonly route: RouteConfig
}

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
   * Finds the service of a path; the longest configured prefix wins.
   *
   * @param method - HTTP method.
   * @param path - Path without query.
   * @returns The match.
   * @throws RequestError of kind `NotFound`.
   */
  match (method: string, path: string): ServiceMatch {
    const { services, routes } = this._ctx.fleet()
    const found = services
      .flatMap(service => service.paths.map(entry => ({ service, entry })))
      .filter(({ entry }) => entry.method === method && isUnder(path, entry.path))
      .sort((a, b) => b.entry.path.length - a.entry.path.length)[0]
    const route = routes.find(({ id }) => id === found?.entry.route)
    if (found === undefined || route === undefined) throw new RequestError(ErrorKind.NotFound, `no service takes ${method} ${path}`)
    return { service: found.service, route }
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
      await this._send(exchange, match, booking, record, signal)
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
    exchange: CallerExchange, { service }: ServiceMatch, booking: Booking, record: RequestRecord, signal: AbortSignal
  ): Promise<void> {
    const { req, res, headers } = exchange
    const pool = this._ctx.fleet().pools.find(({ id }) => id === service.pool)
    const endpoint = pool?.endpoints.find(({ id }) => id === booking.endpointId)
    if (endpoint === undefined) throw new RequestError(ErrorKind.NoEndpoint, `endpoint ${booking.endpointId} is no longer configured`)
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
    await pipeReply(res, reply, headers.requestId, signal)
  }
}

function isUnder (path: string, prefix: string): boolean {
  return path === prefix || path.startsWith(prefix.endsWith('/') ? prefix : `${prefix}/`)
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

async function pipeReply (res: ServerResponse, reply: ServiceReply, requestId: string, signal: AbortSignal): Promise<void> {
  const headers = Object.entries(reply.headers).filter(([name]) => !DROPPED_HEADERS.includes(name) || name === 'content-length')
  headers.forEach(([name, value]) => value !== undefined && res.setHeader(name, value))
  res.setHeader('X-Request-Id', requestId)
  res.writeHead(reply.status)
  for await (const chunk of reply.body) {
    if (!res.write(chunk)) await once(res, 'drain', { signal })
  }
  res.end()
}
