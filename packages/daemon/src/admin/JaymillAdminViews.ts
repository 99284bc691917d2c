import { ErrorKind, RequestError, type RequestRecord, type RequestView } from '@jaymill/core'
import type { HostContext } from '../JaymillHostContext.js'
import { DEFAULT_ACCOUNT_LIMIT, DEFAULT_REQUEST_LIMIT, MAX_ACCOUNT_LIMIT, MAX_REQUEST_LIMIT } from './constants.js'

/** An endpoint as seen by this host. */
export interface EndpointView {
  readonly id: string
  readonly poolId: string
  readonly role: string
  readonly zone: string
  readonly url: string
  /** Whether the fleet configuration or the host list marks it as leaving. */
  readonly leaving: boolean
  readonly slots: number
  readonly kvPieces: number
  readonly checksFencing: boolean
  /** Number of requests that this host is running on it. */
  readonly runningHere: number
}

/** A request in a list; its decisions are shown only by `explain`. */
export type RequestSummary = Omit<RequestView, 'decisions'>

/**
 * Lists the endpoints.
 *
 * @param ctx - Shared components of the host.
 * @returns Every endpoint of the fleet.
 */
export function endpointViews (ctx: HostContext): EndpointView[] {
  const leaving = new Set(ctx.hosts().leavingEndpoints)
  const running = runningByEndpoint(ctx)
  return ctx.fleet().pools.flatMap(pool => pool.endpoints.map(endpoint => ({
    id: endpoint.id,
    poolId: pool.id,
    role: pool.role,
    zone: endpoint.zone,
    url: endpoint.url,
    leaving: endpoint.state === 'leaving' || leaving.has(endpoint.id),
    slots: endpoint.slots,
    kvPieces: endpoint.kvPieces,
    checksFencing: endpoint.checksFencing,
    runningHere: running.get(endpoint.id) ?? 0
  })))
}

/**
 * Lists requests, newest first.
 *
 * @param ctx - Shared components of the host.
 * @param query - `state` (running or ended), `route`, `account` and `limit`.
 * @returns The matching requests up to the limit, and the number of all matching requests.
 * @throws RequestError of kind `BadRequest` when a parameter is invalid.
 */
export function requestList (ctx: HostContext, query: URLSearchParams): { matching: number, requests: RequestSummary[] } {
  const state = query.get('state')
  if (state !== null && state !== 'running' && state !== 'ended') {
    throw new RequestError(ErrorKind.BadRequest, 'state must be "running" or "ended"')
  }
  const matches = (record: RequestRecord) =>
    (state === null || record.ended === (state === 'ended')) &&
    matchesFilter(query.get('route'), record.attributes.routeId) &&
    matchesFilter(query.get('account'), record.attributes.accountId)
  const matching = ctx.requests.all().filter(matches).reverse()
  const limit = limitOf(query, DEFAULT_REQUEST_LIMIT, MAX_REQUEST_LIMIT)
  return { matching: matching.length, requests: matching.slice(0, limit).map(summaryOf) }
}

/**
 * Explains one request.
 *
 * @param ctx - Shared components of the host.
 * @param requestId - Id of the request.
 * @returns The request with every decision and its reason.
 * @throws RequestError of kind `NotFound` when the request is not known.
 */
export function explainRequest (ctx: HostContext, requestId: string): RequestView {
  const record = ctx.requests.find(requestId)
  if (record === undefined) throw new RequestError(ErrorKind.NotFound, `request ${requestId} is not known on this host`)
  return record.view()
}

/**
 * Shows the active configuration without the hashes of account keys.
 *
 * @param ctx - Shared components of the host.
 * @returns Fleet configuration and host list.
 */
export function configView (ctx: HostContext): object {
  const { accounts, ...fleet } = ctx.fleet()
  return { fleet: { ...fleet, accounts: accounts.map(({ keySha256, ...account }) => account) }, hosts: ctx.hosts() }
}

/**
 * Reports the burn rates of the error budget.
 *
 * @param ctx - Shared components of the host.
 * @param query - `limit`, the maximum number of account rows.
 * @returns The report of this host.
 * @throws RequestError of kind `BadRequest` when the limit is invalid.
 */
export function burnView (ctx: HostContext, query: URLSearchParams): object {
  return ctx.burn.report(ctx.clock.nowMs(), limitOf(query, DEFAULT_ACCOUNT_LIMIT, MAX_ACCOUNT_LIMIT))
}

function limitOf (query: URLSearchParams, defaultLimit: number, max: number): number {
  const limit = Number(query.get('limit') ?? defaultLimit)
  if (Number.isInteger(limit) && limit >= 1 && limit <= max) return limit
  throw new RequestError(ErrorKind.BadRequest, `limit must be a whole number from 1 to ${max}`)
}

function matchesFilter (filter: string | null, value: string): boolean {
  return filter === null || filter === value
}

function summaryOf (record: RequestRecord): RequestSummary {
  const { decisions, ...summary } = record.view()
  return summary
}

function runningByEndpoint (ctx: HostContext): Map<string, number> {
  const targets = ctx.requests.running
    .map(record => record.view().decisions.findLast(({ target }) => target !== undefined)?.target)
    .filter(target => target !== undefined) as string[]
  return targets.reduce((counts, target) => counts.set(target, (counts.get(target) ?? 0) + 1), new Map<string, number>())
}
