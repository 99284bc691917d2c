import type { IncomingHttpHeaders, IncomingMessage } from 'node:http'
import type { ServiceAnswer } from '@jaymill/adapters'
import { ReservationHandle, EndpointRole, ErrorKind, fleetIndex, JaymillError, RanState, RequestError, routePriority, ServiceMatch } from '@jaymill/core'
import type { HostContext } from '../JaymillHostContext.js'
import { PaceWatch } from '../streams/JaymillPaceWatch.js'

/** Ends of a call that show only that it took long. */
const SLOW_KINDS: readonly ErrorKind[] = [ErrorKind.Superseded, ErrorKind.Deadline, ErrorKind.Stalled]
const DROPPED_HEADERS: readonly string[] = [
  'authorization', 'connection', 'content-length', 'expect', 'host', 'keep-alive', 'proxy-authorization',
  'proxy-connection', 'te', 'trailer', 'transfer-encoding', 'upgrade', 'x-deadline-ms', 'x-jaymill-route'
]

/** One call of a plain service by a host. */
export interface ServiceSend {
  readonly requestId: string
  readonly idempotencyKey: string | undefined
  readonly match: ServiceMatch
  readonly method: string
  /** Path and query. */
  readonly path: string
  readonly headers: Readonly<Record<string, string>>
  readonly body: Buffer | AsyncIterable<Uint8Array> | null
}

/** Which copy of a call is booked. */
export interface ServiceCopy {
  /** From 1. */
  readonly attempt: number
  /** Endpoints that other copies have used. */
  readonly exclude: readonly string[]
}

const FIRST_COPY: ServiceCopy = { attempt: 1, exclude: [] }

/**
 * Books a slot on an endpoint of a service.
 *
 * @param ctx - Shared parts of the host.
 * @param requestId - Id of the request.
 * @param accountId - Account of the caller.
 * @param match - Service and route.
 * @param signal - Gives up.
 * @param copy - Which copy of the call it is for.
 * @returns The booking; it must be released.
 */
export async function bookService (
  ctx: HostContext, requestId: string, accountId: string, { service, route }: ServiceMatch, signal: AbortSignal,
  copy = FIRST_COPY
): Promise<ReservationHandle> {
  return await ctx.booker.reserve({
    requestId,
    attempt: copy.attempt,
    role: EndpointRole.Service,
    poolId: service.pool,
    pieces: 0,
    transferBytes: 0,
    startInMs: 0,
    expectedMs: route.ttftMs,
    exclude: copy.exclude,
    prefer: [],
    priority: routePriority(route.class),
    accountId,
    tokens: 0,
    latestStartInMs: route.ttftMs
  }, signal)
}

/**
 * Sends a call once to the booked endpoint.
 *
 * @param ctx - Shared parts of the host.
 * @param send - What to send.
 * @param booking - Slot.
 * @param signal - Cancels the call.
 * @returns The endpoint's answer.
 * @throws RequestError with effect `No` only when no byte has left.
 */
export async function callService (ctx: HostContext, send: ServiceSend, booking: ReservationHandle, signal: AbortSignal): Promise<ServiceAnswer> {
  const { url } = fleetIndex(ctx.fleet()).endpoint(booking.endpointId)
  const { id: hostId, incarnation } = ctx.identity
  const key = send.idempotencyKey === undefined ? {} : { idempotencyKey: send.idempotencyKey }
  const tag = { requestId: send.requestId, attempt: 1, hostId, incarnation, ...key }
  const watch = new PaceWatch(ctx.health, ctx.clock, send.match.route, booking.endpointId)
  const call = ctx.services.send({ ...send, url, body: streamOf(send.body), tag }, signal)
  return await call.then(
    answer => { watch.token(); return answer },
    (err: unknown) => { noteFailure(ctx, watch, booking, err); throw err }
  )
}

function noteFailure (ctx: HostContext, watch: PaceWatch, booking: ReservationHandle, err: unknown): void {
  const kind = err instanceof JaymillError ? err.kind : ErrorKind.Invariant
  if (SLOW_KINDS.includes(kind)) watch.silence()
  else if (kind !== ErrorKind.CallerGone) ctx.health.scorer.failed(booking.endpointId)
}

/**
 * @param req - Request of a caller or peer.
 * @returns Its headers without those of the connection and of the system.
 */
export function forwardedHeaders (req: IncomingMessage): Record<string, string> {
  return keep(req.headers, name => !DROPPED_HEADERS.includes(name))
}

/**
 * @param headers - Headers of an endpoint's answer.
 * @returns Those that a caller gets.
 */
export function answerHeaders (headers: IncomingHttpHeaders): Record<string, string> {
  return keep(headers, name => name === 'content-length' || !DROPPED_HEADERS.includes(name))
}

/**
 * Makes a signal that aborts at a deadline.
 *
 * @param budgetMs - Time from now, in milliseconds.
 * @param signals - Signals that abort it earlier.
 * @param owner - Releases the timer when it aborts.
 * @returns The signal; past the deadline its reason is a RequestError of kind `Deadline`.
 */
export function deadlineSignal (budgetMs: number, signals: AbortSignal[], owner: AbortSignal): AbortSignal {
  const controller = new AbortController()
  const expire = (): void => controller.abort(
    new RequestError(ErrorKind.Deadline, `the deadline of ${budgetMs} ms has passed`, { ran: RanState.Unknown })
  )
  const timer = setTimeout(expire, budgetMs)
  owner.addEventListener('abort', () => clearTimeout(timer), { once: true })
  return AbortSignal.any([...signals, controller.signal])
}

function keep (headers: IncomingHttpHeaders, wanted: (name: string) => boolean): Record<string, string> {
  const entries = Object.entries(headers).filter(([name, value]) => value !== undefined && wanted(name))
  return Object.fromEntries(entries.map(([name, value]) => [name, String(value)]))
}

function streamOf (body: ServiceSend['body']): AsyncIterable<Uint8Array> | null {
  if (!Buffer.isBuffer(body)) return body
  return body.byteLength === 0 ? null : chunkOf(body)
}

async function * chunkOf (body: Buffer): AsyncIterable<Uint8Array> {
  yield body
}
