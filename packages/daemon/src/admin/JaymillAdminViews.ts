import { ErrorKind, RequestError, type RequestRecord, type RequestView } from '@jaymill/core'
import type { HostContext } from '../JaymillHostContext.js'
import { DEFAULT_ACCOUNT_LIMIT, DEFAULT_REQUEST_LIMIT, MAX_ACCOUNT_LIMIT, MAX_REQUEST_LIMIT } from './constants.js'

/** An endpoint as this host sees it. */
export interface EndpointView {
  readonly id: string
  readonly poolId: string
  readonly role: string
  readonly zone: string
  readonly url: string
  /** Leaving by the fleet configuration or by the host list. */
  readonly leaving: boolean
  readonly slots: number
  readonly kvPieces: number
  readonly checksFencing: boolean
  /** Requests that this host runs there now. */
  readonly runningHere: number
}

/** A request in a list; `explain` shows its decisions. */
export type RequestSummary = Omit<RequestView, 'decisions'>

/**
 * @param ctx - Shared parts of the host.
 * @returns Every endpoint of the fleet.
 */
export function endpointViews (ctx: HostContext): EndpointView[] {
  const leaving = new Set(ctx.hosts().leavingEndpoints)
  const running = runningByTarget(ctx)
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
 * Lists requests, the newest first.
 *
 * @param ctx - Shared parts of the host.
 * @param query - `state` (running or ended), `route`, `account` and `limit`.
 * @returns The requests that match and their number before the limit.
 * @throws RequestError of kind `BadRequest`.
 */
export function requestList (ctx: HostContext, query: URLSearchParams): { matching: number, requests: RequestSummary[] } {
  const state = query.get('state')
  if (state !== null && state !== 'running' && state !== 'ended') {
    throw new RequestError(ErrorKind.BadRequest, 'state must be "running" or "ended"')
  }
  const wanted = (record: RequestRecord) =>
    (state === null || record.ended === (state === 'ended')) &&
    isOneOf(query.get('route'), record.facts.routeId) && isOneOf(query.get('account'), record.facts.accountId)
  const matching = ctx.requests.all().filter(wanted).reverse()
  const limit = limitOf(query, DEFAULT_REQUEST_LIMIT, MAX_REQUEST_LIMIT)
  return { matching: matching.length, requests: matching.slice(0, limit).map(summaryOf) }
}

/**
 * Explains one request.
 *
 * @param ctx - Shared parts of the host.
 * @param requestId - Id of the request.
 * @returns The request with every decision and its reason.
 * @throws RequestError of kind `NotFound`.
 */
export function explainRequest (ctx: HostContext, requestId: string): RequestView {
  const record = ctx.requests.find(requestId)
  if (record === undefined) throw new RequestError(ErrorKind.NotFound, `request ${requestId} is not known on this host`)
  return record.view()
}

/**
 * Shows the configuration in force, without key hashes.
 *
 * @param ctx - Shared parts of the host.
 * @returns Fleet configuration and host list.
 */
export function configView (ctx: HostContext): object {
  const { accounts, ...fleet } = ctx.fleet()
  return { fleet: { ...fleet, accounts: accounts.map(({ keySha256, ...account }) => account) }, hosts: ctx.hosts() }
}

/**
 * Reports the burn of the service level.
 *
 * @param ctx - Shared parts of the host.
 * @param query - `limit` of account rows.
 * @returns The report of this host.
 * @throws RequestError of kind `BadRequest`.
 */
export function burnView (ctx: HostContext, query: URLSearchParams): object {
  return ctx.burn.report(ctx.clock.nowMs(), limitOf(query, DEFAULT_ACCOUNT_LIMIT, MAX_ACCOUNT_LIMIT))
}

function limitOf (query: URLSearchParams, standard: number, max: number): number {
  const limit = Number(query.get('limit') ?? standard)
  if (Number.isInteger(limit) && limit >= 1 && limit <= max) return limit
  throw new RequestError(ErrorKind.BadRequest, `limit must be a whole number from 1 to ${max}`)
}

function isOneOf (wanted: string | null, value: string): boolean {
  return wanted === null || wanted === value
}

function summaryOf (record: RequestRecord): RequestSummary {
  const { decisions, ...summary } = record.view()
  return summary
}

function runningByTarget (ctx: HostContext): Map<string, number> {
  const targets = ctx.requests.running
    .map(record => record.view().decisions.findLast(({ target }) => target !== undefined)?.target)
    .filter(target => target !== undefined) as string[]
  return targets.reduce((counts, target) => counts.set(target, (counts.get(target) ?? 0) + 1), new Map<string, number>())
}
