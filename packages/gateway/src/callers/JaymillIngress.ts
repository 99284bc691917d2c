import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http'
import type { Socket } from 'node:net'
import {
  chooseTarget, ErrorKind, HeldBytes, hostCapacity, JaymillError, RequestError, type ClientAccount, type GatewayConfig, type GatewayRoute, type GatewayService,
  type HostCapacity, type ProcessLimits
} from '@jaymill/core'
import type { SocketAddress } from '@jaymill/settings'
import type { Forwarder } from '../forwarding/JaymillForwarder.js'
import type { ForwardingContext } from '../forwarding/JaymillForwardingContext.js'
import type { RequestMetadata } from '../ports/JaymillWireDialect.js'
import {
  CONNECTION_CHECK_MS, MAX_OPEN_REQUESTS, MEMORY_CHECK_MS, MEMORY_RETRY_AFTER_MS, NOT_READY_RETRY_AFTER_MS, PARSER_HEADER_BYTES, PIPELINING_SHARE, STALLED_CALLER_MS
} from './constants.js'
import type { BodyBuffer } from './JaymillBodyBuffer.js'
import { announcesBody, readBody } from './JaymillBodyReader.js'
import { accountOfCaller, accountOfForwarded } from './JaymillCallerAccount.js'
import { memoryError } from './JaymillConnectionMemory.js'
import type { CallerConnection } from './JaymillCallerConnection.js'
import { CallerConnections } from './JaymillCallerConnections.js'
import { abortResponse, sendProblem } from './JaymillCallerResponse.js'
import { limitAttempts, readForwardedMetadata } from './JaymillForwardedRequest.js'
import { AbortReason, type GatewayRequest } from './JaymillGatewayRequest.js'
import { headerSizeOf } from './JaymillHeaderSize.js'
import { checkHostHeader } from './JaymillHostHeader.js'
import { HostMemory } from './JaymillHostMemory.js'
import { listenOn } from './JaymillListener.js'
import type { QuotaCharge } from './JaymillQuotaGate.js'
import type { RequestMemory } from './JaymillRequestMemory.js'
import { runKeysOf } from './JaymillRequestKeys.js'
import { refuseUnreadable } from './JaymillUnreadableRequest.js'
import { UnreadResponse } from './JaymillUnreadResponse.js'

/** Selects the forwarder for a request. */
export type ForwarderSelector = (request: GatewayRequest) => Forwarder

/** A request in progress. */
interface RunningRequest {
  readonly id: string
  readonly res: ServerResponse
  readonly connection: CallerConnection
  /** Monotonic time at which its header was received, in milliseconds. */
  readonly arrivedMs: number
  /** Aborts the request with an `AbortReason`. */
  readonly abort: AbortController
}

/** A request's route, with the configuration that it comes from. */
interface RoutedRequest {
  readonly route: GatewayRoute
  readonly service: GatewayService
  readonly version: number
  readonly config: GatewayConfig
}

/** A routed request whose caller's key was checked. */
interface AuthenticatedRequest extends RoutedRequest {
  readonly account: ClientAccount | undefined
}

/** Listeners for callers and for requests that other hosts forward. Reads requests, matches them to routes and passes them to forwarders. */
export class Ingress {
  private readonly _context: ForwardingContext
  private readonly _selectForwarder: ForwarderSelector
  private readonly _server: Server
  private readonly _peerServer: Server
  private readonly _running = new Set<RunningRequest>()
  /** Requests in progress that were not refused. */
  private readonly _admitted = new Set<RunningRequest>()
  /** Those of them whose bodies have not arrived as a whole, the longest first. */
  private readonly _unfinished = new Set<RunningRequest>()
  private readonly _limits: ProcessLimits
  private readonly _memory: HostMemory
  private readonly _callers: CallerConnections
  private readonly _peers: CallerConnections
  private _capacity: HostCapacity

