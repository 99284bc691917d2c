import { ErrorKind, RequestError } from '@jaymill/core'
import type { HostContext } from '../JaymillHostContext.js'
import { burnView, configView, endpointViews, explainRequest, requestList } from './JaymillAdminViews.js'
import { clearSuspect, healthView, quarantineView } from './JaymillHealthViews.js'

/** Actions of the admin API on its host. */
export interface AdminActions {
  /** Starts a graceful stop. */
  readonly drain: () => void
  /** Whether the host takes new work. */
  readonly ready: () => boolean
}

interface AdminCall {
  /** Part of the path captured by the pattern of the route. */
  readonly id: string
  readonly query: URLSearchParams
}

interface AdminRoute {
  readonly method: string
  readonly path: RegExp
  readonly handle: (call: AdminCall) => unknown
}

/** Routes authorized calls of the admin API. */
export class AdminRouter {
  private readonly _ctx: HostContext
  private readonly _actions: AdminActions
  private readonly _routes: readonly AdminRoute[]

  /**
   * @param ctx - Shared components of the host.
   * @param actions - Actions of the API on the host.
   */
  constructor (ctx: HostContext, actions: AdminActions) {
    this._ctx = ctx
    this._actions = actions
    this._routes = [
      { method: 'GET', path: /^\/status$/, handle: () => this._status() },
      { method: 'GET', path: /^\/endpoints$/, handle: () => ({ endpoints: endpointViews(ctx) }) },
      { method: 'GET', path: /^\/requests$/, handle: ({ query }) => requestList(ctx, query) },
      { method: 'GET', path: /^\/requests\/([^/]+)\/explain$/, handle: ({ id }) => explainRequest(ctx, id) },
      { method: 'GET', path: /^\/burn$/, handle: ({ query }) => burnView(ctx, query) },
      { method: 'GET', path: /^\/config$/, handle: () => configView(ctx) },
      { method: 'GET', path: /^\/health$/, handle: () => healthView(ctx) },
      { method: 'GET', path: /^\/quarantine$/, handle: () => quarantineView(ctx) },
      { method: 'DELETE', path: /^\/quarantine\/([0-9a-f]{16})$/, handle: ({ id }) => clearSuspect(ctx, id) },
      { method: 'POST', path: /^\/drain$/, handle: () => this._drain() }
    ]
  }

  /**
   * Handles one call.
   *
   * @param method - HTTP method.
   * @param url - Parsed URL.
   * @returns Value for the JSON response.
   * @throws RequestError of kind `NotFound` or `BadRequest`.
   */
  handle (method: string, url: URL): unknown {
    const route = this._routes.find(candidate => candidate.method === method && candidate.path.test(url.pathname))
    if (route === undefined) throw new RequestError(ErrorKind.NotFound, `no such resource: ${method} ${url.pathname}`)
    return route.handle({ id: decode(route.path.exec(url.pathname)?.[1] ?? ''), query: url.searchParams })
  }

  private _drain (): object {
    this._actions.drain()
    return { draining: true }
  }

  private _status (): object {
    const { identity, requests, keys, peers } = this._ctx
    return {
      host: identity,
      ready: this._actions.ready(),
      draining: this._ctx.draining(),
      fleetRevision: revisionOf(() => this._ctx.fleet()),
      hostListRevision: revisionOf(() => this._ctx.hosts()),
      configuration: this._ctx.configStatus(),
      hosts: this._ctx.otherHosts(),
      peerBytes: peers.byteCounts(),
      idempotency: keys.status(),
      running: requests.running.length
    }
  }
}

/**
 * Reads the revision of a document.
 *
 * @param read - Reads the document; throws before the first one is active.
 * @returns The revision; 0 before the first one.
 */
export function revisionOf (read: () => { readonly revision: number }): number {
  try {
    return read().revision
  } catch {
    return 0
  }
}

function decode (text: string): string {
  try {
    return decodeURIComponent(text)
  } catch (err) {
    throw new RequestError(ErrorKind.BadRequest, 'the path is malformed', { cause: err })
  }
}
