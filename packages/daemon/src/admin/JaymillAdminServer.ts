import { once } from 'node:events'
import { createHash, timingSafeEqual } from 'node:crypto'
import { createServer, IncomingMessage, Server, ServerResponse } from 'node:http'
import type { AddressInfo } from 'node:net'
import { ErrorKind, RequestError } from '@jaymill/core'
import { sendProblem } from '../callers/JaymillProblemReply.js'
import type { HostContext } from '../JaymillHostContext.js'

/** What the administration API can do to its host. */
export interface AdminActions {
  /** Starts a graceful stop. */
  readonly drain: () => void
  /** Whether the host takes new work. */
  readonly ready: () => boolean
}

const EXPLAIN = /^\/requests\/([^/]+)\/explain$/

/** Listener for operators. */
export class AdminServer {
  private readonly _ctx: HostContext
  private readonly _actions: AdminActions
  private readonly _token: string
  private readonly _server: Server

  /**
   * @param ctx - Shared parts of the host.
   * @param token - Bearer token of operators.
   * @param actions - What the API can do.
   */
  constructor (ctx: HostContext, token: string, actions: AdminActions) {
    this._ctx = ctx
    this._token = token
    this._actions = actions
    this._server = createServer((req, res) => this._serve(req, res))
  }

  /**
   * Starts to listen.
   *
   * @returns Base URL.
   */
  async listen (): Promise<string> {
    const { address, port } = this._ctx.settings.listen.admin
    this._server.listen(port, address)
    await once(this._server, 'listening')
    return `http://${address}:${(this._server.address() as AddressInfo).port}`
  }

  /** Closes the listener and every connection. */
  close (): void {
    this._server.close()
    this._server.closeAllConnections()
  }

  private _serve (req: IncomingMessage, res: ServerResponse): void {
    try {
      const path = new URL(req.url ?? '/', 'http://admin').pathname
      if (path === '/livez') return reply(res, 200, { live: true })
      if (path === '/readyz') return reply(res, this._actions.ready() ? 200 : 503, { ready: this._actions.ready() })
      this._authorize(req)
      reply(res, 200, this._answer(req.method ?? 'GET', path))
    } catch (err) {
      sendProblem(res, err)
    }
  }

  private _authorize (req: IncomingMessage): void {
    const digest = (text: string): Buffer => createHash('sha256').update(text).digest()
    if (timingSafeEqual(digest(req.headers.authorization ?? ''), digest(`Bearer ${this._token}`))) return
    throw new RequestError(ErrorKind.Unauthorized, 'the admin token is missing or wrong')
  }

  private _answer (method: string, path: string): unknown {
    const explained = EXPLAIN.exec(path)?.[1]
    if (method === 'POST' && path === '/drain') return this._drain()
    if (path === '/status') return this._status()
    if (path === '/requests') return this._ctx.requests.all().map(record => record.view())
    if (explained !== undefined) return this._explain(decodeURIComponent(explained))
    throw new RequestError(ErrorKind.NotFound, `no such resource: ${method} ${path}`)
  }

  private _drain (): object {
    this._actions.drain()
    return { draining: true }
  }

  private _status (): object {
    return {
      host: this._ctx.identity,
      ready: this._actions.ready(),
      draining: this._ctx.draining(),
      fleetRevision: this._ctx.fleet().revision,
      hostListRevision: this._ctx.hosts().revision,
      idempotency: this._ctx.keys.status(),
      running: this._ctx.requests.running.length
    }
  }

  private _explain (requestId: string): unknown {
    const record = this._ctx.requests.find(requestId)
    if (record === undefined) throw new RequestError(ErrorKind.NotFound, `request ${requestId} is not known on this host`)
    return record.view()
  }
}

function reply (res: ServerResponse, status: number, value: unknown): void {
  res.writeHead(status, { 'Content-Type': 'application/json' })
  res.end(JSON.stringify(value))
}