  /**
   * @param context - Components of the host.
   * @param selectForwarder - Selects the forwarder for a request.
   * @param limits - Limits of the process.
   */
  constructor (context: ForwardingContext, selectForwarder: ForwarderSelector, limits: ProcessLimits) {
    this._context = context
    this._selectForwarder = selectForwarder
    const options = { maxHeaderSize: PARSER_HEADER_BYTES, connectionsCheckingInterval: CONNECTION_CHECK_MS, requestTimeout: 0 }
    this._limits = limits
    this._capacity = hostCapacity(limits, 0)
    this._memory = new HostMemory(context, this._capacity.bytes)
    const maxOpenRequests = (): number => this._admitted.size < this._capacity.requests * PIPELINING_SHARE ? MAX_OPEN_REQUESTS : 1
    this._callers = new CallerConnections(this._memory, context.metrics, this._capacity.callerConnections, maxOpenRequests)
    this._peers = new CallerConnections(this._memory, context.metrics, this._capacity.peerConnections, maxOpenRequests)
    const serverFor = (fromPeer: boolean): Server => this._connectionsOf(fromPeer).watch(createServer(options, (req, res) => { this._serve(req, res, fromPeer).catch(err => this._drop(req, res, err)) }))
      .on('clientError', (err, socket) => this._connectionsOf(fromPeer).of(socket as Socket).endUnreadable(responding => refuseUnreadable(err, socket, responding)))
    this._server = serverFor(false)
    this._peerServer = serverFor(true)
  }

  /** Number of requests in progress. */
  get running (): number {
    return this._running.size
  }

  /** Bytes of requests and responses in memory. */
  get heldBytes (): number {
    return this._memory.heldBytes
  }

  /** Number of connections whose body is not read for now. */
  get waitingConnections (): number {
    return this._memory.waitingCount
  }

  /** Number of open connections of callers. */
  get callerConnections (): number {
    return this._callers.count
  }

  /**
   * Starts to listen.
   *
   * @param listen - Address to listen on for callers.
   * @param peers - Address to listen on for other hosts; `undefined` when this host accepts no forwarded requests.
   * @param signal - Closes the listeners and their connections, and breaks off the responses in progress.
   */
  async start (listen: SocketAddress, peers: SocketAddress | undefined, signal: AbortSignal): Promise<void> {
    signal.addEventListener('abort', () => this._running.forEach(({ res }) => abortResponse(res, 0)), { once: true })
    const timer = setInterval(() => this._checkLimits(), MEMORY_CHECK_MS)
    signal.addEventListener('abort', () => clearInterval(timer), { once: true })
    await listenOn(this._server, listen, signal)
    if (peers !== undefined) await listenOn(this._peerServer, peers, signal)
  }

  /**
   * Applies the connection limits of a configuration.
   *
   * @param config - Active configuration.
   */
  applyLimits ({ limits }: GatewayConfig): void {
    this._server.headersTimeout = limits.headerTimeoutMs
    this._server.keepAliveTimeout = limits.idleTimeoutMs
    this._capacity = hostCapacity(this._limits, limits.maxBodyBytes)
    this._memory.applyLimits(this._capacity.bytes)
  }

  /** Gives up the requests in progress at the end of a planned stop. Those whose response has not started get a problem document. */
  abortUnfinished (): void {
    const { log, clock } = this._context
    this._running.forEach(({ id, res, arrivedMs, abort }) => {
      log.request(id, 'interrupted by the stop', { started: res.headersSent, ms: Math.round(clock.nowMs() - arrivedMs) })
      abort.abort(AbortReason.Stopped)
    })
  }

