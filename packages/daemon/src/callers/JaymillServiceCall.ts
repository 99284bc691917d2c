import type { IncomingHttpHeaders, IncomingMessage } from 'node:http'
import type { ServiceResponse } from '@jaymill/adapters'
import {
  EndpointRole, ErrorKind, fleetIndex, JaymillError, RanState, RequestError, ReservationHandle, routePriority, ServiceMatch
} from '@jaymill/core'
import type { HostContext } from '../JaymillHostContext.js'
import { StreamLatencyMonitor } from '../streams/JaymillStreamLatencyMonitor.js'

/** Errors that only show that a call was slow, not that its endpoint failed. */
const SLOW_CALL_KINDS: readonly ErrorKind[] = [ErrorKind.Superseded, ErrorKind.Deadline, ErrorKind.Stalled]
const DROPPED_HEADERS: readonly string[] = [
  'authorization', 'connection', 'content-length', 'expect', 'host', 'keep-alive', 'proxy-authorization',
  'proxy-connection', 'te', 'trailer', 'transfer-encoding', 'upgrade', 'x-deadline-ms', 'x-jaymill-route'
]

/** Request to a plain service. */
export interface ServiceRequest {
  readonly requestId: string
  readonly idempotencyKey: string | undefined
  readonly match: ServiceMatch
  readonly method: string
  /** Path and query. */
  readonly path: string
  readonly headers: Readonly<Record<string, string>>
  readonly body: Buffer | AsyncIterable<Uint8Array> | null
}

/** Attempt of a service request, for which a slot is reserved. */
export interface ServiceAttempt {
  /** Number of the attempt, starting at 1. */
  readonly attempt: number
  /** Endpoints that other attempts have used. */
  readonly exclude: readonly string[]
}

const FIRST_ATTEMPT: ServiceAttempt = { attempt: 1, exclude: [] }

/**
 * Reserves a slot on an endpoint of a service.
 *
 * @param ctx - Shared components of the host.
 * @param requestId - Id of the request.
 * @param accountId - Account of the caller.
 * @param match - Service and route.
 * @param signal - Cancels the wait for a slot.
 * @param serviceAttempt - Attempt that the slot is for.
 * @returns The reservation, which the caller of this function must release.
 * @throws RequestError if no slot can be reserved.
 */
export async function reserveServiceSlot (
  ctx: HostContext, requestId: string, accountId: string, { service, route }: ServiceMatch, signal: AbortSignal,
  serviceAttempt = FIRST_ATTEMPT
): Promise<ReservationHandle> {
  return await ctx.slotAllocator.reserve({
    requestId,
    attempt: serviceAttempt.attempt,
    role: EndpointRole.Service,
    poolId: service.pool,
    pieces: 0,
    transferBytes: 0,
    startInMs: 0,
    expectedMs: route.ttftMs,
    exclude: serviceAttempt.exclude,
    prefer: [],
    priority: routePriority(route.class),
    accountId,
    tokens: 0,
    latestStartInMs: route.ttftMs
  }, signal)
}

/**
 * Sends a request once to the reserved endpoint.
 *
 * @param ctx - Shared components of the host.
 * @param request - Request to send.
 * @param reservation - Reserved slot.
 * @param signal - Cancels the call.
 * @returns Response of the endpoint.
 * @throws RequestError whose `ran` is `No` only if no byte was sent.
 */
export async function callService (
  ctx: HostContext, request: ServiceRequest, reservation: ReservationHandle, signal: AbortSignal
): Promise<ServiceResponse> {
  const { url } = fleetIndex(ctx.fleet()).endpoint(reservation.endpointId)
  const { id: hostId, incarnation } = ctx.identity
  const keyField = request.idempotencyKey === undefined ? {} : { idempotencyKey: request.idempotencyKey }
  const tag = { requestId: request.requestId, attempt: 1, hostId, incarnation, ...keyField }
  const monitor = new StreamLatencyMonitor(ctx.health, ctx.clock, request.match.route, reservation.endpointId)
  const pendingResponse = ctx.services.send({ ...request, url, body: toStream(request.body), tag }, signal)
  return await pendingResponse.then(
    response => { monitor.recordToken(); return response },
    (err: unknown) => { reportCallFailure(ctx, monitor, reservation, err); throw err }
  )
}

function reportCallFailure (ctx: HostContext, monitor: StreamLatencyMonitor, reservation: ReservationHandle, err: unknown): void {
  const kind = err instanceof JaymillError ? err.kind : ErrorKind.Invariant
  if (SLOW_CALL_KINDS.includes(kind)) monitor.recordStall()
  else if (kind !== ErrorKind.CallerGone) ctx.health.scorer.recordFailure(reservation.endpointId)
}

/**
 * Selects the request headers that are forwarded to an endpoint or another host.
 *
 * @param req - Request of a caller or peer.
 * @returns Its headers except hop-by-hop headers and those addressed to the router.
 */
export function forwardedHeaders (req: IncomingMessage): Record<string, string> {
  return filterHeaders(req.headers, name => !DROPPED_HEADERS.includes(name))
}

/**
 * Selects the response headers that are passed on to the caller.
 *
 * @param headers - Headers of an endpoint's response.
 * @returns The headers except hop-by-hop headers.
 */
export function responseHeaders (headers: IncomingHttpHeaders): Record<string, string> {
  return filterHeaders(headers, name => name === 'content-length' || !DROPPED_HEADERS.includes(name))
}

/**
 * Creates a signal that aborts at a deadline.
 *
 * @param budgetMs - Time until the deadline, in milliseconds.
 * @param signals - Signals that abort it earlier.
 * @param disposeSignal - Clears the timer when it aborts.
 * @returns The signal; at the deadline its reason is a RequestError of kind `Deadline`.
 */
export function deadlineSignal (budgetMs: number, signals: AbortSignal[], disposeSignal: AbortSignal): AbortSignal {
  const controller = new AbortController()
  const expire = (): void => controller.abort(
    new RequestError(ErrorKind.Deadline, `the deadline of ${budgetMs} ms has passed`, { ran: RanState.Unknown })
  )
  const timer = setTimeout(expire, budgetMs)
  disposeSignal.addEventListener('abort', () => clearTimeout(timer), { once: true })
  return AbortSignal.any([...signals, controller.signal])
}

function filterHeaders (headers: IncomingHttpHeaders, isIncluded: (name: string) => boolean): Record<string, string> {
  const entries = Object.entries(headers).filter(([name, value]) => value !== undefined && isIncluded(name))
  return Object.fromEntries(entries.map(([name, value]) => [name, String(value)]))
}

function toStream (body: ServiceRequest['body']): AsyncIterable<Uint8Array> | null {
  if (!Buffer.isBuffer(body)) return body
  return body.byteLength === 0 ? null : singleChunk(body)
}

async function * singleChunk (body: Buffer): AsyncIterable<Uint8Array> {
  yield body
}
