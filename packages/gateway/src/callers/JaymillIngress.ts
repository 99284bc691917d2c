import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http'
import { chooseTarget, ErrorKind, JaymillError, RequestError, type GatewayConfig, type GatewayRoute, type GatewayService } from '@jaymill/core'
import type { SocketAddress } from '@jaymill/settings'
import type { Forwarder } from '../forwarding/JaymillForwarder.js'
import type { ForwardingParts } from '../forwarding/JaymillForwardingParts.js'
import { readBounded } from '../JaymillBoundedBytes.js'
import { CONNECTION_CHECK_MS, NOT_READY_RETRY_MS, PARSER_HEADER_BYTES } from './constants.js'
import { RequestEnd, type GatewayRequest } from './JaymillGatewayRequest.js'
import { listenOn } from './JaymillListener.js'
import { refuse } from './JaymillReply.js'

/** Chooses who serves a request. */
export type ForwarderChoice = (request: GatewayRequest) => Forwarder

/** Listener for callers: reads requests, finds their route and hands them on. */
export class Ingress {
  private readonly _parts: ForwardingParts
  private readonly _choose: ForwarderChoice
  private readonly _server: Server
  private _running = 0
  private _stopAtMs: number | undefined

  /**
   * @param parts - State of the host.
   * @param choose - Chooses who serves a request.
   */
  constructor (parts: ForwardingParts, choose: ForwarderChoice) {
    this._parts = parts
    this._choose = choose
    const options = { maxHeaderSize: PARSER_HEADER_BYTES, connectionsCheckingInterval: CONNECTION_CHECK_MS, requestTimeout: 0 }
    this._server = createServer(options, (req, res) => { this._serve(req, res).catch(err => this._failed(req, res, err)) })
  }

  /** Requests that are being served. */
  get running (): number {
    return this._running
  }

  /**
   * Starts to listen.
   *
   * @param listen - Address.
   * @param signal - Closes the listener and its connections.
   */
  async start (listen: SocketAddress, signal: AbortSignal): Promise<void> {
    await listenOn(this._server, listen, signal)
  }

  /**
   * Applies the limits of a configuration to connections.
   *
   * @param config - Configuration in force.
   */
  adopt ({ limits }: GatewayConfig): void {
    this._server.headersTimeout = limits.headerTimeoutMs
    this._server.keepAliveTimeout = limits.idleTimeoutMs
  }

  /**
   * Closes each connection after its next answer, and refuses requests that would not end in time.
   *
   * @param atMs - Monotonic time at which the host stops, in milliseconds.
   */
  stopAt (atMs: number): void {
    this._stopAtMs = atMs
  }

  private async _serve (req: IncomingMessage, res: ServerResponse): Promise<void> {
    const arrivedMs = this._parts.clock.nowMs()
    const facts = this._parts.dialect.requestFacts(req.headers)
    this._running += 1
    res.once('close', () => { this._running -= 1 })
    if (this._stopAtMs !== undefined) res.setHeader('Connection', 'close')
    try {
      const { route, service, version, config } = this._route(req)
      const { signal, deadlineMs } = this._limit(res, route, arrivedMs, facts.deadlineMs)
      const body = await readBody(req, config.limits.maxBodyBytes)
      const id = facts.requestId
      if (id === undefined) throw new RequestError(ErrorKind.BadRequest, 'the request has no id')
      const request = { id, req, res, route, service, facts, version, body, arrivedMs, deadlineMs, signal }
      const forwarder = this._choose(request)
      this._checkEnds(forwarder.durationMs(request))
      await forwarder.forward(request)
    } catch (err) {
      this._refuse(req, res, facts.requestId, err, arrivedMs)
    }
  }

  private _route (req: IncomingMessage): { route: GatewayRoute, service: GatewayService, version: number, config: GatewayConfig } {
    const { config, table } = this._parts.state
    if (config === undefined || table === undefined) {
      throw new RequestError(ErrorKind.NotReady, 'no configuration is known yet', { retryAfterMs: NOT_READY_RETRY_MS })
    }
    checkHeaderSize(req, config.limits.maxHeaderBytes)
    const route = table.find(req.headers.host ?? '', req.url ?? '')
    if (route === undefined) throw new RequestError(ErrorKind.NotFound, 'no route matches')
    const name = chooseTarget(route.targets, this._parts.random)
    const service = table.service(name) ?? { name, healthPath: '/', maxConnections: 1 }
    return { route, service, version: config.version, config }
  }

  private _checkEnds (durationMs: number): void {
    if (this._stopAtMs === undefined || this._parts.clock.nowMs() + durationMs <= this._stopAtMs) return
    throw new RequestError(ErrorKind.Stopping, 'the host stops before the request would end', { retryAfterMs: 0 })
  }

  private _limit (
    res: ServerResponse, route: GatewayRoute, arrivedMs: number, callerMs: number | undefined
  ): { signal: AbortSignal, deadlineMs: number } {
    const abort = new AbortController()
    const ms = Math.min(route.timeoutMs, callerMs ?? route.timeoutMs)
    const timer = setTimeout(() => abort.abort(RequestEnd.Timeout), ms)
    res.once('close', () => {
      clearTimeout(timer)
      if (!res.writableFinished) abort.abort(RequestEnd.CallerGone)
    })
    return { signal: abort.signal, deadlineMs: arrivedMs + ms }
  }

  private _refuse (req: IncomingMessage, res: ServerResponse, id: string | undefined, err: unknown, arrivedMs: number): void {
    const known = err instanceof JaymillError ? err : new RequestError(ErrorKind.Invariant, 'internal error', { cause: err })
    if (!(err instanceof JaymillError)) this._parts.log.warn('request failed unexpectedly', { requestId: id, reason: String(err) })
    const ms = Math.round(this._parts.clock.nowMs() - arrivedMs)
    this._parts.metrics.refused(known.kind)
    this._parts.log.request(id ?? '', 'refused', {
      status: known.status, kind: known.kind, reason: known.message, retryAfterMs: known.retryAfterMs, config: this._parts.state.version, ms
    })
    if (!req.complete) res.setHeader('Connection', 'close')
    refuse(res, id, known)
  }

  private _failed (req: IncomingMessage, res: ServerResponse, err: unknown): void {
    this._parts.log.warn('request dropped', { path: req.url, reason: String(err) })
    res.destroy()
  }
}

function checkHeaderSize (req: IncomingMessage, maxBytes: number): void {
  const bytes = req.rawHeaders.reduce((sum, part) => sum + part.length + 2, (req.url ?? '').length)
  if (bytes > maxBytes) throw new RequestError(ErrorKind.HeaderTooLarge, `the header exceeds ${maxBytes} bytes`)
}

async function readBody (req: IncomingMessage, maxBytes: number): Promise<Buffer | null> {
  const hasBody = req.headers['content-length'] !== undefined || req.headers['transfer-encoding'] !== undefined
  if (!hasBody) return null
  const tooLarge = (): RequestError => new RequestError(ErrorKind.TooLarge, `the body exceeds ${maxBytes} bytes`)
  if (Number(req.headers['content-length'] ?? 0) > maxBytes) throw tooLarge()
  return await readBounded(req, maxBytes, tooLarge)
}