  private async _serve (req: IncomingMessage, res: ServerResponse, fromPeer: boolean): Promise<void> {
    const connection = this._connectionsOf(fromPeer).of(req.socket)
    if (connection.ending) {
      req.resume()
      return
    }
    const arrivedMs = this._context.clock.nowMs()
    const metadata = this._context.dialect.requestMetadata(req.headers)
    const abort = new AbortController()
    const running = { id: metadata.requestId ?? '', res, connection, arrivedMs, abort }
    this._running.add(running)
    const objects = connection.add(res)
    connection.onEnd(res, () => {
      this._running.delete(running)
      this._admitted.delete(running)
    })
    if (this._context.plannedStop() !== undefined) connection.endAfter(res)
    let account: ClientAccount | undefined
    let charge: QuotaCharge | undefined
    let body: BodyBuffer | null = null
    try {
      checkHostHeader(req)
      if (!this._memory.hasRoomFor(objects)) throw memoryError()
      this._admit(running)
      const routed = fromPeer ? this._routeForwarded(req) : this._routeCaller(req, metadata)
      const { route, service, version, config } = routed
      account = routed.account
      if (!fromPeer) charge = this._context.quotaGate.enter(account, metadata)
      const deadlineMs = this._startTimeLimit(running, route, metadata.deadlineMs)
      const { signal } = abort
      body = await this._readBody(req, running, objects, config.limits.maxBodyBytes)
      const bytes = body?.bytes ?? null
      const id = metadata.requestId
      if (id === undefined) throw new RequestError(ErrorKind.BadRequest, 'the request has no id')
      const request = {
        id,
        req,
        res,
        route,
        service,
        metadata,
        ...(account === undefined ? {} : { account }),
        hasAccounts: config.accounts !== undefined,
        priority: account?.priority ?? route.priority,
        keys: runKeysOf(req, bytes, metadata),
        version,
        body: bytes,
        unread: new UnreadResponse(connection, res),
        fromPeer,
        arrivedMs,
        deadlineMs,
        signal
      }
      const forwarder = this._selectForwarder(request)
      forwarder.checkBeforeRun(request, () => forwarder.durationMs(request))
      await forwarder.forward(request)
    } catch (err) {
      charge?.refused(err)
      objects.become(HeldBytes.Unread)
      this._admitted.delete(running)
      this._refuse(req, res, metadata.requestId, err, arrivedMs, account)
    } finally {
      if (body !== null) releaseBody(connection, body)
    }
  }

  private async _readBody (req: IncomingMessage, running: RunningRequest, objects: RequestMemory, maxBytes: number): Promise<BodyBuffer | null> {
    const { connection, abort: { signal } } = running
    if (!announcesBody(req)) return null
    objects.become(HeldBytes.Unfinished)
    connection.bodyArrives()
    this._unfinished.add(running)
    try {
      const body = await readBody(req, { maxBytes, memory: connection.memory, signal, aborted: () => bodyTimeout(signal) })
      objects.become(HeldBytes.Whole)
      connection.bodyArrived()
      return body
    } finally {
      this._unfinished.delete(running)
    }
  }

  /** One request too many takes the place of one whose caller has not finished it: such callers would otherwise keep out all others. */
  private _admit (running: RunningRequest): void {
    this._admitted.add(running)
    if (this._admitted.size <= this._capacity.requests) return
    const refusal = new RequestError(ErrorKind.Overloaded, 'too many requests are in progress', { retryAfterMs: MEMORY_RETRY_AFTER_MS })
    const [longest] = this._unfinished
    if (longest === undefined) throw refusal
    this._unfinished.delete(longest)
    this._admitted.delete(longest)
    longest.connection.memory.arrival?.refuse(refusal)
  }

  private _checkLimits (): void {
    this._memory.tick()
    this._callers.report(this._context.log)
    this._peers.report(this._context.log)
  }

  private _connectionsOf (fromPeer: boolean): CallerConnections {
    return fromPeer ? this._peers : this._callers
  }

  private _route (req: IncomingMessage, fromPeer = false): RoutedRequest {
    const { config, table } = this._context.state
    if (config === undefined || table === undefined) {
      throw new RequestError(ErrorKind.NotReady, 'no configuration has been received yet', { retryAfterMs: NOT_READY_RETRY_AFTER_MS })
    }
    if (!fromPeer) checkHeaderSize(req, config.limits.maxHeaderBytes)
    const route = table.find(req.headers.host ?? '', req.url ?? '')
    if (route === undefined) throw new RequestError(ErrorKind.NotFound, 'no route matches')
    const name = chooseTarget(route.targets, this._context.random)
    const service = table.service(name) ?? { name, healthPath: '/', maxConnections: 1 }
    return { route, service, version: config.version, config }
  }

