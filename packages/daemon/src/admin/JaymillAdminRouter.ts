import { ErrorKind, RequestError } from '@jaymill/core'
import type { HostContext } from '../JaymillHostContext.js'
import { burnView, configView, endpointViews, explainRequest, requestList } from './JaymillAdminViews.js'
import { clearSuspect, healthView, quarantineView } from './JaymillHealthViews.js'

/** What the administration API can do to its host. */
export interface AdminActions {
  /** Starts a graceful stop. */
  readonly drain: () => void
  /** Whether the host takes new work. */
  readonly ready: () => boolean
}

interface AdminCall {
  /** Part of the path that the pattern captured. */
  readonly id: string
  readonly query: URLSearchParams
}

interface AdminRoute {
  readonly method: string
  readonly path: RegExp
  readonly answer: (call: AdminCall) => unknown
}

/** Answers the calls of operators who have shown their token. */
export class AdminRouter {
  private readonly _ctx: HostContext
  private readonly _actions: AdminActions
  private readonly _routes: readonly AdminRoute[]

  /**
   * @param ctx - Shared parts of the host.
   * @param actions - What the API can do.
   */
  constructor (ctx: HostContext, actions: AdminActions) {
    this._ctx = ctx
    this._actions = actions
    this._routes = [
      { method: 'GET', path: /^\/status$/, answer: () => this._status() },
      { method: 'GET', path: /^\/endpoints$/, answer: () => ({ endpoints: endpointViews(ctx) }) },
      { method: 'GET', path: /^\/requests$/, answer: ({ query }) => requestList(ctx, query) },
      { method: 'GET', path: /^\/requests\/([^/]+)\/explain$/, answer: ({ id }) => explainRequest(ctx, id) },
      { method: 'GET', path: /^\/burn$/, answer: ({ query }) => burnView(ctx, query) },
      { method: 'GET', path: /^\/config$/, answer: () => configView(ctx) },
      { method: 'GET', path: /^\/health$/, answer: () => healthView(ctx) },
      { method: 'GET', path: /^\/quarantine$/, answer: () => quarantineView(ctx) },
      { method: 'DELETE', path: /^\/quarantine\/([0-9a-f]{16})$/, answer: ({ id }) => clearSuspect(ctx, id) },
      { method: 'POST', path: /^\/drain$/, answer: () => this._drain() }
    ]
  }

  /**
   * Answers one call.
   *
   * @param method - HTTP method.
   * @param url - Parsed URL.
   * @returns Value for the JSON answer.
   * @throws RequestError of kind `NotFound` or `BadRequest`.
   */
  answer (method: string, url: URL): unknown {
    const route = this._routes.find(candidate => candidate.method === method && candidate.path.test(url.pathname))
    if (route === undefined) throw new RequestError(ErrorKind.NotFound, `no such resource: ${method} ${url.pathname}`)
    return route.answer({ id: decode(route.path.exec(url.pathname)?.[1] ?? ''), query: url.searchParams })
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
 * @param read - Reads the document; it throws before the first one is in force.
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
