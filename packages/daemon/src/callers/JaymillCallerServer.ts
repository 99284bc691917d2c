import { once } from 'node:events'
import { createServer, IncomingMessage, Server, ServerResponse } from 'node:http'
import type { AddressInfo } from 'node:net'
import { randomUUID } from 'node:crypto'
import { ErrorKind, fleetIndex, RequestError, toProblem } from '@jaymill/core'
import type { OwnedRequests } from '../idempotency/JaymillOwnedRequests.js'
import type { HostContext } from '../JaymillHostContext.js'
import type { CompletionRouter } from '../streams/JaymillCompletionRouter.js'
import { CallerExchange, callerSignal } from './JaymillCallerExchange.js'
import { authenticate, CallerHeaders, readCallerHeaders } from './JaymillCallerRequest.js'
import { COMPLETION_FORMS, CompletionHandler } from './JaymillCompletionHandler.js'
import { entryRefusal } from './JaymillEntryRefusal.js'
import { sendProblem } from './JaymillProblemResponse.js'
import { abortResponse } from './JaymillRelayedResponse.js'
import { ServiceHandler } from './JaymillServiceHandler.js'

const KEEP_ALIVE_PROBE_MS = 2_000
const DRAIN_RETRY_AFTER_MS = 1_000
const HEADERS_TIMEOUT_MS = 10_000
const REQUEST_TIMEOUT_MS = 60_000

/** Serves a request whose route has been resolved. */
type Handler = (res: ServerResponse) => Promise<void>

/** HTTP server for callers. */
export class CallerServer {
  private readonly _ctx: HostContext
  private readonly _server: Server
  private readonly _completions: CompletionHandler
  private readonly _services: ServiceHandler
  private readonly _openResponses = new Set<ServerResponse>()
  private _inFlight = 0
  private _onIdle: (() => void) | undefined

  /**
   * @param ctx - Shared components of the host.
   * @param ownedRequests - Requests whose idempotency keys this host owns.
   * @param completionRouter - Runs completions, here or on the owner of their key.
   */
  constructor (ctx: HostContext, ownedRequests: OwnedRequests, completionRouter: CompletionRouter) {
    this._ctx = ctx
    this._completions = new CompletionHandler(ctx, completionRouter)
    this._services = new ServiceHandler(ctx, ownedRequests)
    this._server = createServer(
      {
        maxHeaderSize: ctx.settings.limits.headerBytes,
        headersTimeout: HEADERS_TIMEOUT_MS,
        requestTimeout: REQUEST_TIMEOUT_MS,
        keepAlive: true,
        keepAliveInitialDelay: KEEP_ALIVE_PROBE_MS
      },
      (req, res) => { this._serve(req, res).catch(err => ctx.log.error('request handler failed', { err })) }
    )
  }

  /** Number of requests being served. */
  get inFlight (): number {
    return this._inFlight
  }

  /**
   * Starts listening for callers.
   *
   * @returns Base URL of the listener.
   */
  async listen (): Promise<string> {
    const { address, port } = this._ctx.settings.listen.caller
    this._server.listen(port, address)
    await once(this._server, 'listening')
    return `http://${address}:${(this._server.address() as AddressInfo).port}`
  }

  /**
   * Waits until no request is being served.
   */
  async idle (): Promise<void> {
    if (this._inFlight === 0) return
    await new Promise<void>(resolve => { this._onIdle = resolve })
  }

  /** Closes the listener and every connection, and breaks off the responses in progress. */
  close (): void {
    this._server.close()
    this._openResponses.forEach(res => abortResponse(res, 0))
    this._server.closeAllConnections()
  }

  private async _serve (req: IncomingMessage, res: ServerResponse): Promise<void> {
    this._inFlight++
    this._openResponses.add(res)
    res.once('close', () => this._openResponses.delete(res))
    let requestId: string | undefined
    try {
      const headers = readCallerHeaders(req, randomUUID)
      requestId = headers.requestId
      await this._resolveHandler(req, headers)(res)
    } catch (err) {
      this._ctx.log.warn('request refused or failed', { requestId, err })
      this._ctx.metrics.countProblem(toProblem(err).title)
      sendProblem(res, err, requestId)
    } finally {
      if (!req.complete) req.resume()
      if (--this._inFlight === 0) this._onIdle?.()
    }
  }

  private _resolveHandler (req: IncomingMessage, headers: CallerHeaders): Handler {
    try {
      if (this._ctx.draining()) {
        throw new RequestError(ErrorKind.Stopping, 'this host is stopping', { retryAfterMs: DRAIN_RETRY_AFTER_MS })
      }
      this._ctx.requireReady()
      return this._route(req, headers)
    } catch (err) {
      throw entryRefusal(err, headers.idempotencyKey)
    }
  }

  private _route (req: IncomingMessage, headers: CallerHeaders): Handler {
    const fleet = fleetIndex(this._ctx.fleet())
    const account = authenticate(req, fleet)
    const exchange = (res: ServerResponse): CallerExchange => ({ req, res, headers, account, signal: callerSignal(res) })
    const path = new URL(req.url ?? '/', 'http://caller').pathname
    const method = req.method ?? 'GET'
    const form = COMPLETION_FORMS[path]
    if (form !== undefined && method === 'POST') return res => this._completions.handle(exchange(res), form)
    const match = fleet.service(method, path)
    return res => this._services.handle(exchange(res), match)
  }
}