  private _routeCaller (req: IncomingMessage, { accountKey }: RequestMetadata): AuthenticatedRequest {
    const routed = this._route(req)
    return { ...routed, account: accountOfCaller(this._context.state, routed.route, accountKey) }
  }

  /** A host with an older configuration takes no forwarded request: its caller may have seen the newer one in force. */
  private _routeForwarded (req: IncomingMessage): AuthenticatedRequest {
    const metadata = readForwardedMetadata(req.headers)
    if (this._context.state.version < metadata.configVersion) {
      throw new RequestError(ErrorKind.NotReady, 'the configuration of this host is older', { retryAfterMs: NOT_READY_RETRY_AFTER_MS })
    }
    const routed = this._route(req, true)
    return { ...routed, route: limitAttempts(routed.route, metadata), account: accountOfForwarded(this._context.state, routed.route, metadata) }
  }

  /**
   * Aborts a request when its caller disconnects or its time is over; from then on a caller that reads nothing is given up. Returns the
   * monotonic time of the latter, in milliseconds.
   */
  private _startTimeLimit ({ res, connection, arrivedMs, abort }: RunningRequest, route: GatewayRoute, callerDeadlineMs: number | undefined): number {
    const ms = Math.min(route.timeoutMs, callerDeadlineMs ?? route.timeoutMs)
    const timer = setTimeout(() => {
      abort.abort(AbortReason.Timeout)
      res.setTimeout(STALLED_CALLER_MS, () => abortResponse(res))
    }, ms)
    connection.onEnd(res, () => {
      clearTimeout(timer)
      if (!res.writableFinished) abort.abort(AbortReason.CallerGone)
    })
    return arrivedMs + ms
  }

  private _refuse (req: IncomingMessage, res: ServerResponse, id: string | undefined, err: unknown, arrivedMs: number, account: ClientAccount | undefined): void {
    const failure = err instanceof JaymillError ? err : new RequestError(ErrorKind.Invariant, 'internal error', { cause: err })
    if (!(err instanceof JaymillError)) this._context.log.warn('request failed unexpectedly', { requestId: id, reason: String(err) })
    const ms = Math.round(this._context.clock.nowMs() - arrivedMs)
    this._context.metrics.recordRefusal(failure.kind)
    this._context.log.request(id ?? '', 'refused', {
      status: failure.status,
      kind: failure.kind,
      reason: failure.message,
      retryAfterMs: failure.retryAfterMs,
      account: account?.name,
      config: this._context.state.version,
      ms
    })
    const bodyArrives = !req.complete && announcesBody(req)
    if (bodyArrives) res.setHeader('Connection', 'close')
    sendProblem(res, id, failure, bodyArrives)
  }

  private _drop (req: IncomingMessage, res: ServerResponse, err: unknown): void {
    this._context.log.warn('request dropped', { path: req.url, reason: String(err) })
    abortResponse(res)
  }
}

function checkHeaderSize (req: IncomingMessage, maxBytes: number): void {
  if (headerSizeOf(req).bytes > maxBytes) throw new RequestError(ErrorKind.HeaderTooLarge, `the header exceeds ${maxBytes} bytes`)
}

/** The body did not arrive before the request was aborted, so the request has not run. */
function bodyTimeout (signal: AbortSignal): RequestError {
  if (signal.reason === AbortReason.Stopped) return new RequestError(ErrorKind.Stopping, 'the host stopped before the body arrived', { retryAfterMs: 0 })
  if (signal.reason === AbortReason.CallerGone) return new RequestError(ErrorKind.CallerGone, 'the caller has disconnected')
  return new RequestError(ErrorKind.RequestTimeout, 'the body did not arrive in time')
}

/** Nothing reads the body of a request that has been forwarded. */
function releaseBody ({ memory }: CallerConnection, body: BodyBuffer): void {
  memory.addBody(-body.capacity)
  body.release()
}
