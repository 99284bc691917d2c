import {
  DocumentRequest, EndpointReservationRequest, Heartbeat, HighWaterRequest, HighWaterResponse, LeaseRequest,
  LeaseResponse, PublishedDocument, ReservationBatch, ReservationResponse, TokenLease, TokenLeaseRequest
} from '@jaymill/core'
import { createTRPCClient, httpLink } from '@trpc/client'
import type { Dispatcher } from 'undici'
import type { z } from 'zod'
import type { ByteCounts } from './JaymillByteCounter.js'
import { CALL_TIMEOUT_MS, FORWARD_PATH, TRPC_PATH } from './JaymillPeerConstants.js'
import { toPeerError } from './JaymillPeerFailure.js'
import type { PeerTls } from './JaymillPeerTls.js'
import { createPeerTransport, PeerTransport } from './JaymillPeerTransport.js'
import { highWaterResponseSchema, publishedDocumentSchema } from './routers/JaymillConfigRouter.js'
import { heartbeatSchema } from './routers/JaymillHeartbeatRouter.js'
import { leaseResponseSchema } from './routers/JaymillLeaseRouter.js'
import type { PeerRouter } from './routers/JaymillPeerRouter.js'
import { reservationResponseSchema, tokenLeaseSchema } from './routers/JaymillReservationRouter.js'

/** Options of a peer client. */
export interface PeerClientOptions {
  /** Base URL of the peer, with an IP address. */
  readonly url: string
  readonly token: string
  /** Enables mutual TLS. */
  readonly tls?: PeerTls
  /** Timeout of a typed call, in milliseconds. */
  readonly timeoutMs?: number
}

/** Streamed request to be forwarded to the peer. */
export interface ForwardRequest {
  /** Path and query after `/forward/`, without a leading slash. */
  readonly path: string
  readonly method: Dispatcher.HttpMethod
  readonly headers: Readonly<Record<string, string>>
  readonly body: Dispatcher.DispatchOptions['body']
}

type Trpc = ReturnType<typeof createTRPCClient<PeerRouter>>

/** Calls to one other host. A failed call throws a `RequestError` of the kind that the peer reported, else of `PeerFailed`. */
export class PeerClient {
  private readonly _trpc: Trpc
  private readonly _transport: PeerTransport
  private readonly _options: PeerClientOptions

  /**
   * @param options - Address and credentials.
   * @param transport - Connections to the peer.
   */
  constructor (options: PeerClientOptions, transport: PeerTransport) {
    this._options = options
    this._transport = transport
    this._trpc = createTRPCClient<PeerRouter>({
      links: [httpLink({
        url: new URL(TRPC_PATH, options.url).href,
        headers: { authorization: `Bearer ${options.token}` },
        fetch: transport.fetch
      })]
    })
  }

  /**
   * Sends a heartbeat.
   *
   * @param heartbeat - Heartbeat of this host.
   * @param signal - Cancels the call.
   * @returns The peer's heartbeat.
   */
  async heartbeat (heartbeat: Heartbeat, signal: AbortSignal): Promise<Heartbeat> {
    return await this._call(heartbeatSchema, signal, opts => this._trpc.heartbeat.beat.mutate(heartbeat, opts))
  }

  /**
   * Requests the confirmation of a lease.
   *
   * @param request - Lease request.
   * @param signal - Cancels the call.
   * @returns The peer's response.
   */
  async confirmLease (request: LeaseRequest, signal: AbortSignal): Promise<LeaseResponse> {
    return await this._call(leaseResponseSchema, signal, opts => this._trpc.lease.confirm.mutate(request, opts))
  }

  /**
   * Requests a reservation from the owner of an endpoint.
   *
   * @param request - Endpoint and required capacity.
   * @param signal - Cancels the call.
   * @returns The owner's response.
   */
  async reserve (request: EndpointReservationRequest, signal: AbortSignal): Promise<ReservationResponse> {
    return await this._call(reservationResponseSchema, signal, opts => this._trpc.grants.grant.mutate(request, opts))
  }

  /**
   * Renews reservations.
   *
   * @param batch - Reservations still in use.
   * @param signal - Cancels the call.
   */
  async renewReservations (batch: ReservationBatch, signal: AbortSignal): Promise<void> {
    await this._withTimeout(signal, opts => this._trpc.grants.renew.mutate(batch, opts))
  }

  /**
   * Releases reservations.
   *
   * @param batch - Reservations to be released.
   * @param signal - Cancels the call.
   */
  async releaseReservations (batch: ReservationBatch, signal: AbortSignal): Promise<void> {
    await this._withTimeout(signal, opts => this._trpc.grants.release.mutate(batch, opts))
  }

  /**
   * Requests a token lease from the owner of an account.
   *
   * @param request - Account and tokens.
   * @param signal - Cancels the call.
   * @returns The lease.
   */
  async leaseTokens (request: TokenLeaseRequest, signal: AbortSignal): Promise<TokenLease> {
    return await this._call(tokenLeaseSchema, signal, opts => this._trpc.grants.lease.mutate(request, opts))
  }

  /**
   * Queries the versions of the peer's documents.
   *
   * @param request - Sender of the request.
   * @param signal - Cancels the call.
   * @returns Versions of the documents that are active on the peer.
   */
  async highWater (request: HighWaterRequest, signal: AbortSignal): Promise<HighWaterResponse> {
    return await this._call(highWaterResponseSchema, signal, opts => this._trpc.config.highWater.mutate(request, opts))
  }

  /**
   * Fetches a document.
   *
   * @param request - Requested document and its lowest revision.
   * @param signal - Cancels the call.
   * @returns The document, or `null` when the peer's revision is lower than requested.
   */
  async document (request: DocumentRequest, signal: AbortSignal): Promise<PublishedDocument | null> {
    return await this._call(publishedDocumentSchema, signal, opts => this._trpc.config.document.mutate(request, opts))
  }

  /**
   * Forwards a streamed request; bodies flow in both directions with backpressure.
   *
   * @param req - Request to forward.
   * @param signal - Cancels both directions.
   * @returns Status, headers and body stream of the peer's response.
   */
  async forward (req: ForwardRequest, signal: AbortSignal): Promise<Dispatcher.ResponseData> {
    const headers = { ...req.headers, authorization: `Bearer ${this._options.token}` }
    const call = { ...req, path: FORWARD_PATH + req.path, headers, signal }
    return await this._transport.forward(call).catch((err: unknown) => { throw toPeerError(err) })
  }

  /**
   * Returns the traffic to the peer.
   *
   * @returns Bytes over all connections so far.
   */
  byteCounts (): ByteCounts {
    return this._transport.byteCounts()
  }

  private async _call<T> (
    schema: z.ZodType<T>, signal: AbortSignal, send: (opts: { signal: AbortSignal }) => Promise<unknown>
  ): Promise<T> {
    return await this._withTimeout(signal, async opts => schema.parse(await send(opts)))
  }

  private async _withTimeout<T> (signal: AbortSignal, send: (opts: { signal: AbortSignal }) => Promise<T>): Promise<T> {
    const timeout = AbortSignal.timeout(this._options.timeoutMs ?? CALL_TIMEOUT_MS)
    return await send({ signal: AbortSignal.any([signal, timeout]) }).catch((err: unknown) => { throw toPeerError(err) })
  }
}

/**
 * Creates a client for one peer; connections are opened on first use and kept alive.
 *
 * @param options - Address and credentials.
 * @param signal - Closes all connections.
 * @returns The client.
 */
export function createPeerClient (options: PeerClientOptions, signal: AbortSignal): PeerClient {
  return new PeerClient(options, createPeerTransport(options, signal))
}
