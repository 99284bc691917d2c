import { once } from 'node:events'
import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http'
import { createServer as createTlsServer } from 'node:https'
import type { AddressInfo } from 'node:net'
import { sendProblem } from '../callers/JaymillProblemResponse.js'
import type { HostContext } from '../JaymillHostContext.js'
import { readTlsFiles } from '../ports/JaymillTlsFiles.js'
import { ADMIN_REQUEST_TIMEOUT_MS } from './constants.js'
import { checkAdminToken } from './JaymillAdminAuth.js'
import { AdminRouter, type AdminActions } from './JaymillAdminRouter.js'

/** Listener of the admin API; uses TLS when the settings contain a certificate. */
export class AdminServer {
  private readonly _ctx: HostContext
  private readonly _actions: AdminActions
  private readonly _token: string
  private readonly _router: AdminRouter
  private readonly _server: Server

  /**
   * @param ctx - Shared components of the host.
   * @param token - Bearer token of operators.
   * @param actions - Actions of the API on the host.
   */
  constructor (ctx: HostContext, token: string, actions: AdminActions) {
    this._ctx = ctx
    this._token = token
    this._actions = actions
    this._router = new AdminRouter(ctx, actions)
    const { tls, limits } = ctx.settings
    const options = { maxHeaderSize: limits.headerBytes, requestTimeout: ADMIN_REQUEST_TIMEOUT_MS }
    const serve = (req: IncomingMessage, res: ServerResponse): void => this._serve(req, res)
    this._server = tls === undefined ? createServer(options, serve) : createTlsServer({ ...options, ...readTlsFiles(tls) }, serve)
  }

  /**
   * Starts listening.
   *
   * @returns Base URL.
   */
  async listen (): Promise<string> {
    const { address, port } = this._ctx.settings.listen.admin
    this._server.listen(port, address)
    await once(this._server, 'listening')
    const scheme = this._ctx.settings.tls === undefined ? 'http' : 'https'
    return `${scheme}://${address}:${(this._server.address() as AddressInfo).port}`
  }

  /** Closes the listener and every connection. */
  close (): void {
    this._server.close()
    this._server.closeAllConnections()
  }

  private _serve (req: IncomingMessage, res: ServerResponse): void {
    req.resume()
    try {
      const url = new URL(req.url ?? '/', 'http://admin')
      if (url.pathname === '/livez') return sendJson(res, 200, { live: true })
      if (url.pathname === '/readyz') return sendJson(res, this._actions.ready() ? 200 : 503, { ready: this._actions.ready() })
      checkAdminToken(req.headers.authorization, this._token)
      sendJson(res, 200, this._router.handle(req.method ?? 'GET', url))
    } catch (err) {
      sendProblem(res, err)
    }
  }
}

function sendJson (res: ServerResponse, status: number, value: unknown): void {
  res.writeHead(status, { 'Content-Type': 'application/json', 'Cache-Control': 'no-store' })
  res.end(JSON.stringify(value))
}
